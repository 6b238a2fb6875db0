"""Latest completed calls of each service, as evidence on its versions."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cowsliploom.forwarding._servers import Server
from cowsliploom.forwarding._sub_request import Attempt

CALLS_KEPT = 32  # enough to estimate a service's latency
SERVICES_KEPT = 512


@dataclass(slots=True)
class CompletedCall:
    """Result of a call to a server; not frozen, as one is created for each call.

    Parameters
    ----------
    now_ms : float
        When it ended.
    route : str
        Name of the route.
    server : Server
        Server that was called.
    elapsed_ms : float
        Latency, or time until the call was cancelled.
    ok : bool
        False if the server failed. Rejected calls are not recorded.
    is_cold : bool
        Whether the server was cold.
    answered : bool
        False if nothing was received, so that the network may be at fault.
    """

    now_ms: float
    route: str
    server: Server
    elapsed_ms: float
    ok: bool
    is_cold: bool
    answered: bool = True


class CallHistory:
    """Keep the latest calls, and pass those of watched services to ``on_call``."""

    def __init__(self) -> None:
        self.watched: frozenset[str] = frozenset()
        self.on_call: Callable[[CompletedCall], None] | None = None
        self._calls: dict[str, deque[CompletedCall]] = {}

    def add(
        self,
        attempt: Attempt,
        route: str,
        now_ms: float,
        ok: bool,
        answered: bool = True,
    ) -> None:
        """Record a call that has ended."""
        server = attempt.server
        service = server.record.service
        calls = self._calls.get(service)
        if calls is None:
            if len(self._calls) >= SERVICES_KEPT:
                self._calls.pop(next(iter(self._calls)))
            calls = deque(maxlen=CALLS_KEPT)
            self._calls[service] = calls
        elapsed_ms = now_ms - attempt.sent_ms
        is_cold = server.is_cold(now_ms)
        call = CompletedCall(now_ms, route, server, elapsed_ms, ok, is_cold, answered)
        calls.append(call)
        if service in self.watched and self.on_call is not None:
            self.on_call(call)

    def latest(self, service: str) -> Iterable[CompletedCall]:
        """Return a service's latest calls, oldest first."""
        return tuple(self._calls.get(service, ()))
