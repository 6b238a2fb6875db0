"""HTTP/1.1 server on the event loop, with the parser of httptools."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from cowsliploom.dataplane._http_requests import HttpRequest, Rejection
from cowsliploom.dataplane._rendering import render_answer
from cowsliploom.dataplane._request_reader import ReadRequest, RequestReader
from cowsliploom.dataplane._room import Room, RoomLimits
from cowsliploom.dataplane._sockets import (
    HeaderList,
    bound_address,
    format_address,
    listening_socket,
    set_dead_peer_timeout,
    smoothed_rtt_ms,
)
from cowsliploom.forwarding import CallerLimits

MS_PER_S = 1000
TIMEOUT_CHECK_MS = 250
REJECTED_LINGER_MS = 500  # for which a rejected caller may go on sending
RETRY_AFTER_TEXT = '1'  # seconds
PIPELINE_MAX = 16  # pipelined requests queued on one connection
BACKLOG = 512
# Of a connection without a request: transport, parser and their buffers.
CONNECTION_BYTES = 8192
ROUND_TRIPS = 2  # for a request and an answer above the initial TCP window


Handler = Callable[[HttpRequest], Callable[[], None] | None]


def _ignore_rejection(rejection: Rejection) -> None:
    """Do nothing; the default of ``on_rejected``."""


class ServerConnection(asyncio.Protocol):
    """Connection of one caller; one that half-closes it counts as disconnected.

    Parameters
    ----------
    server : HttpListener
        Listener that the connection belongs to.
    """

    def __init__(self, server: 'HttpListener') -> None:
        self._server = server
        self.transport: asyncio.Transport | None = None
        self._reader = RequestReader(self, server.limits)
        self._queued: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self._queued_bytes = 0
        self._is_write_paused = False
        self._unsent_bytes = 0
        self._is_reading = False
        self._is_rejected = False
        self._rejection: bytes = b''
        self.phase_start_ms: float = 0
        self._rtt_ms: float = 0
        self._is_first_request = True
        self._peer = ''

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not (self._current or self._queued or self._is_reading)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_dead_peer_timeout(sock)
            self._rtt_ms = smoothed_rtt_ms(sock)
        self._peer = format_address(transport.get_extra_info('peername'))
        self.phase_start_ms = self._server.now_ms()
        self._server.connections.add(self)
        self._server.note_held(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the open request that its caller has disconnected."""
        self._server.connections.discard(self)
        self._server.room.remove(self)
        self.transport = None
        self._queued.clear()
        self._reader.end()
        on_disconnect = self._on_disconnect
        self._on_disconnect = None
        self._current = None
        if on_disconnect is not None:
            on_disconnect()

    def data_received(self, chunk: bytes) -> None:
        """Parse received bytes."""
        self._reader.feed(chunk)
        self._server.note_held(self)

    def pause_writing(self) -> None:
        """Handle no further request while the caller does not read the answers."""
        self._is_write_paused = True
        transport = self.transport
        if transport is not None and not transport.is_closing():
            transport.pause_reading()

    def resume_writing(self) -> None:
        """Go on with the queued requests."""
        self._is_write_paused = False
        self._server.note_held(self)
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if len(self._queued) <= PIPELINE_MAX:
            transport.resume_reading()
        if self._queued:
            self._server.loop.call_soon(self._handle_next)

    # Events of the reader.

    def begin_request(self) -> None:
        """Note that a request is being read."""
        self._is_reading = True
        self.phase_start_ms = self._server.now_ms()

    def end_request(self, read: ReadRequest) -> None:
        """Queue the complete request."""
        self._is_reading = False
        now_ms = self._server.now_ms()
        self.phase_start_ms = now_ms
        trips = ROUND_TRIPS + self._is_first_request  # the TCP handshake takes one more
        self._is_first_request = False
        request = HttpRequest(
            read.method,
            read.target,
            read.headers,
            read.body,
            now_ms,
            read.keep_alive,
            self,
            trips * self._rtt_ms,
        )
        self._queued.append(request)
        self._queued_bytes += len(request.body)
        if len(self._queued) > PIPELINE_MAX and self.transport is not None:
            self.transport.pause_reading()
        if self._current is None:
            self._handle_next()

    def reject(self, status: int, reason: str) -> None:
        """Answer an invalid request with an error status, and close.

        Requests that were received before it are answered first.
        """
        if self._is_rejected:
            return
        self._is_rejected = True
        self._reader.end()
        rejection = Rejection(status, reason, self._peer, self._reader.headers)
        self._server.on_rejected(rejection)
        self._rejection = render_answer(status, [], b'', keep=False, method='GET')
        if self._current is None and not self._queued:
            self._end_rejected()

    # Methods for the listener and the request.

    def answer(
        self, request: HttpRequest, status: int, headers: HeaderList, body: bytes
    ) -> bool:
        """Write the answer to the current request."""
        if self._current is not request or self.transport is None:
            return False
        is_last = self._server.is_draining and not self._queued
        keep = request.keep_alive and not is_last
        self.write(render_answer(status, headers, body, keep, request.method))
        self._current = None
        self._on_disconnect = None
        self.phase_start_ms = self._server.now_ms()
        self._server.note_held(self)
        if not keep:
            self.close()
        elif self._queued:
            self._server.loop.call_soon(self._handle_next)
        elif self._is_rejected:
            self._end_rejected()
        return True

    def close(self) -> None:
        """Close after the written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    @property
    def held_bytes(self) -> int:
        """Memory that the connection takes."""
        unsent = 0 if self.transport is None else self.transport.get_write_buffer_size()
        running = len(self._current.body) if self._current else 0
        read = self._reader.held_bytes + self._queued_bytes
        return CONNECTION_BYTES + unsent + running + read

    def shed(self) -> None:
        """End the connection, as the process lacks room.

        A request that is not complete has not run, and is told so. One that waits for
        its answer may have, and a connection without a request expects no answer.
        """
        transport = self.transport
        if transport is None:
            return
        holds_request = self._current is not None or bool(self._queued)
        is_reading = self._is_reading and not self._is_rejected
        if is_reading and not (holds_request or transport.get_write_buffer_size()):
            transport.write(self._server.busy_answer)
        self._server.connections.discard(self)
        transport.abort() if holds_request else transport.close()

    def check_timeouts(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection of a caller that is idle or too slow."""
        if self._is_write_paused:
            self._check_progress(now_ms, limits)
        elif not (self._current or self._queued):
            self._check_request(now_ms - self.phase_start_ms, limits)

    def _check_request(self, elapsed_ms: float, limits: CallerLimits) -> None:
        """Close if no request is complete after the time that it may take."""
        if self._is_rejected:
            if elapsed_ms > REJECTED_LINGER_MS:
                self.close()
        elif self._is_reading:
            if elapsed_ms > limits.header_timeout_ms:
                self.reject(408, f'not whole after {round(elapsed_ms)} ms')
        elif elapsed_ms > limits.idle_timeout_ms:
            self.close()

    def _check_progress(self, now_ms: float, limits: CallerLimits) -> None:
        """Abort the connection of a caller that has stopped to read its answers."""
        if self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self.phase_start_ms = now_ms
        elif now_ms - self.phase_start_ms > limits.idle_timeout_ms:
            self.transport.abort()

    def _handle_next(self) -> None:
        if self._current is not None or not self._queued or self._is_write_paused:
            return
        request = self._queued.popleft()
        self._queued_bytes -= len(request.body)
        if len(self._queued) == PIPELINE_MAX and self.transport is not None:
            self.transport.resume_reading()
        self._current = request
        self._on_disconnect = None
        on_disconnect = self._server.handler(request)
        if self._current is request:
            self._on_disconnect = on_disconnect

    def _end_rejected(self) -> None:
        """Write the rejection, and discard what the caller still sends for a while.

        Closing with unread bytes would reset the connection, and the caller could lose
        the answers that it has not read yet.
        """
        self.phase_start_ms = self._server.now_ms()
        self.write(self._rejection)
        if self.transport is not None:
            self.transport.write_eof()

    def write(self, chunk: bytes) -> None:
        """Send bytes to the caller."""
        if self.transport is not None:
            self.transport.write(chunk)


