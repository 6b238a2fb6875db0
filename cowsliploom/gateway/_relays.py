"""Shares of queries: asked of other entry VMs, and carried out for them."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from functools import partial

from cowsliploom.dataplane import FrameConnection, FrameListener, open_frame_connection
from cowsliploom.forwarding import (
    SendToRelay,
    BackendAnswer,
    CallerLeft,
    CallerRequest,
    CallFailed,
    CallStep,
    Command,
    FanOut,
    RelayCallFailed,
    RelayAnswered,
    RelayCallsSent,
    RelayedShare,
    RelayReport,
)
from cowsliploom.gateway._calls import CallRunner, ServerPools
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._relay_wire import (
    Ask,
    Asked,
    Drop,
    Frame,
    Told,
    decode_frame,
    encode_frame,
)

OK = 200


class AskedShare:
    """Follow a share that another entry VM has been asked for.

    Parameters
    ----------
    share_id : int
        Names the share on its connection.
    command : SendToRelay
        What was asked for.
    runner : CallRunner
        Who asked.
    send : callable
        Sends a frame to the relay.
    """

    def __init__(
        self,
        share_id: int,
        command: SendToRelay,
        runner: CallRunner,
        send: Callable[[Frame], None],
    ) -> None:
        self.share_id = share_id
        self.runner = runner
        self._send = send
        self._open = {call.shard: call.call_id for call in command.calls}
        self._order = tuple(call.call_id for call in command.calls)
        for call_id in self._order:
            runner.calls[call_id] = self

    @property
    def is_open(self) -> bool:
        """Tell whether a report is still to come."""
        return bool(self._open)

    def cancel(self) -> None:
        """Give the share up; its calls are dropped together."""
        if self._open:
            self._open = {}
            self._send(Drop(self.share_id))

    def note_asked(self, servers: tuple[str, ...]) -> None:
        """Take which server was asked for each shard."""
        if self._open:
            asked = tuple(zip(self._order, servers))
            self.runner.step(RelayCallsSent(self.runner.pools.now_ms(), asked))

    def take(self, report: RelayReport) -> None:
        """Take what some shards came to."""
        now_ms = self.runner.pools.now_ms()
        known = [part for part in report.parts if part.shard in self._open]
        ids = {part.shard: self._open.pop(part.shard) for part in known}
        for call_id in ids.values():
            self.runner.calls.pop(call_id, None)
        good = [part for part in known if part.signature]
        bodies = itertools.chain((report.records,), itertools.repeat(b''))
        answers = tuple(
            (ids[part.shard], BackendAnswer(OK, (), body, part.signature))
            for part, body in zip(good, bodies)
        )
        if answers:
            self.runner.step(RelayAnswered(now_ms, answers))
        for part in known:
            if not part.signature:
                self.runner.step(
                    RelayCallFailed(now_ms, ids[part.shard], part.may_have_run)
                )

    def fail(self, step: CallStep, reason: str, may_have_run: bool) -> None:
        """Fail what is still open, as the relay can't be reached."""
        left = tuple(self._open.values())
        self._open = {}
        now_ms = self.runner.pools.now_ms()
        for call_id in left:
            self.runner.calls.pop(call_id, None)
            self.runner.step(CallFailed(now_ms, call_id, step, reason, may_have_run))


class _Link:
    """Own the connection to one relay and the shares asked of it.

    Parameters
    ----------
    address : str
        Where the relay listens.
    log : LineLog
        Log of what can't be read.
    """

    def __init__(self, address: str, log: LineLog) -> None:
        self.address = address
        self.log = log
        self._ids = itertools.count(1)
        self._shares: dict[int, AskedShare] = {}
        self._connection: FrameConnection | None = None
        self._waiting: list[Frame] = []
        self._opening: asyncio.Task[None] | None = None

    def ask(self, command: SendToRelay, runner: CallRunner) -> None:
        """Ask for a share."""
        share_id = next(self._ids)
        self._shares[share_id] = AskedShare(share_id, command, runner, self._drop)
        self._send(
            Ask(
                share_id,
                runner.request_id,
                command.route,
                runner.head,
                runner.body,
                tuple(call.shard for call in command.calls),
                command.records_max,
                command.patience_ms,
                command.report_after_ms,
            )
        )

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()

    def _drop(self, frame: Frame) -> None:
        if isinstance(frame, Drop):
            self._shares.pop(frame.share_id, None)
        self._send(frame)

    def _send(self, frame: Frame) -> None:
        if self._connection is not None:
            _send_frame(self._connection, frame)
            return
        self._waiting.append(frame)
        if self._opening is None:
            loop = asyncio.get_running_loop()
            self._opening = loop.create_task(self._open())

    async def _open(self) -> None:
        try:
            connection = await open_frame_connection(
                self.address, self._take, self._lost
            )
        except OSError as error:
            self._opening = None
            self._waiting.clear()
            self._fail(CallStep.CONNECT, repr(error), may_have_run=False)
            return
        self._opening = None
        self._connection = connection
        waiting = self._waiting
        self._waiting = []
        for frame in waiting:
            _send_frame(connection, frame)

    def _take(self, connection: FrameConnection, content: bytes) -> None:
        frame = decode_frame(content)
        if not isinstance(frame, Asked | Told):
            self.log.write('relay', 'unreadable', bytes=len(content))
            connection.abort()
            return
        share = self._shares.get(frame.share_id)
        if share is None:
            return
        if isinstance(frame, Asked):
            share.note_asked(frame.servers)
            return
        share.take(frame.report)
        if not share.is_open:
            self._shares.pop(frame.share_id, None)

    def _lost(self, _connection: FrameConnection) -> None:
        self._connection = None
        self._fail(CallStep.CONNECT, 'connection to the relay lost', may_have_run=True)

    def _fail(self, step: CallStep, reason: str, may_have_run: bool) -> None:
        shares = self._shares
        self._shares = {}
        for share in shares.values():
            share.fail(step, reason, may_have_run)


