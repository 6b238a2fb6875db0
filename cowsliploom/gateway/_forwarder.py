"""The task that carries requests from callers to backend servers and back."""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from cowsliploom import platform
from cowsliploom.dataplane import (
    CallResult,
    ConnectionPool,
    HttpAnswer,
    HttpCall,
    HttpRequest,
)
from cowsliploom.forwarding import (
    CallAnswered,
    CallerLeft,
    CallerRequest,
    CallFailed,
    Command,
    DropCall,
    Exchange,
    ExchangeEvent,
    ForwardingDesk,
    Gathered,
    PassOn,
    Reply,
    SendCall,
    Ticked,
    TurnAway,
)
from cowsliploom.gateway._request_log import RequestLog

MS_PER_S = 1000


class Forwarder:
    """Own the open requests and the connections to backend servers.

    Parameters
    ----------
    desk : ForwardingDesk
        Decides.
    request_log : RequestLog
        Hears how each request ended.
    """

    def __init__(self, desk: ForwardingDesk, request_log: RequestLog) -> None:
        self.desk = desk
        self.request_log = request_log
        self.loop = asyncio.get_running_loop()
        self.open = 0
        self._pools: dict[str, ConnectionPool] = {}

    def now_ms(self) -> float:
        """Return the steady clock in milliseconds."""
        return self.loop.time() * MS_PER_S

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
        opened = self.desk.open(request)
        if isinstance(opened, TurnAway):
            self._reply(http, request, None, opened)
            return None
        run = _Run(self, http, request, opened)
        self.open += 1
        run.start()
        return run.caller_left

    def pool(self, name: str, address: str) -> ConnectionPool:
        """Return the connections to one incarnation of a server."""
        known = self._pools.get(name)
        if known is None:
            known = ConnectionPool(address)
            self._pools[name] = known
        return known

    def forget_servers(self, names: Iterable[str]) -> None:
        """Close the connections to servers that are gone."""
        for name in names:
            pool = self._pools.pop(name, None)
            if pool is not None:
                pool.close()

    def sweep(self) -> None:
        """Close the connections to servers that the fleet no longer has."""
        gone = [name for name in self._pools if self.desk.fleet.get(name) is None]
        self.forget_servers(gone)

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
        elapsed_ms = self.now_ms() - request.arrived_ms
        self.request_log.ended(request, exchange, reply, status, elapsed_ms)


class _Run:
    """Carry out the commands of one exchange."""

    def __init__(
        self,
        owner: Forwarder,
        http: HttpRequest,
        request: CallerRequest,
        exchange: Exchange,
    ) -> None:
        self._owner = owner
        self._http = http
        self._request = request
        self._exchange = exchange
        self._head = platform.render_call_head(request)
        self._calls: dict[int, HttpCall] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms: float = 0

    def start(self) -> None:
        """Send the first calls."""
        self._carry_out(self._exchange.start(self._owner.now_ms()))

    def caller_left(self) -> None:
        """Drop all calls, as nobody waits."""
        self._step(CallerLeft(self._owner.now_ms()))
        self._owner.finish(self._http, self._request, self._exchange, None)

    def _step(self, event: ExchangeEvent) -> None:
        self._carry_out(self._exchange.step(event))

    def _carry_out(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case SendCall():
                    self._send(command)
                case DropCall(call_id):
                    self._drop(call_id)
                case _:
                    self._owner.finish(
                        self._http, self._request, self._exchange, command
                    )
        self._set_timer()

    def _drop(self, call_id: int) -> None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.drop()

    def _send(self, command: SendCall) -> None:
        server = command.server
        content = platform.render_call(
            self._head, self._request.body, server.name, command.patience_ms
        )
        call = HttpCall(
            content,
            partial(self._ended, command.call_id),
            partial(platform.is_answer_to, self._request.request_id),
        )
        self._calls[command.call_id] = call
        self._owner.pool(server.name, server.record.address).send(call)

    def _ended(self, call_id: int, result: CallResult) -> None:
        self._calls.pop(call_id, None)
        now_ms = self._owner.now_ms()
        if isinstance(result, HttpAnswer):
            answer = platform.read_answer(result)
            self._step(CallAnswered(now_ms, call_id, answer))
            return
        self._step(
            CallFailed(now_ms, call_id, result.step, result.reason, result.may_have_run)
        )

    def _set_timer(self) -> None:
        exchange = self._exchange
        if self._timer is not None:
            if not exchange.is_over and self._timer_ms <= exchange.due_ms:
                return
            self._timer.cancel()
            self._timer = None
        if not exchange.is_over:
            self._timer_ms = exchange.due_ms
            self._timer = self._owner.loop.call_at(
                exchange.due_ms / MS_PER_S, self._tick
            )

    def _tick(self) -> None:
        self._timer = None
        now_ms = self._owner.now_ms()
        self._owner.desk.note_lateness(now_ms - self._timer_ms)
        self._step(Ticked(now_ms))


def _render(request_id: str, reply: Reply | None) -> platform.WireReply | None:
    match reply:
        case PassOn(answer):
            return platform.render_passed(answer)
        case Gathered():
            return platform.render_gathered(request_id, reply)
        case TurnAway():
            return platform.render_turned_away(request_id, reply)
    return None
