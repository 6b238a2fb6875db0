"""Forwarding of callers' requests to backend servers, and of the replies."""

from collections.abc import Callable, Iterable

from cowsliploom import platform
from cowsliploom.dataplane import HttpRequest, exchange_weight, headers_weight
from cowsliploom.forwarding import (
    CallerLeft,
    CallerRequest,
    Command,
    ErrorReply,
    Exchange,
    ForwardedAnswer,
    MergedAnswer,
    Outcome,
    Reply,
    Route,
    SendCall,
    SendToRelay,
    Stopping,
)
from cowsliploom.gateway._calls import CallRunner, ServerPools
from cowsliploom.gateway._relays import Relays
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway._usage_exchange import UsageExchange

# Most requests are answered within this multiple of their route's target latency.
NEEDED_TIME_RATIO = 2
INTERNAL_ERROR = ErrorReply(Outcome.FAILED, 'internal error')
RETRY_AFTER_MS = 50.0  # other entry VMs still accept requests
ROOM_RETRY_AFTER_MS = 300.0  # the requests that take the room end by their deadlines
HEADER_COPIES = 3  # as received, as forwarded, and in the head of the calls


class Forwarder:
    """Forward requests and keep track of the open ones.

    Parameters
    ----------
    pools : ServerPools
        Connections to backend servers, and the dispatcher that opens exchanges.
    relays : Relays
        Connections to other entry VMs that query shards.
    request_log : RequestLog
        Records how each request ended.
    usage : UsageExchange or None
        Counts the requests of workspaces that began to run. Default none.
    """

    def __init__(
        self,
        pools: ServerPools,
        relays: Relays,
        request_log: RequestLog,
        usage: UsageExchange | None = None,
    ) -> None:
        self.pools = pools
        self.relays = relays
        self.request_log = request_log
        self.usage = usage or UsageExchange()
        self._runners: set[_RequestRunner] = set()
        self._stop_ms = float('inf')

    @property
    def open_requests(self) -> int:
        """Return the number of open requests."""
        return len(self._runners)

    def stop_at(self, stop_ms: float) -> None:
        """Reject from now on requests that may not be answered before ``stop_ms``."""
        self._stop_ms = stop_ms

    def stop_now(self) -> None:
        """Answer all open requests with the parts at hand, and reject new ones."""
        self._stop_ms = self.pools.now_ms()
        for runner in tuple(self._runners):
            runner.handle(Stopping(self.pools.now_ms()))

    def handle(self, http: HttpRequest) -> Callable[[], None] | None:
        """Handle a caller's request; return the callback for its disconnection."""
        request = platform.read_request(
            http.method,
            http.target,
            http.headers,
            http.body,
            http.arrived_ms,
            http.path_ms,
            has_workspaces=bool(self.pools.dispatcher.table.workspaces),
        )
        opened = self._open(request)
        if isinstance(opened, ErrorReply):
            self._reply(http, request, None, opened)
            return None
        runner = _RequestRunner(self, http, request, opened)
        if not runner.admit():
            retry_after_ms = self.pools.dispatcher.retry_after_ms(ROOM_RETRY_AFTER_MS)
            refusal = ErrorReply(Outcome.REFUSED, 'out of memory', retry_after_ms)
            self._reply(http, request, None, refusal)
            return None
        self._runners.add(runner)
        runner.start()
        return runner.handle_disconnect

    def finish(self, runner: '_RequestRunner', reply: Reply | None) -> None:
        """Answer a request, or record that its caller has disconnected; once."""
        if runner not in self._runners:
            return
        self._runners.discard(runner)
        runner.settle_usage()
        runner.release(runner.weight)
        self._reply(runner.http, runner.request, runner.exchange, reply)

    def _open(self, request: CallerRequest) -> Exchange | ErrorReply:
        dispatcher = self.pools.dispatcher
        opened = dispatcher.open(request)
        if isinstance(opened, Exchange) and self._may_end_first(request, opened.route):
            retry_after_ms = dispatcher.retry_after_ms(RETRY_AFTER_MS)
            return ErrorReply(Outcome.REFUSED, 'about to stop', retry_after_ms)
        return opened

    def _may_end_first(self, request: CallerRequest, route: Route) -> bool:
        """Return whether the process may stop before a request is answered."""
        needed_ms = min(
            route.target_ms * NEEDED_TIME_RATIO, route.timeout_ms, request.patience_ms
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
        self.request_log.record_end(request, exchange, reply, status, elapsed_ms)


class _RequestRunner(CallRunner):
    """Execute the exchange of a caller's request."""

    def __init__(
        self,
        forwarder: Forwarder,
        http: HttpRequest,
        request: CallerRequest,
        exchange: Exchange,
    ) -> None:
        super().__init__(
            forwarder.pools,
            exchange,
            request.request_id,
            platform.render_call_head(request, exchange.workspace),
            request.body,
            exchange.route.fan_out.records_max if exchange.route.fan_out else None,
        )
        self._forwarder = forwarder
        self.http = http
        self.request = request
        self.exchange = exchange
        self._usage_window = 0

    @property
    def weight(self) -> int:
        """Memory that the request takes, without answers."""
        headers = HEADER_COPIES * headers_weight(self.http.headers)
        services = exchange_weight(len(self.exchange.sub_requests))
        return services + headers + len(self.request.body)

    def admit(self) -> bool:
        """Return whether the process has room for the request, and take it."""
        self.held_bytes = self.weight
        return self.pools.admission.begin(self, self.held_bytes)

    def execute(self, commands: Iterable[Command]) -> None:
        """Execute commands, and meter the request once it is sent."""
        commands = tuple(commands)
        if not self._usage_window and any(map(_sends, commands)):
            workspace = self.exchange.workspace.name
            now_ms = self.pools.now_ms()
            self._usage_window = self._forwarder.usage.begin(workspace, now_ms)
        super().execute(commands)

    def settle_usage(self) -> None:
        """Take the request back if no server began to run it."""
        if self._usage_window:
            parts = self.exchange.sub_requests
            if not any(part.may_have_run for part in parts):
                workspace = self.exchange.workspace.name
                self._forwarder.usage.take_back(workspace, self._usage_window)

    def handle_disconnect(self) -> None:
        """Cancel all calls after the caller has disconnected."""
        self.handle(CallerLeft(self.pools.now_ms()))
        self._forwarder.finish(self, None)

    def end_without_result(self) -> None:
        """Tell the caller that the request may have run."""
        self._forwarder.finish(self, INTERNAL_ERROR)

    def execute_command(self, command: Command) -> None:
        """Request a share from a relay, or answer the caller."""
        match command:
            case SendToRelay():
                self._forwarder.relays.request_share(command, self)
            case ForwardedAnswer() | MergedAnswer() | ErrorReply():
                self._forwarder.finish(self, command)


def _sends(command: Command) -> bool:
    return isinstance(command, SendCall | SendToRelay)


def _render(request_id: str, reply: Reply | None) -> platform.WireReply | None:
    match reply:
        case ForwardedAnswer(answer):
            return platform.render_forwarded(answer)
        case MergedAnswer():
            return platform.render_merged(request_id, reply)
        case ErrorReply():
            return platform.render_error(request_id, reply)
    return None
