"""Calls to backend servers on behalf of an exchange, and its timer."""

import asyncio
from collections.abc import Iterable
from functools import partial
from typing import Protocol

from cowsliploom import platform
from cowsliploom.dataplane import (
    AnswerBounds,
    CallResult,
    ConnectionPools,
    HttpAnswer,
    HttpCall,
)
from cowsliploom.forwarding import (
    CallAnswered,
    CallFailed,
    Command,
    CancelCall,
    ExchangeEvent,
    RequestDispatcher,
    SendCall,
    Server,
    Ticked,
)

MS_PER_S = 1000
SERVER_BOUNDS = AnswerBounds(body_bytes_max=4_000_000)  # as a relay's report


class ServerPools:
    """Own the connections to backend servers, one pool for each incarnation.

    Parameters
    ----------
    desk : RequestDispatcher
        Knows which servers there are.
    """

    def __init__(self, desk: RequestDispatcher) -> None:
        self.desk = desk
        self.loop = asyncio.get_running_loop()
        self._pools = ConnectionPools(SERVER_BOUNDS)

    def now_ms(self) -> float:
        """Return the steady clock in milliseconds."""
        return self.loop.time() * MS_PER_S

    def send(self, server: Server, call: HttpCall) -> None:
        """Send a call to a server."""
        self._pools.get(server.name, server.record.address).send(call)

    def sweep(self) -> None:
        """Close the connections to servers that the fleet no longer has."""
        self._pools.keep(lambda name: self.desk.fleet.get(name) is not None)

    def drop_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        self._pools.drop_idle()


class Steps(Protocol):
    """What is carried out: an exchange, or a share of one."""

    @property
    def due_ms(self) -> float:
        """Return when to look again."""
        ...

    @property
    def is_over(self) -> bool:
        """Tell whether nothing more is to be done."""
        ...

    def start(self, now_ms: float) -> list[Command]:
        """Return the first commands."""
        ...

    def step(self, event: ExchangeEvent) -> list[Command]:
        """Take one event and return commands."""
        ...


class OpenCall(Protocol):
    """A call that may be dropped."""

    def cancel(self) -> None:
        """Give the call up."""
        ...


class CallRunner:
    """Carry out the commands of one exchange.

    Parameters
    ----------
    pools : ServerPools
        Connections to backend servers.
    steps : Steps
        Decides.
    request_id : str
        The caller's id, by which answers are known.
    head : str
        What all calls begin with.
    body : bytes
        Body of the request.
    """

    def __init__(
        self,
        pools: ServerPools,
        steps: Steps,
        request_id: str,
        head: str,
        body: bytes,
    ) -> None:
        self.pools = pools
        self.request_id = request_id
        self.head = head
        self.body = body
        self.calls: dict[int, OpenCall] = {}
        self._steps = steps
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms: float = 0

    def start(self) -> None:
        """Send the first calls."""
        self.carry_out(self._steps.start(self.pools.now_ms()))

    def step(self, event: ExchangeEvent) -> None:
        """Let the exchange take an event."""
        self.carry_out(self._steps.step(event))

    def carry_out(self, commands: Iterable[Command]) -> None:
        """Carry out commands and set the timer."""
        for command in commands:
            match command:
                case SendCall():
                    self._send(command)
                case CancelCall(call_id):
                    self._drop(call_id)
                case _:
                    self.conclude(command)
        self._set_timer()

    def conclude(self, command: Command) -> None:
        """Carry out a command that is no call to a server."""
        raise NotImplementedError

    def _drop(self, call_id: int) -> None:
        call = self.calls.pop(call_id, None)
        if call is not None:
            call.cancel()

    def _send(self, command: SendCall) -> None:
        server = command.server
        content = platform.render_call(
            self.head, self.body, server.name, command.patience_ms
        )
        call = HttpCall(
            content,
            partial(self._ended, command.call_id),
            partial(platform.is_answer_to, self.request_id),
        )
        self.calls[command.call_id] = call
        self.pools.send(server, call)

    def _ended(self, call_id: int, result: CallResult) -> None:
        self.calls.pop(call_id, None)
        now_ms = self.pools.now_ms()
        if isinstance(result, HttpAnswer):
            answer = platform.read_answer(result)
            self.step(CallAnswered(now_ms, call_id, answer))
            return
        self.step(
            CallFailed(now_ms, call_id, result.step, result.reason, result.may_have_run)
        )

    def _set_timer(self) -> None:
        steps = self._steps
        if self._timer is not None:
            if not steps.is_over and self._timer_ms <= steps.due_ms:
                return
            self._timer.cancel()
            self._timer = None
        if not steps.is_over:
            self._timer_ms = steps.due_ms
            self._timer = self.pools.loop.call_at(steps.due_ms / MS_PER_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now_ms = self.pools.now_ms()
        self.pools.desk.record_loop_lag(now_ms - self._timer_ms)
        self.step(Ticked(now_ms))
