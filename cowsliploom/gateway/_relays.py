"""Shares of queries: requested from other entry VMs, and carried out for them."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from functools import partial

from cowsliploom.dataplane import (
    Admission,
    FrameConnection,
    FrameListener,
    Use,
    exchange_weight,
    open_frame_connection,
)
from cowsliploom.forwarding import (
    BackendAnswer,
    CallerLeft,
    CallerRequest,
    CallFailed,
    CallStep,
    Command,
    FanOut,
    RelayAnswered,
    RelayCallFailed,
    RelayCallsSent,
    RelayedPart,
    RelayedShare,
    RelayReport,
    SendToRelay,
)
from cowsliploom.gateway._calls import CallRunner, ServerPools
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._relay_wire import (
    CancelShare,
    Frame,
    ShareDispatched,
    ShareReport,
    ShareRequest,
    decode_frame,
    encode_frame,
)

OK = 200
CALLS_SHARE = 0.5  # of the descriptors for calls; the rest is for own callers


class RequestedShare:
    """Track a share that was requested from another entry VM.

    Parameters
    ----------
    share_id : int
        Identifies the share on its connection.
    command : SendToRelay
        The request to the relay.
    runner : CallRunner
        Runner of the exchange that the share belongs to.
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
        self._open_calls = {call.shard: call.call_id for call in command.calls}
        self._call_ids = tuple(call.call_id for call in command.calls)
        for call_id in self._call_ids:
            runner.calls[call_id] = self

    @property
    def is_open(self) -> bool:
        """Return whether some shards are still without a result."""
        return bool(self._open_calls)

    def cancel(self) -> None:
        """Cancel the share with all its calls."""
        if self._open_calls:
            self._open_calls = {}
            self._send(CancelShare(self.share_id))

    def record_servers(self, servers: tuple[str, ...]) -> None:
        """Record the server that the relay called for each shard."""
        if self._open_calls:
            asked = tuple(zip(self._call_ids, servers))
            self.runner.handle(RelayCallsSent(self.runner.pools.now_ms(), asked))

    def handle_report(self, report: RelayReport) -> None:
        """Handle the results of some shards."""
        now_ms = self.runner.pools.now_ms()
        self.runner.pools.record_leaving(report.leaving)
        known = [part for part in report.parts if part.shard in self._open_calls]
        ids = {part.shard: self._open_calls.pop(part.shard) for part in known}
        for call_id in ids.values():
            self.runner.calls.pop(call_id, None)
        self.runner.hold(len(report.records))
        answered = [part for part in known if part.signature]
        bodies = itertools.chain((report.records,), itertools.repeat(b''))
        answers = tuple(
            (ids[part.shard], BackendAnswer(OK, (), body, part.signature))
            for part, body in zip(answered, bodies)
        )
        if answers:
            self.runner.handle(RelayAnswered(now_ms, answers))
        for part in known:
            if not part.signature:
                self.runner.handle(
                    RelayCallFailed(now_ms, ids[part.shard], part.may_have_run)
                )

    def fail(self, step: CallStep, reason: str, may_have_run: bool) -> None:
        """Fail the open calls after the connection to the relay has failed."""
        call_ids = tuple(self._open_calls.values())
        self._open_calls = {}
        now_ms = self.runner.pools.now_ms()
        for call_id in call_ids:
            self.runner.calls.pop(call_id, None)
            self.runner.handle(CallFailed(now_ms, call_id, step, reason, may_have_run))


