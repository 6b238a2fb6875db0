"""Calls to backend servers for an exchange, and the timer of the exchange."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from functools import partial
from typing import Protocol

from cowsliploom import platform
from cowsliploom.dataplane import (
    Abortable,
    Admission,
    AnswerBounds,
    CallResult,
    ConnectionPools,
    HeaderList,
    HeadWatch,
    HttpAnswer,
    HttpCall,
    HttpFailure,
    headers_weight,
)
from cowsliploom.forwarding import (
    CallAnswered,
    CallerLeft,
    CallFailed,
    CallStep,
    CancelCall,
    Command,
    ExchangeEvent,
    RequestDispatcher,
    SendCall,
    Server,
    ServerNotice,
    Ticked,
    greatest_records,
)

MS_PER_S = 1000
POSTPONED_MS = 10.0  # until it is asked again whether calls may be sent
LEAVING_NOTICE = ServerNotice(is_leaving=True)
# The same limit as for a relay's report, which is one frame.
SERVER_BOUNDS = AnswerBounds(body_bytes_max=4_000_000)


class ServerPools:
    """Manage the connections to backend servers, one pool per incarnation.

    A server that starts anew under its name is another incarnation, with another pool.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Holds the fleet of known servers.
    admission : Admission or None
        Account of the process. Default one without limits.

    Attributes
    ----------
    report_error : callable
        Receives the request id and an unexpected error that ended a request.
    """

    def __init__(
        self, dispatcher: RequestDispatcher, admission: Admission | None = None
    ) -> None:
        self.dispatcher = dispatcher
        self.admission = Admission() if admission is None else admission
        self.loop = asyncio.get_running_loop()
        self.report_error: Callable[[str, Exception], None] = self._report_to_loop
        self.may_send: Callable[[], bool] = _always
        self._pools: ConnectionPools[Server] = ConnectionPools(
            SERVER_BOUNDS, self.admission
        )

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return self.loop.time() * MS_PER_S

    @property
    def counts(self) -> Mapping[str, int]:
        """Counts of unusual answers and passed-over connections, by kind."""
        return self._pools.counts

    def send(self, server: Server, call: HttpCall) -> None:
        """Send a call to a server."""
        pool = self._pools.get(server, server.record.address, self._watch_heads)
        pool.send(call)

    def fail_soon(self, server: Server, call: HttpCall, error: Exception) -> None:
        """Fail a call that could not be sent; the caller has handled its commands then.

        The reason is in the log lines of the server and of the request.
        """
        self._pools.counts['call_errors'] += 1
        failure = HttpFailure(
            CallStep.CONNECT, server.record.address, repr(error), may_have_run=False
        )
        self.loop.call_soon(call.end, failure)

    def record_leaving(self, names: Iterable[str]) -> None:
        """Record servers that leave, as another entry VM has heard from them."""
        fleet = self.dispatcher.fleet
        for name in names:
            server = fleet.get(name)
            if server is not None and not server.standing.is_leaving:
                fleet.apply_notice(server, LEAVING_NOTICE, self.now_ms())

    def close_removed(self) -> None:
        """Close the connections to servers that are no longer in the fleet."""
        fleet = self.dispatcher.fleet
        self._pools.keep(lambda server: fleet.get(server.name) is server)

    def close_idle(self) -> None:
        """Close the connections without an open call."""
        self._pools.drop_idle()

    def _report_to_loop(self, request_id: str, error: Exception) -> None:
        message = f'request {request_id} ended by an error'
        self.loop.call_exception_handler({'message': message, 'exception': error})

    def _watch_heads(self, server: Server) -> HeadWatch:
        return HeadWatch(platform.NOTICE_HEADERS, partial(self._read_head, server))

    def _read_head(self, server: Server, status: int, headers: HeaderList) -> None:
        notice = platform.read_notice(status, headers)
        if notice is not None:
            self.dispatcher.fleet.apply_notice(server, notice, self.now_ms())


class CallStateMachine(Protocol):
    """Sans-IO state machine that decides on calls: an exchange or a relayed share."""

    @property
    def due_ms(self) -> float:
        """Return when the next timer event is due."""
        ...

    @property
    def is_over(self) -> bool:
        """Return whether the exchange has ended."""
        ...

    def start(self, now_ms: float) -> list[Command]:
        """Return the first commands."""
        ...

    def step(self, event: ExchangeEvent) -> list[Command]:
        """Handle one event and return the resulting commands."""
        ...


class OpenCall(Protocol):
    """A call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call."""
        ...


class CallRunner:
    """Execute the commands of one exchange.

    Parameters
    ----------
    pools : ServerPools
        Connections to backend servers.
    machine : CallStateMachine
        Returns the commands for each event.
    request_id : str
        The caller's request id; answers with another id are not accepted.
    head : str
        Common start of all calls.
    body : bytes
        Request body.
    records_max : int or None
        Greatest records that are needed of each answer; None for whole answers.
    """

    def __init__(
        self,
        pools: ServerPools,
        machine: CallStateMachine,
        request_id: str,
        head: str,
        body: bytes,
        records_max: int | None = None,
    ) -> None:
        self.pools = pools
        self.held_bytes = 0
        self._records_max = records_max
        self.request_id = request_id
        self.head = head
        self.body = body
        self.calls: dict[int, OpenCall] = {}
        self._machine = machine
        self._used_connections: set[Abortable] = set()
        self._has_failed = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms: float = 0

    def start(self) -> None:
        """Send the first calls, or wait until calls may be sent."""
        if self._is_postponed(self.start):
            return
        try:
            self.execute(self._machine.start(self.pools.now_ms()))
        except Exception as error:
            self._end_failed(error)

    def handle(self, event: ExchangeEvent) -> None:
        """Pass an event to the state machine and execute the commands.

        An unexpected error ends this request only: other requests share the timers and
        connections that it is raised on.
        """
        if self._has_failed:
            return
        try:
            self.execute(self._machine.step(event))
        except Exception as error:
            self._end_failed(error)

    def execute(self, commands: Iterable[Command]) -> None:
        """Execute commands and set the timer."""
        for command in commands:
            match command:
                case SendCall():
                    self._send(command)
                case CancelCall(call_id):
                    self._cancel(call_id)
                case _:
                    self.execute_command(command)
        self._set_timer()

    def execute_command(self, command: Command) -> None:
        """Execute a command that neither sends nor cancels a call."""
        raise NotImplementedError

    def end_without_result(self) -> None:
        """End the request after an unexpected error."""
        raise NotImplementedError

    def _end_failed(self, error: Exception) -> None:
        self._has_failed = True
        self.pools.report_error(self.request_id, error)
        self.execute(self._machine.step(CallerLeft(self.pools.now_ms())))
        self.end_without_result()

    def _cancel(self, call_id: int) -> None:
        call = self.calls.pop(call_id, None)
        if call is not None:
            call.cancel()

    def _send(self, command: SendCall) -> None:
        """Send a call; an unexpected error on the way is a failure of its server."""
        server = command.server
        call = HttpCall(
            b'',
            partial(self._handle_result, command.call_id),
            partial(platform.answer_origin, self.request_id),
            self._used_connections,
            self.body,
        )
        self.calls[command.call_id] = call
        try:
            call.content = platform.render_call(
                self.head, server.name, command.patience_ms
            )
            self.pools.send(server, call)
        except Exception as error:
            self.pools.fail_soon(server, call, error)

    def _handle_result(self, call_id: int, result: CallResult) -> None:
        self.calls.pop(call_id, None)
        now_ms = self.pools.now_ms()
        if isinstance(result, HttpAnswer):
            answer = platform.read_answer(result)
            if self._records_max is None:
                self.hold(len(answer.body) + headers_weight(answer.headers))
            else:
                body = greatest_records(answer.body, self._records_max)
                answer = replace(answer, body=body, headers=())
                self.hold(len(body))
            self.handle(CallAnswered(now_ms, call_id, answer))
            return
        self.handle(
            CallFailed(now_ms, call_id, result.step, result.reason, result.may_have_run)
        )

    def hold(self, more_bytes: int) -> None:
        """Record that the request holds more memory, until it is over."""
        self.held_bytes += more_bytes
        self.pools.admission.charge(self, self.held_bytes)

    def release(self, held_bytes: int = 0) -> None:
        """Record that the request holds no more than so much."""
        self.held_bytes = min(self.held_bytes, held_bytes)
        self.pools.admission.charge(self, self.held_bytes)

    def _set_timer(self) -> None:
        machine = self._machine
        if machine.is_over:
            self.release()
        if self._timer is not None:
            if not machine.is_over and self._timer_ms <= machine.due_ms:
                return
            self._timer.cancel()
            self._timer = None
        if not machine.is_over:
            self._timer_ms = machine.due_ms
            self._timer = self.pools.loop.call_at(
                machine.due_ms / MS_PER_S, self._handle_timer
            )

    def _is_postponed(self, resume: Callable[[], None]) -> bool:
        self._timer = None
        if self.pools.may_send():
            return False
        self._timer_ms = self.pools.now_ms() + POSTPONED_MS
        self._timer = self.pools.loop.call_at(self._timer_ms / MS_PER_S, resume)
        return True

    def _handle_timer(self) -> None:
        if self._is_postponed(self._handle_timer):
            return
        now_ms = self.pools.now_ms()
        self.pools.dispatcher.record_loop_lag(now_ms - self._timer_ms)
        self.handle(Ticked(now_ms))


def _always() -> bool:
    return True