class _ShareRun(CallRunner):
    """Carry out a share for another entry VM."""

    def __init__(
        self,
        pools: ServerPools,
        share: RelayedShare,
        ask: Ask,
        send: Callable[[Frame], None],
        on_over: Callable[[], None],
    ) -> None:
        super().__init__(pools, share, ask.request_id, ask.head, ask.body)
        self._share = share
        self._share_id = ask.share_id
        self._tell = send
        self._on_over = on_over

    def start(self) -> None:
        """Send the calls and tell whom they went to."""
        super().start()
        self._tell(Asked(self._share_id, self._share.chosen_servers()))

    def carry_out(self, commands: Iterable[Command]) -> None:
        """Carry out commands, and report what is due."""
        super().carry_out(commands)
        report = self._share.report(self.pools.now_ms())
        if report is not None:
            self._tell(Told(self._share_id, report))
        if self._share.is_over:
            self._on_over()

    def conclude(self, command: Command) -> None:
        """Do nothing: the parts are told by reports."""

    def abandon(self) -> None:
        """Drop all calls, as nobody needs them."""
        self.step(CallerLeft(self.pools.now_ms()))


def _send_frame(connection: FrameConnection, frame: Frame) -> None:
    connection.send(encode_frame(frame))


class Relays:
    """Own the links to relays, and the listener for those who ask this one.

    Parameters
    ----------
    pools : ServerPools
        Connections to backend servers, and the desk that decides.
    address : str
        Where to listen, as ``host:port``; relays listen on the same port.
    log : LineLog
        Log of what can't be read.
    """

    def __init__(self, pools: ServerPools, address: str, log: LineLog) -> None:
        self.pools = pools
        self.log = log
        self.listener = FrameListener(address, self._take, self._lost)
        self._port = address.rpartition(':')[2]
        self._links: dict[str, _Link] = {}
        self._runs: dict[tuple[FrameConnection, int], _ShareRun] = {}

    def ask(self, command: SendToRelay, runner: CallRunner) -> None:
        """Ask a relay for a share."""
        host = command.relay.record.address.rpartition(':')[0]
        link = self._links.get(host)
        if link is None:
            link = _Link(f'{host}:{self._port}', self.log)
            self._links[host] = link
        link.ask(command, runner)

    def close(self) -> None:
        """Close the links."""
        for link in self._links.values():
            link.close()

    def _take(self, connection: FrameConnection, content: bytes) -> None:
        frame = decode_frame(content)
        match frame:
            case Ask():
                self._serve(connection, frame)
            case Drop(share_id):
                run = self._runs.pop((connection, share_id), None)
                if run is not None:
                    run.abandon()
            case _:
                self.log.write('relay', 'unreadable', bytes=len(content))
                connection.abort()

    def _serve(self, connection: FrameConnection, ask: Ask) -> None:
        now_ms = self.pools.now_ms()
        request = CallerRequest(
            ask.request_id, '', '', '', (), ask.body, now_ms, ask.patience_ms
        )
        share = self.pools.desk.open_share(
            request,
            ask.route,
            FanOut(ask.shards, ask.records_max, 0),
            now_ms + ask.report_after_ms,
        )
        key = (connection, ask.share_id)

        self._runs[key] = _ShareRun(
            self.pools,
            share,
            ask,
            partial(_send_frame, connection),
            partial(self._forget, key),
        )
        self._runs[key].start()

    def _forget(self, key: tuple[FrameConnection, int]) -> None:
        self._runs.pop(key, None)

    def _lost(self, connection: FrameConnection) -> None:
        gone = [key for key in self._runs if key[0] is connection]
        for key in gone:
            self._runs.pop(key).abandon()