class _RelayClient:
    """Manage the connection to one relay and the shares requested from it.

    Parameters
    ----------
    address : str
        Address of the relay.
    log : LineLog
        Receives malformed frames.
    admission : Admission
        Account of the process.
    """

    def __init__(self, address: str, log: LineLog, admission: Admission) -> None:
        self.address = address
        self.log = log
        self._admission = admission
        self._ids = itertools.count(1)
        self._shares: dict[int, RequestedShare] = {}
        self._connection: FrameConnection | None = None
        self._unsent: list[Frame] = []
        self._connecting: asyncio.Task[None] | None = None

    def request_share(self, command: SendToRelay, runner: CallRunner) -> None:
        """Request a share from the relay."""
        share_id = next(self._ids)
        self._shares[share_id] = RequestedShare(share_id, command, runner, self._cancel)
        self._send(
            ShareRequest(
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

    def _cancel(self, frame: Frame) -> None:
        if isinstance(frame, CancelShare):
            self._shares.pop(frame.share_id, None)
        self._send(frame)

    def _send(self, frame: Frame) -> None:
        if self._connection is not None:
            _send_frame(self._connection, frame)
            return
        self._unsent.append(frame)
        if self._connecting is None:
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            connection = await open_frame_connection(
                self.address,
                self._handle_frame,
                self._handle_disconnect,
                self._admission,
            )
        except OSError as error:
            self._connecting = None
            self._unsent.clear()
            self._fail(CallStep.CONNECT, repr(error), may_have_run=False)
            return
        self._connecting = None
        self._connection = connection
        unsent = self._unsent
        self._unsent = []
        for frame in unsent:
            _send_frame(connection, frame)

    def _handle_frame(self, connection: FrameConnection, content: bytes) -> None:
        frame = decode_frame(content)
        if not isinstance(frame, ShareDispatched | ShareReport):
            self.log.write('relay', 'unreadable', bytes=len(content))
            connection.abort()
            return
        share = self._shares.get(frame.share_id)
        if share is None:
            return
        if isinstance(frame, ShareDispatched):
            share.record_servers(frame.servers)
            return
        share.handle_report(frame.report)
        if not share.is_open:
            self._shares.pop(frame.share_id, None)

    def _handle_disconnect(self, _connection: FrameConnection) -> None:
        self._connection = None
        self._fail(CallStep.CONNECT, 'connection to the relay lost', may_have_run=True)

    def _fail(self, step: CallStep, reason: str, may_have_run: bool) -> None:
        shares = self._shares
        self._shares = {}
        for share in shares.values():
            share.fail(step, reason, may_have_run)


class _ShareRunner(CallRunner):
    """Carry out a share for another entry VM."""

    def __init__(
        self,
        pools: ServerPools,
        share: RelayedShare,
        request: ShareRequest,
        send: Callable[[Frame], None],
        on_end: Callable[[], None],
    ) -> None:
        super().__init__(
            pools,
            share,
            request.request_id,
            request.head,
            request.body,
            request.records_max,
        )
        self.shards = len(request.shards)
        self._weight = exchange_weight(self.shards) + len(request.body)
        self._share = share
        self._share_id = request.share_id
        self._send_frame = send
        self._on_end = on_end

    def admit(self) -> bool:
        """Return whether the process has room for the share, and take it."""
        self.held_bytes = self._weight
        return self.pools.admission.begin(self, self.held_bytes)

    def start(self) -> None:
        """Send the calls and report which servers were called."""
        super().start()
        self._send_frame(ShareDispatched(self._share_id, self._share.chosen_servers()))

    def execute(self, commands: Iterable[Command]) -> None:
        """Execute commands, and send a report if one is due."""
        super().execute(commands)
        report = self._share.report(self.pools.now_ms())
        if report is not None:
            self._send_frame(ShareReport(self._share_id, report))
        if self._share.is_over:
            self._on_end()

    def end_without_result(self) -> None:
        """Forget the share; its requester calls the servers itself."""
        self._on_end()

    def execute_command(self, command: Command) -> None:
        """Do nothing: results are sent by reports."""

    def cancel(self) -> None:
        """Cancel all calls of the share."""
        self.handle(CallerLeft(self.pools.now_ms()))


def _not_run(shards: Iterable[str]) -> RelayReport:
    """Return the report on shards that were not called, for lack of room."""
    return RelayReport(tuple(RelayedPart(shard) for shard in shards), b'')


def _send_frame(connection: FrameConnection, frame: Frame) -> None:
    connection.send(encode_frame(frame))


class Relays:
    """Manage connections to relays, and serve the shares that others request.

    Parameters
    ----------
    pools : ServerPools
        Connections to backend servers, and the dispatcher that opens shares.
    address : str
        Listening address as ``host:port``; all relays use the same port.
    log : LineLog
        Receives malformed frames.
    """

    def __init__(self, pools: ServerPools, address: str, log: LineLog) -> None:
        self.pools = pools
        self.log = log
        self.listener = FrameListener(
            address, self._handle_frame, self._handle_disconnect, pools.admission
        )
        self._port = address.rpartition(':')[2]
        self._clients: dict[str, _RelayClient] = {}
        self._runners: dict[tuple[FrameConnection, int], _ShareRunner] = {}

    def request_share(self, command: SendToRelay, runner: CallRunner) -> None:
        """Request a share from a relay."""
        host = command.relay.record.address.rpartition(':')[0]
        client = self._clients.get(host)
        if client is None:
            client = _RelayClient(
                f'{host}:{self._port}', self.log, self.pools.admission
            )
            self._clients[host] = client
        client.request_share(command, runner)

    def close(self) -> None:
        """Close the connections to relays."""
        for client in self._clients.values():
            client.close()

    def _handle_frame(self, connection: FrameConnection, content: bytes) -> None:
        frame = decode_frame(content)
        match frame:
            case ShareRequest():
                self._serve(connection, frame)
            case CancelShare(share_id):
                runner = self._runners.pop((connection, share_id), None)
                if runner is not None:
                    runner.cancel()
            case _:
                self.log.write('relay', 'unreadable', bytes=len(content))
                connection.abort()

    def _serve(self, connection: FrameConnection, frame: ShareRequest) -> None:
        now_ms = self.pools.now_ms()
        request = CallerRequest(
            frame.request_id, '', '', '', (), frame.body, now_ms, frame.timeout_ms
        )
        share = self.pools.dispatcher.open_share(
            request,
            frame.route,
            FanOut(frame.shards, frame.records_max, 0),
            now_ms + frame.report_after_ms,
        )
        key = (connection, frame.share_id)
        runner = _ShareRunner(
            self.pools,
            share,
            frame,
            partial(_send_frame, connection),
            partial(self._remove, key),
        )
        if not (self._has_descriptors(len(frame.shards)) and runner.admit()):
            refusal = ShareReport(frame.share_id, _not_run(frame.shards))
            _send_frame(connection, refusal)
            return
        self._runners[key] = runner
        runner.start()

    def _has_descriptors(self, calls: int) -> bool:
        """Return whether the calls of one more share leave enough descriptors.

        Their timeout is the requester's, so shares could hold all of them for long.
        """
        limits = self.pools.admission.room.limits
        calls_max = CALLS_SHARE * limits.descriptors_of(Use.CALLS)
        open_calls = sum(runner.shards for runner in self._runners.values())
        if open_calls + calls <= calls_max:
            return True
        self.pools.admission.refused += 1
        return False

    def _remove(self, key: tuple[FrameConnection, int]) -> None:
        self._runners.pop(key, None)

    def _handle_disconnect(self, connection: FrameConnection) -> None:
        keys = [key for key in self._runners if key[0] is connection]
        for key in keys:
            self._runners.pop(key).cancel()
