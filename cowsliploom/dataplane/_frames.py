"""Length-prefixed frames between entry VMs on long-lived connections."""

import asyncio
from collections.abc import Callable
from contextlib import ExitStack
from typing import cast

from cowsliploom.dataplane._acceptor import Acceptor
from cowsliploom.dataplane._admission import Admission, CallDescriptor
from cowsliploom.dataplane._pace import ReadingPace
from cowsliploom.dataplane._read_room import ReadRoom
from cowsliploom.dataplane._room import Use
from cowsliploom.dataplane._sockets import reset, set_dead_peer_timeout
from cowsliploom.dataplane._weights import CONNECTION_BYTES
from cowsliploom.protocol import split_address

LENGTH_BYTES = 4  # big-endian length before each frame
FRAME_BYTES_MAX = 4_000_000
CONNECT_TIMEOUT_MS = 250
MS_PER_S = 1000
TIMEOUT_CHECK_MS = 1000
FRAME_TIMEOUT_MS = 10_000  # from the first byte of a frame to its last
PAUSE_MAX_MS = 5000  # for which a peer may read nothing


class FrameConnection(asyncio.BufferedProtocol):
    """Connection that carries frames in both directions.

    Parameters
    ----------
    on_frame : callable
        Called with this connection and each frame.
    on_lost : callable
        Called once with this connection after it was lost.
    admission : Admission or None
        Account of the process. Default one without limits.
    descriptor : CallDescriptor or None
        Descriptor of a connection that was opened here; None for an accepted one.
    """

    def __init__(
        self,
        on_frame: Callable[['FrameConnection', bytes], None],
        on_lost: Callable[['FrameConnection'], None],
        admission: Admission | None = None,
        descriptor: CallDescriptor | None = None,
    ) -> None:
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._admission = Admission() if admission is None else admission
        self._descriptor = descriptor
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._room = ReadRoom(self, self._admission, is_work=False)
        self._is_aborted = False
        self._written_bytes = 0
        self._frame_start_ms: float | None = None
        self._pace = ReadingPace()

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_ending(self) -> bool:
        """Whether the connection was ended and is about to be closed."""
        return self._is_aborted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options of the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._room.transport = self._transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_dead_peer_timeout(sock)
        self.note_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the owner."""
        self._transport = None
        self._buffer = bytearray()
        self._room.close()
        self._admission.remove(self)
        if self._descriptor is None:
            self._admission.close(Use.RELAYS)
        else:
            self._descriptor.release()
        self._on_lost(self)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: WPS615 (of asyncio)
        """Return the buffer that all connections share."""
        return self._admission.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Deliver the frames that are complete, and wait if there is no room."""
        self.receive(self._admission.read_buffer[:nbytes])
        if self.is_open:
            self.note_held()
            self._room.pause_unless_admitted()

    def receive(self, chunk: bytes | memoryview) -> None:
        """Deliver each complete frame; one above the limit aborts the connection."""
        buffer = self._buffer
        buffer += chunk
        start = 0
        while len(buffer) - start >= LENGTH_BYTES and not self._is_aborted:
            begin = start + LENGTH_BYTES
            length = int.from_bytes(buffer[start:begin])
            if length > FRAME_BYTES_MAX:
                self.abort()
                return
            if len(buffer) - begin < length:
                break
            start = begin + length
            self._frame_start_ms = None
            self._room.release()
            with memoryview(buffer) as view:
                frame = bytes(view[begin:start])
            self._on_frame(self, frame)
        del buffer[:start]
        if buffer and self._frame_start_ms is None:
            self._frame_start_ms = self._admission.now_ms()

    def send(self, frame: bytes) -> None:
        """Send a frame; it is lost if the connection is lost."""
        if self._transport is not None:
            self._transport.write(len(frame).to_bytes(LENGTH_BYTES) + frame)
            self._written_bytes += LENGTH_BYTES + len(frame)
            self.note_held()

    def resume_writing(self) -> None:
        """Forget the frames that the peer has read."""
        self._written_bytes = 0
        self.note_held()

    def abort(self) -> None:
        """Close immediately and discard frames that were not delivered."""
        self._is_aborted = True
        self._admission.end(self)
        if self._transport is not None:
            self._transport.abort()

    def shed(self) -> None:
        """End the connection, as the process lacks room."""
        if self._transport is not None:
            reset(self._transport)
        self.abort()

    def check_timeouts(self, now_ms: float) -> None:
        """Abort if the peer neither completes its frame nor reads in time."""
        if self._transport is None:
            return
        start_ms = now_ms if self._frame_start_ms is None else self._frame_start_ms
        unsent_bytes = self._transport.get_write_buffer_size()
        is_too_slow = self._pace.is_too_slow(unsent_bytes, now_ms, PAUSE_MAX_MS)
        if is_too_slow or now_ms - start_ms > FRAME_TIMEOUT_MS:
            self.shed()

    # Waiting for room.

    @property
    def incomplete_bytes(self) -> int:
        """Memory of the frame that is being read."""
        return len(self._buffer)

    @property
    def expected_bytes(self) -> int:
        """Memory that the frame takes once it is complete."""
        return LENGTH_BYTES + int.from_bytes(self._buffer[:LENGTH_BYTES])

    def note_held(self) -> None:
        """Update what the connection holds in the account."""
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        if not unsent:
            self._written_bytes = 0
        written = max(unsent, self._written_bytes)
        reading = max(len(self._buffer), self._room.reserved_bytes)
        self._admission.update(self, CONNECTION_BYTES + written + reading)


