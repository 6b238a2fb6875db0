"""The task that carries requests from callers to backend servers and back."""

from collections.abc import Callable

from cowsliploom import platform
from cowsliploom.dataplane import HttpRequest
from cowsliploom.forwarding import (
    AskRelay,
    CallerLeft,
    CallerRequest,
    Command,
    Exchange,
    Gathered,
    PassOn,
    Reply,
    TurnAway,
)
from cowsliploom.gateway._calls import CallRunner, ServerPools
from cowsliploom.gateway._relays import Relays
from cowsliploom.gateway._request_log import RequestLog


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
        self.open = 0

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
        opened = self.pools.desk.open(request)
        if isinstance(opened, TurnAway):
            self._reply(http, request, None, opened)
            return None
        run = _Run(self, http, request, opened)
        self.open += 1
        run.start()
        return run.caller_left

    def finish(
        self,
        http: HttpRequest,
        request: CallerRequest,
        exchange: Exchange,
        reply: Reply | None,
    ) -> None:
        """Answer a request, or note that its caller has left."""
        self.open -= 1
        self._reply(http, request, exchange, reply)

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
        self._http = http
        self._request = request
        self._exchange = exchange

    def caller_left(self) -> None:
        """Drop all calls, as nobody waits."""
        self.step(CallerLeft(self.pools.now_ms()))
        self._owner.finish(self._http, self._request, self._exchange, None)

    def conclude(self, command: Command) -> None:
        """Ask a relay, or answer the caller."""
        match command:
            case AskRelay():
                self._owner.relays.ask(command, self)
            case PassOn() | Gathered() | TurnAway():
                self._owner.finish(self._http, self._request, self._exchange, command)


def _render(request_id: str, reply: Reply | None) -> platform.WireReply | None:
    match reply:
        case PassOn(answer):
            return platform.render_passed(answer)
        case Gathered():
            return platform.render_gathered(request_id, reply)
        case TurnAway():
            return platform.render_turned_away(request_id, reply)
    return None
