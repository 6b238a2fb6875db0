"""Non-idempotent requests: claim first where there is a key, then run once."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Protocol

from cowsliploom.coordination import (
    Granted,
    InFlight,
    Mismatch,
    Replay,
    StoreUnavailable,
    digest_request,
)
from cowsliploom.daemons._entry_messages import CallerOutcome, RunAsked
from cowsliploom.ports import Clock
from cowsliploom.protocol import Ran
from cowsliploom.routing import AnswerRun, RefuseCaller

Decision = Granted | Replay | InFlight | Mismatch | StoreUnavailable
RunOutcome = CallerOutcome | Replay | InFlight | Mismatch | StoreUnavailable


class Claims(Protocol):
    """Claim idempotency keys."""

    def claim(
        self, caller: str, key: str, request_digest: str, deadline_ms: float
    ) -> 'Future[Decision]':
        """Ask for a claim."""
        ...

    def finish(self, granted: Granted, outcome: str) -> None:
        """Record an outcome."""
        ...

    def not_run(self, granted: Granted) -> None:
        """Record that a request never ran."""
        ...


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Hold what a caller wants run; an empty key claims nothing."""

    request_id: str
    service: str
    payload: str
    caller: str
    key: str
    timeout_ms: float


class RunDesk:
    """Run each order at most once.

    Parameters
    ----------
    claims : Claims
        Claims in the platform's store.
    ask : callable
        Hands a run to the router task and waits for its outcome.
    clock : Clock
        Clock of the deadlines.
    """

    def __init__(
        self, claims: Claims, ask: Callable[[RunAsked], CallerOutcome], clock: Clock
    ) -> None:
        self._claims = claims
        self._ask = ask
        self._clock = clock

    def serve(self, order: RunOrder) -> RunOutcome:
        """Claim, run and record an order."""
        if not order.key:
            return self._run(order, order.timeout_ms)
        deadline_ms = self._clock.now_ms() + order.timeout_ms
        decision = self._claim(order, deadline_ms)
        if not isinstance(decision, Granted):
            return decision
        left_ms = min(deadline_ms, decision.send_by_ms) - self._clock.now_ms()
        if left_ms <= 0:
            self._claims.not_run(decision)
            return StoreUnavailable('claim.granted', 'granted past the deadline', 0)
        outcome = self._run(order, left_ms)
        self._record(decision, outcome)
        return outcome

    def _claim(self, order: RunOrder, deadline_ms: float) -> Decision:
        digest = digest_request(f'{order.service}\n{order.payload}'.encode())
        return self._claims.claim(order.caller, order.key, digest, deadline_ms).result()

    def _run(self, order: RunOrder, timeout_ms: float) -> CallerOutcome:
        return self._ask(
            RunAsked(
                order.request_id,
                order.service,
                order.payload,
                order.caller,
                timeout_ms,
            )
        )

    def _record(self, granted: Granted, outcome: CallerOutcome) -> None:
        match outcome:
            case AnswerRun():
                self._claims.finish(granted, outcome.outcome)
            case RefuseCaller(ran=Ran.NO):
                self._claims.not_run(granted)
