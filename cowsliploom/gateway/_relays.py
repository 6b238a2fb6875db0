"""Shares of queries that this entry VM carries out for others."""

from collections.abc import Callable, Iterable
from functools import partial

from cowsliploom.dataplane import FrameConnection, FrameListener, Use, exchange_weight
from cowsliploom.forwarding import (
    CallerLeft,
    CallerRequest,
    Command,
    FanOut,
    RelayedPart,
    RelayedShare,
    RelayReport,
    SendToRelay,
)
from cowsliploom.gateway._calls import CallRunner, ServerPools
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._relay_client import RelayClient, send_frame
from cowsliploom.gateway._relay_wire import (
    CancelShare,
    Frame,
    ShareDispatched,
    ShareReport,
    ShareRequest,
    decode_frame,
)

CALLS_SHARE = 0.5  # of the descriptors for calls; the rest is for own callers


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
        self._clients: dict[str, RelayClient] = {}
        self._runners: dict[tuple[FrameConnection, int], _ShareRunner] = {}

    def request_share(self, command: SendToRelay, runner: CallRunner) -> None:
        """Request a share from a relay."""
        host = command.relay.record.address.rpartition(':')[0]
        client = self._clients.get(host)
        if client is None:
            client = RelayClient(f'{host}:{self._port}', self.log, self.pools.admission)
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
            partial(send_frame, connection),
            partial(self._remove, key),
        )
        if not (self._has_descriptors(len(frame.shards)) and runner.admit()):
            refusal = ShareReport(frame.share_id, _not_run(frame.shards))
            send_frame(connection, refusal)
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
