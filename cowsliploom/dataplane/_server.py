"""HTTP/1.1 server on the event loop, with the parser of httptools."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from cowsliploom.dataplane._http_requests import HttpRequest, Rejection
from cowsliploom.dataplane._rendering import head_without_offer, render_answer
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
TUNNEL = b'CONNECT'  # the only method that can't be served without a switch
PIPELINE_MAX = 16  # pipelined requests queued on one connection
BACKLOG = 512
PARSE_CHUNK_BYTES = 16_384  # parsed between two checks of the bounds
UNCOUNTED_BYTES = 256  # method, version and spaces, which the header count omits
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
        self._parser = httptools.HttpRequestParser(self)
        self._queued: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self._target = b''
        self._headers: HeaderList = []
        self._header_bytes = 0
        self._pending_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
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

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the open request that its caller has disconnected."""
        self._server.connections.discard(self)
        self.transport = None
        self._queued.clear()
        on_disconnect = self._on_disconnect
        self._on_disconnect = None
        self._current = None
        if on_disconnect is not None:
            on_disconnect()

    def data_received(self, chunk: bytes) -> None:
        """Parse received bytes."""
        view = memoryview(chunk)
        for start in range(0, len(chunk), PARSE_CHUNK_BYTES):
            if self._is_rejected:
                break
            self._parse(view[start : start + PARSE_CHUNK_BYTES])

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._is_reading = True
        self.phase_start_ms = self._server.now_ms()
        self._target = b''
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a chunk of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, header: bytes) -> None:
        """Store and count a header."""
        self._headers.append((name.decode('latin-1'), header.decode('latin-1')))
        self._count_header(len(name) + len(header) + 4)

    def on_headers_complete(self) -> None:
        """Send 100 Continue to a caller that expects it before its body."""
        self._pending_bytes = 0
        if self._is_rejected or self._parser.should_upgrade():
            return
        for name, header in self._headers:
            if name.lower() == 'expect' and header.lower() == '100-continue':
                self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self._pending_bytes = 0
        self._body_bytes += len(chunk)
        bytes_max = self._server.limits().body_bytes_max
        if self._body_bytes > bytes_max:
            self._reject(413, f'body over {bytes_max} bytes')
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._pending_bytes = 0
        if self._is_rejected or self._parser.should_upgrade():
            return
        self._is_reading = False
        now_ms = self._server.now_ms()
        self.phase_start_ms = now_ms
        trips = ROUND_TRIPS + self._is_first_request  # the TCP handshake takes one more
        self._is_first_request = False
        request = HttpRequest(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self._headers,
            b''.join(self._body),
            now_ms,
            self._parser.should_keep_alive(),
            self,
            trips * self._rtt_ms,
        )
        self._queued.append(request)
        if len(self._queued) > PIPELINE_MAX and self.transport is not None:
            self.transport.pause_reading()
        if self._current is None:
            self._handle_next()

    # Methods for the listener and the request.

    def answer(
        self, request: HttpRequest, status: int, headers: HeaderList, body: bytes
    ) -> bool:
        """Write the answer to the current request."""
        if self._current is not request or self.transport is None:
            return False
        is_last = self._server.is_draining and not self._queued
        keep = request.keep_alive and not is_last
        self._write(render_answer(status, headers, body, keep, request.method))
        self._current = None
        self._on_disconnect = None
        self.phase_start_ms = self._server.now_ms()
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

    def check_timeouts(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle, or sending a request, for too long."""
        if self._current or self._queued:
            return
        elapsed_ms = now_ms - self.phase_start_ms
        if self._is_rejected:
            if elapsed_ms > REJECTED_LINGER_MS:
                self.close()
        elif self._is_reading:
            if elapsed_ms > limits.header_timeout_ms:
                self._reject(408, f'not whole after {round(elapsed_ms)} ms')
        elif elapsed_ms > limits.idle_timeout_ms:
            self.close()

    def _parse(self, chunk: memoryview) -> None:
        """Parse a chunk and bound the bytes that the parser has not reported.

        The parser reports a header only once it is complete. It ends a request that
        offers another protocol at the end of its head. The offer may be ignored, so
        the head is parsed again without it.
        """
        self._pending_bytes += len(chunk)
        unparsed: memoryview | bytes = chunk
        while unparsed and not self._is_rejected:
            try:
                self._parser.feed_data(unparsed)
            except httptools.HttpParserUpgrade as upgrade:
                rest = bytes(unparsed[upgrade.args[0] :])
                offering = self._parser
                self._parser = httptools.HttpRequestParser(self)
                if offering.get_method() == TUNNEL:
                    self._reject(405, 'CONNECT is not supported')
                head = head_without_offer(offering, self._target, self._headers)
                unparsed = head + rest
                continue
            except httptools.HttpParserError as error:
                self._reject(400, repr(error))
            break
        bytes_max = self._server.limits().header_bytes_max + UNCOUNTED_BYTES
        if self._pending_bytes > bytes_max:
            self._reject(431, f'head over {bytes_max} bytes')

    def _handle_next(self) -> None:
        if self._current is not None or not self._queued:
            return
        request = self._queued.popleft()
        if len(self._queued) == PIPELINE_MAX and self.transport is not None:
            self.transport.resume_reading()
        self._current = request
        self._on_disconnect = None
        on_disconnect = self._server.handler(request)
        if self._current is request:
            self._on_disconnect = on_disconnect

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        bytes_max = self._server.limits().header_bytes_max
        if self._header_bytes > bytes_max:
            self._reject(431, f'head over {bytes_max} bytes')

    def _reject(self, status: int, reason: str) -> None:
        """Answer an invalid request with an error status, and close.

        Requests that were received before it are answered first.
        """
        if self._is_rejected:
            return
        self._is_rejected = True
        rejection = Rejection(status, reason, self._peer, self._headers)
        self._server.on_rejected(rejection)
        self._rejection = render_answer(status, [], b'', keep=False, method='GET')
        if self._current is None and not self._queued:
            self._end_rejected()

    def _end_rejected(self) -> None:
        """Write the rejection, and discard what the caller still sends for a while.

        Closing with unread bytes would reset the connection, and the caller could lose
        the answers that it has not read yet.
        """
        self.phase_start_ms = self._server.now_ms()
        self._write(self._rejection)
        if self.transport is not None:
            self.transport.write_eof()

    def _write(self, chunk: bytes) -> None:
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
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        on_rejected: Callable[[Rejection], None] = _ignore_rejection,
    ) -> None:
        self.address = address
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.connections: set[ServerConnection] = set()
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
