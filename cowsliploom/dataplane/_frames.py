"""Length-prefixed frames between entry VMs on long-lived connections."""

import asyncio
from collections.abc import Callable
from typing import cast

from cowsliploom.dataplane._sockets import (
    bound_address,
    listening_socket,
    set_dead_peer_timeout,
)
from cowsliploom.protocol import split_address

LENGTH_BYTES = 4  # big-endian length before each frame
FRAME_BYTES_MAX = 4_000_000
CONNECT_TIMEOUT_MS = 250
MS_PER_S = 1000


class FrameConnection(asyncio.Protocol):
    """Connection that carries frames in both directions.

    Parameters
    ----------
    on_frame : callable
        Called with this connection and each frame.
    on_lost : callable
        Called once with this connection after it was lost.
    """

    def __init__(
        self,
        on_frame: Callable[['FrameConnection', bytes], None],
        on_lost: Callable[['FrameConnection'], None],
    ) -> None:
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._is_aborted = False

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options of the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_dead_peer_timeout(sock)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the owner."""
        self._transport = None
        self._on_lost(self)

    def data_received(self, chunk: bytes) -> None:
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
            self._on_frame(self, bytes(buffer[begin:start]))
        del buffer[:start]

    def send(self, frame: bytes) -> None:
        """Send a frame; it is lost if the connection is lost."""
        if self._transport is not None:
            self._transport.write(len(frame).to_bytes(LENGTH_BYTES) + frame)

    def abort(self) -> None:
        """Close immediately and discard frames that were not delivered."""
        self._is_aborted = True
        if self._transport is not None:
            self._transport.abort()


async def open_frame_connection(
    address: str,
    on_frame: Callable[[FrameConnection, bytes], None],
    on_lost: Callable[[FrameConnection], None],
) -> FrameConnection:
    """Connect to a ``FrameListener``.

    Raises
    ------
    OSError
        If the connection fails; also on a timeout, as ``TimeoutError``.
    """
    host, port = split_address(address)
    async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: FrameConnection(on_frame, on_lost), host=host, port=port
        )
    return connection


class FrameListener:
    """Listener for connections that carry frames.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP address; port 0 lets the system choose.
    on_frame, on_lost : callable
        Callbacks of each ``FrameConnection``.
    """

    def __init__(
        self,
        address: str,
        on_frame: Callable[[FrameConnection, bytes], None],
        on_lost: Callable[[FrameConnection], None],
    ) -> None:
        self.address = address
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._connections: set[FrameConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind the address and start to listen."""
        sock = listening_socket(self.address)
        self.address = bound_address(sock)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, sock=sock)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    def _accept(self) -> FrameConnection:
        connection = FrameConnection(self._on_frame, self._remove)
        self._connections.add(connection)
        return connection

    def _remove(self, connection: FrameConnection) -> None:
        self._connections.discard(connection)
        self._on_lost(connection)
