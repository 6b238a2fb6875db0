"""Frames of bytes between entry VMs, many at a time on one kept connection."""

import asyncio
from collections.abc import Callable
from typing import cast

from cowsliploom.dataplane._sockets import (
    bound_address,
    set_dead_peer_timeout,
    listening_socket,
)
from cowsliploom.protocol import split_address

LENGTH_BYTES = 4  # before each frame, the greatest first
FRAME_BYTES_MAX = 4_000_000
CONNECT_TIMEOUT_MS = 250
MS_PER_S = 1000


class FrameConnection(asyncio.Protocol):
    """Own one connection that carries frames both ways.

    Parameters
    ----------
    on_frame : callable
        Called with this connection and each frame.
    on_lost : callable
        Called once with this connection when it has ended.
    """

    def __init__(
        self,
        on_frame: Callable[['FrameConnection', bytes], None],
        on_lost: Callable[['FrameConnection'], None],
    ) -> None:
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._is_ended = False

    @property
    def is_open(self) -> bool:
        """Tell whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info('socket')
        if raw is not None:
            set_dead_peer_timeout(raw)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        self._transport = None
        self._on_lost(self)

    def data_received(self, chunk: bytes) -> None:
        """Hand on each whole frame; one that is too long ends the connection."""
        unread = self._unread
        unread += chunk
        start = 0
        while len(unread) - start >= LENGTH_BYTES and not self._is_ended:
            begin = start + LENGTH_BYTES
            length = int.from_bytes(unread[start:begin])
            if length > FRAME_BYTES_MAX:
                self.abort()
                return
            if len(unread) - begin < length:
                break
            start = begin + length
            self._on_frame(self, bytes(unread[begin:start]))
        del unread[:start]

    def send(self, frame: bytes) -> None:
        """Send a frame; it is lost if the connection is."""
        if self._transport is not None:
            self._transport.write(len(frame).to_bytes(LENGTH_BYTES) + frame)

    def abort(self) -> None:
        """Close at once; what has come and wasn't handed on is lost."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()


async def open_frame_connection(
    address: str,
    on_frame: Callable[[FrameConnection, bytes], None],
    on_lost: Callable[[FrameConnection], None],
) -> FrameConnection:
    """Connect to a listener.

    Raises
    ------
    OSError
        If nobody answers in time; ``TimeoutError`` is one.
    """
    host, port = split_address(address)
    async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: FrameConnection(on_frame, on_lost), host=host, port=port
        )
    return connection


class FrameListener:
    """Listen for connections that carry frames.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP number; port 0 lets the system choose.
    on_frame, on_lost : callable
        As for each ``FrameConnection``.
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
        """Listen."""
        raw = listening_socket(self.address)
        self.address = bound_address(raw)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._take, sock=raw)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    def _take(self) -> FrameConnection:
        connection = FrameConnection(self._on_frame, self._lost)
        self._connections.add(connection)
        return connection

    def _lost(self, connection: FrameConnection) -> None:
        self._connections.discard(connection)
        self._on_lost(connection)
