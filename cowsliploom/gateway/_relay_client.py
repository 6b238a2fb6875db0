"""Shares of queries that this entry VM requests from others."""

import asyncio
import itertools
from collections.abc import Callable

from cowsliploom.dataplane import Admission, FrameConnection, open_frame_connection
from cowsliploom.forwarding import (
    BackendAnswer,
    CallFailed,
    CallStep,
    RelayAnswered,
    RelayCallFailed,
    RelayCallsSent,
    RelayReport,
    SendToRelay,
)
from cowsliploom.gateway._calls import CallRunner
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


class RelayClient:
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
            send_frame(self._connection, frame)
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
        except Exception as error:
            self._connecting = None
            self._unsent.clear()
            self._fail(CallStep.CONNECT, repr(error), may_have_run=False)
            return
        self._connecting = None
        self._connection = connection
        unsent = self._unsent
        self._unsent = []
        for frame in unsent:
            send_frame(connection, frame)

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


def send_frame(connection: FrameConnection, frame: Frame) -> None:
    """Send a frame to another entry VM."""
    connection.send(encode_frame(frame))
