"""The task that carries requests from callers to backend servers and back."""

from collections.abc import Callable

from cowsliploom import platform
from cowsliploom.dataplane import HttpRequest
from cowsliploom.forwarding import (
    SendToRelay,
    CallerLeft,
    CallerRequest,
    Command,
    Exchange,
    MergedAnswer,
    ForwardedAnswer,
    Outcome,
    Reply,
    Route,
    Stopping,
    ErrorReply,
)
from cowsliploom.gateway._calls import CallRunner, ServerPools
from cowsliploom.gateway._relays import Relays
from cowsliploom.gateway._request_log import RequestLog

ROOM_RATIO = 2  # of a route's target; most requests are answered within that
RETRY_AFTER_MS = 50.0  # other entry VMs serve meanwhile


class Forwarder:
    """Own the open requests.

    Parameters
    ----------
    pools : ServerPools
        Connections to backend servers, and the desk that decides.
    relays : Relays
        Other entry VMs that ask shards.
    request_log : RequestLog
        Hears how each request ended.
    """

    def __init__(
        self, pools: ServerPools, relays: Relays, request_log: RequestLog
    ) -> None:
        self.pools = pools
        self.relays = relays
        self.request_log = request_log
        self._runs: set[_Run] = set()
        self._stop_ms = float('inf')

    @property
    def open(self) -> int:
        """Return the number of open requests."""
        return len(self._runs)

    def stop_at(self, stop_ms: float) -> None:
        """Take no request from now on that may not be answered by then."""
        self._stop_ms = stop_ms

    def end_all(self) -> None:
        """Answer all open requests with what there is, and refuse what still comes."""
        self._stop_ms = self.pools.now_ms()
        for run in tuple(self._runs):
            run.step(Stopping(self.pools.now_ms()))

    def take(self, http: HttpRequest) -> Callable[[], None] | None:
        """Take a caller's request; return what to call if the caller leaves."""
        request = platform.read_request(
            http.method,
            http.target,
            http.headers,
            http.body,
            http.arrived_ms,
            http.path_ms,
        )
        opened = self._open(request)
        if isinstance(opened, ErrorReply):
            self._reply(http, request, None, opened)
            return None
        run = _Run(self, http, request, opened)
        self._runs.add(run)
        run.start()
        return run.caller_left

    def finish(self, run: '_Run', reply: Reply | None) -> None:
        """Answer a request, or note that its caller has left."""
        self._runs.discard(run)
        self._reply(run.http, run.request, run.exchange, reply)

    def _open(self, request: CallerRequest) -> Exchange | ErrorReply:
        desk = self.pools.desk
        opened = desk.open(request)
        if isinstance(opened, Exchange) and self._is_late(request, opened.route):
            retry_after_ms = desk.retry_after_ms(RETRY_AFTER_MS)
            return ErrorReply(Outcome.REFUSED, 'about to stop', retry_after_ms)
        return opened

    def _is_late(self, request: CallerRequest, route: Route) -> bool:
        """Tell whether the process may end before a request is answered."""
        needed_ms = min(
            route.target_ms * ROOM_RATIO, route.timeout_ms, request.patience_ms
        )
        return self.pools.now_ms() + needed_ms > self._stop_ms

    def _reply(
        self,
        http: HttpRequest,
        request: CallerRequest,
        exchange: Exchange | None,
        reply: Reply | None,
    ) -> None:
        wire = _render(request.request_id, reply)
        status = 0
        if wire is not None:
            status = wire.status
            http.answer(status, wire.headers, wire.body)
        elapsed_ms = self.pools.now_ms() - request.arrived_ms
        self.request_log.ended(request, exchange, reply, status, elapsed_ms)


class _Run(CallRunner):
    """Carry out a caller's request."""

    def __init__(
        self,
        owner: Forwarder,
        http: HttpRequest,
        request: CallerRequest,
        exchange: Exchange,
    ) -> None:
        super().__init__(
            owner.pools,
            exchange,
            request.request_id,
            platform.render_call_head(request),
            request.body,
        )
        self._owner = owner
        self.http = http
        self.request = request
        self.exchange = exchange

    def caller_left(self) -> None:
        """Drop all calls, as nobody waits."""
        self.step(CallerLeft(self.pools.now_ms()))
        self._owner.finish(self, None)

    def conclude(self, command: Command) -> None:
        """Ask a relay, or answer the caller."""
        match command:
            case SendToRelay():
                self._owner.relays.ask(command, self)
            case ForwardedAnswer() | MergedAnswer() | ErrorReply():
                self._owner.finish(self, command)


def _render(request_id: str, reply: Reply | None) -> platform.WireReply | None:
    match reply:
        case ForwardedAnswer(answer):
            return platform.render_forwarded(answer)
        case MergedAnswer():
            return platform.render_merged(request_id, reply)
        case ErrorReply():
            return platform.render_error(request_id, reply)
    return None
