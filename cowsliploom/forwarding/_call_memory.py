"""What the latest calls of each service came to, as evidence on its versions."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cowsliploom.forwarding._servers import Server
from cowsliploom.forwarding._work import Attempt

CALLS_KEPT = 32  # a service's usual latency shows in so many
SERVICES_KEPT = 512


@dataclass(slots=True)
class CompletedCall:
    """Hold what a call to a server came to; not frozen, as one is made for each call.

    Parameters
    ----------
    now_ms : float
        When it ended.
    route : str
        Name of the route.
    server : Server
        Whom it went to.
    elapsed_ms : float
        How long it took, or has taken when it was given up.
    ok : bool
        False for a failure of the server's own; refusals aren't seen here.
    is_cold : bool
        Whether the server was cold.
    heard : bool
        False where nothing came from the server, so that the link may be at fault.
    """

    now_ms: float
    route: str
    server: Server
    elapsed_ms: float
    ok: bool
    is_cold: bool
    heard: bool = True


class CallMemory:
    """Remember the latest calls, and hand on those of services that are watched."""

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
        heard: bool = True,
    ) -> None:
        """Take a call that has ended."""
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
        call = CompletedCall(now_ms, route, server, elapsed_ms, ok, is_cold, heard)
        calls.append(call)
        if service in self.watched and self.on_call is not None:
            self.on_call(call)

    def latest(self, service: str) -> Iterable[CompletedCall]:
        """Return a service's latest calls, the oldest first."""
        return tuple(self._calls.get(service, ()))