class HttpListener:
    """Listener on one address, with its connections.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP address.
    handler : callable
        Called with each request, in order on each connection; may return a callback
        for a caller that disconnects before the answer.
    limits : callable
        Returns the limits in force.
    on_rejected : callable
        Called with each rejected request.
    room : RoomLimits
        Limits on what all connections hold together. Default none.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        on_rejected: Callable[[Rejection], None] = _ignore_rejection,
        room: RoomLimits = RoomLimits(),  # noqa: WPS404 (frozen)
    ) -> None:
        self.address = address
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.connections: set[ServerConnection] = set()
        self.room: Room[ServerConnection] = Room(room)
        self.shed_connections = 0
        self.is_draining = False
        self.loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    def now_ms(self) -> float:
        """Return the monotonic clock in milliseconds."""
        return self.loop.time() * MS_PER_S

    async def start(self) -> None:
        """Bind the address and start to listen."""
        sock = listening_socket(self.address)
        self.address = bound_address(sock)
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), sock=sock, backlog=BACKLOG
        )
        self._check_timeouts()

    @property
    def busy_answer(self) -> bytes:
        """Answer to a request that was not read to its end for lack of room."""
        headers = [('Retry-After', RETRY_AFTER_TEXT)]
        return render_answer(503, headers, b'', keep=False, method='GET')

    def note_held(self, connection: ServerConnection) -> None:
        """Record what a connection holds, and make room if there is none."""
        self.room.update(connection, connection.held_bytes)
        for greediest in self.room.victims():
            self.shed_connections += 1
            greediest.shed()

    def drain(self) -> None:
        """Close each connection after its last queued answer."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def _check_timeouts(self) -> None:
        now_ms = self.now_ms()
        limits = self.limits()
        for connection in list(self.connections):
            connection.check_timeouts(now_ms, limits)
        self._timeout_timer = self.loop.call_later(
            TIMEOUT_CHECK_MS / MS_PER_S, self._check_timeouts
        )