async def open_frame_connection(
    address: str,
    on_frame: Callable[[FrameConnection, bytes], None],
    on_lost: Callable[[FrameConnection], None],
    admission: Admission | None = None,
) -> FrameConnection:
    """Connect to a ``FrameListener``.

    Raises
    ------
    OSError
        If the connection fails; also on a timeout, as ``TimeoutError``.
    """
    host, port = split_address(address)
    admission = Admission() if admission is None else admission
    descriptor = await admission.open_for_call()
    if descriptor is None:
        raise OSError('no descriptor is left for calls')
    connection = FrameConnection(on_frame, on_lost, admission, descriptor)
    with ExitStack() as unopened:
        unopened.callback(connection.abort)
        unopened.callback(descriptor.release)
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            await asyncio.get_running_loop().create_connection(
                lambda: connection, host=host, port=port
            )
        unopened.pop_all()
    return connection


class FrameListener:
    """Listener for connections that carry frames.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP address; port 0 lets the system choose.
    on_frame, on_lost : callable
        Callbacks of each ``FrameConnection``.
    admission : Admission or None
        Account of the process. Default one without limits.
    """

    def __init__(
        self,
        address: str,
        on_frame: Callable[[FrameConnection, bytes], None],
        on_lost: Callable[[FrameConnection], None],
        admission: Admission | None = None,
    ) -> None:
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._admission = Admission() if admission is None else admission
        self._connections: dict[FrameConnection, None] = {}
        self._loop = asyncio.get_running_loop()
        self._acceptor = Acceptor(
            address, self._admission, Use.RELAYS, self._connect, self._end_oldest
        )
        self._timeout_timer: asyncio.TimerHandle | None = None

    @property
    def address(self) -> str:
        """Address that it listens on."""
        return self._acceptor.address

    async def start(self) -> None:
        """Bind the address and start to listen."""
        self._acceptor.start()
        self._check_timeouts()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self._acceptor.close()
        for connection in tuple(self._connections):
            connection.abort()

    def _connect(self) -> FrameConnection:
        connection = FrameConnection(self._receive, self._remove, self._admission)
        self._connections[connection] = None
        return connection

    def _receive(self, connection: FrameConnection, frame: bytes) -> None:
        self._connections.pop(connection, None)
        self._connections[connection] = None
        self._on_frame(connection, frame)

    def _remove(self, connection: FrameConnection) -> None:
        self._connections.pop(connection, None)
        self._on_lost(connection)

    def _end_oldest(self) -> None:
        """End the connection that sent no frame for longest, one at a time."""
        if any(connection.is_ending for connection in self._connections):
            return
        for connection in self._connections:
            self._admission.shed += 1
            connection.shed()
            return

    def _check_timeouts(self) -> None:
        now_ms = self._admission.now_ms()
        for connection in tuple(self._connections):
            connection.check_timeouts(now_ms)
        self._timeout_timer = self._loop.call_later(
            TIMEOUT_CHECK_MS / MS_PER_S, self._check_timeouts
        )
