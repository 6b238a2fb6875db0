"""Non-idempotent requests: claim the idempotency key, if any, then run once."""

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
from cowsliploom.daemons._entry_messages import CallerOutcome, RunRequested
from cowsliploom.ports import Clock
from cowsliploom.protocol import Ran
from cowsliploom.routing import AnswerRun, RefuseCaller

Decision = Granted | Replay | InFlight | Mismatch | StoreUnavailable
RunOutcome = CallerOutcome | Replay | InFlight | Mismatch | StoreUnavailable


class Claims(Protocol):
    """Claims of idempotency keys."""

    def claim(
        self, caller: str, key: str, request_digest: str, deadline_ms: float
    ) -> 'Future[Decision]':
        """Request a claim."""
        ...

    def record_outcome(self, granted: Granted, outcome: str) -> None:
        """Record an outcome."""
        ...

    def record_not_run(self, granted: Granted) -> None:
        """Record that a request has not run and will not be sent."""
        ...


@dataclass(frozen=True, slots=True)
class CallerRun:
    """A run requested by a caller; without a claim if the key is empty."""

    request_id: str
    service: str
    payload: str
    caller: str
    key: str
    timeout_ms: float


class RunExecutor:
    """Execute each requested run at most once.

    Parameters
    ----------
    claims : Claims
        Claims in the platform's store.
    submit : callable
        Sends a run to the router task and waits for its outcome.
    clock : Clock
        Clock of the deadlines.
    """

    def __init__(
        self,
        claims: Claims,
        submit: Callable[[RunRequested], CallerOutcome],
        clock: Clock,
    ) -> None:
        self._claims = claims
        self._submit = submit
        self._clock = clock

    def serve(self, run: CallerRun) -> RunOutcome:
        """Claim the key of a run, execute the run and record its outcome."""
        if not run.key:
            return self._run(run, run.timeout_ms)
        deadline_ms = self._clock.now_ms() + run.timeout_ms
        decision = self._claim(run, deadline_ms)
        if not isinstance(decision, Granted):
            return decision
        left_ms = min(deadline_ms, decision.send_by_ms) - self._clock.now_ms()
        if left_ms <= 0:
            self._claims.record_not_run(decision)
            return StoreUnavailable(
                'claim.granted', 'the claim was granted after the deadline', 0
            )
        outcome = self._run(run, left_ms)
        self._record(decision, outcome)
        return outcome

    def _claim(self, run: CallerRun, deadline_ms: float) -> Decision:
        digest = digest_request(f'{run.service}\n{run.payload}'.encode())
        return self._claims.claim(run.caller, run.key, digest, deadline_ms).result()

    def _run(self, run: CallerRun, timeout_ms: float) -> CallerOutcome:
        return self._submit(
            RunRequested(
                run.request_id,
                run.service,
                run.payload,
                run.caller,
                timeout_ms,
            )
        )

    def _record(self, granted: Granted, outcome: CallerOutcome) -> None:
        match outcome:
            case AnswerRun():
                self._claims.record_outcome(granted, outcome.outcome)
            case RefuseCaller(ran=Ran.NO):
                self._claims.record_not_run(granted)
