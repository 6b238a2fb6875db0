"""An HTTP/1.1 server on the event loop; its parser is httptools."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from cowsliploom.dataplane._sockets import (
    HeaderList,
    address_text,
    bound_address,
    set_dead_peer_timeout,
    listening_socket,
    round_trip_ms,
)
from cowsliploom.forwarding import CallerLimits

MS_PER_S = 1000
SWEEP_MS = 250
PIPELINE_MAX = 16  # requests read ahead of their turn on one connection
BACKLOG = 512
PARSED_BYTES = 16_384  # between two looks at the bounds
UNCOUNTED_BYTES = 256  # method, version and blanks beside what a header counts
ROUND_TRIPS = 2  # of a request and an answer that is larger than a first window
REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    408: 'Request Timeout',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


@dataclass(slots=True)
class HttpRequest:
    """Hold one whole request and the connection that waits for its answer."""

    method: str
    target: str
    headers: HeaderList
    body: bytes
    arrived_ms: float
    keep_alive: bool
    connection: 'ServerConnection'
    path_ms: float = 0

    def answer(self, status: int, headers: HeaderList, body: bytes) -> bool:
        """Answer; False when the caller has gone."""
        return self.connection.answer(self, status, headers, body)


@dataclass(frozen=True, slots=True)
class Rejection:
    """Tell why a request was refused before it was handled.

    Parameters
    ----------
    status : int
        HTTP status that was answered.
    reason : str
        What was wrong, with the bound that was passed.
    peer : str
        Address that it came from.
    headers : list of (str, str)
        Headers that had been read by then.
    """

    status: int
    reason: str
    peer: str
    headers: HeaderList


Handler = Callable[[HttpRequest], Callable[[], None] | None]


def _ignore(rejection: Rejection) -> None:
    """Do nothing about a request that couldn't be read."""


class ServerConnection(asyncio.Protocol):
    """Own one caller's connection.

    Parameters
    ----------
    server : HttpListener
        Listener that the connection belongs to.
    """

    def __init__(self, server: 'HttpListener') -> None:
        self._server = server
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._on_left: Callable[[], None] | None = None
        self._target = b''
        self._headers: HeaderList = []
        self._header_bytes = 0
        self._unfinished_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reading = False
        self._rejected = False
        self.since_ms: float = 0
        self._round_trip_ms: float = 0
        self._is_new = True
        self._peer = ''

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return not (self._current or self._waiting or self._reading)

    # The loop's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info('socket')
        if raw is not None:
            set_dead_peer_timeout(raw)
            self._round_trip_ms = round_trip_ms(raw)
        self._peer = address_text(transport.get_extra_info('peername'))
        self.since_ms = self._server.now_ms()
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the open request that its caller has gone."""
        self._server.connections.discard(self)
        self.transport = None
        self._waiting.clear()
        on_left = self._on_left
        self._on_left = None
        self._current = None
        if on_left is not None:
            on_left()

    def eof_received(self) -> bool:
        """Take the caller's end of the connection as its leaving."""
        return False

    def data_received(self, chunk: bytes) -> None:
        """Parse what came."""
        pieces = memoryview(chunk)
        for start in range(0, len(chunk), PARSED_BYTES):
            if self._rejected:
                break
            self._parse(pieces[start : start + PARSED_BYTES])

    # The parser's side.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reading = True
        self.since_ms = self._server.now_ms()
        self._target = b''
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, header: bytes) -> None:
        """Take a header."""
        self._headers.append((name.decode('latin-1'), header.decode('latin-1')))
        self._count_header(len(name) + len(header) + 4)

    def on_headers_complete(self) -> None:
        """Let a caller that waits for it send its body."""
        self._unfinished_bytes = 0
        if self._rejected:
            return
        for name, header in self._headers:
            if name.lower() == 'expect' and header.lower() == '100-continue':
                self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        self._unfinished_bytes = 0
        self._body_bytes += len(chunk)
        bytes_max = self._server.limits().body_bytes_max
        if self._body_bytes > bytes_max:
            self._reject(413, f'body over {bytes_max} bytes')
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Take a whole request."""
        self._reading = False
        self._unfinished_bytes = 0
        if self._rejected:
            return
        now_ms = self._server.now_ms()
        self.since_ms = now_ms
        trips = ROUND_TRIPS + self._is_new  # opening a connection takes one more
        self._is_new = False
        request = HttpRequest(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self._headers,
            b''.join(self._body),
            now_ms,
            self._parser.should_keep_alive(),
            self,
            trips * self._round_trip_ms,
        )
        self._waiting.append(request)
        if len(self._waiting) > PIPELINE_MAX and self.transport is not None:
            self.transport.pause_reading()
        if self._current is None:
            self._next()

    # The owner's side.

    def answer(
        self, request: HttpRequest, status: int, headers: HeaderList, body: bytes
    ) -> bool:
        """Write the answer of the request that is being answered."""
        if self._current is not request or self.transport is None:
            return False
        is_last = self._server.is_draining and not self._waiting
        keep = request.keep_alive and not is_last
        self._write(_render(status, headers, body, keep, request.method))
        self._current = None
        self._on_left = None
        self.since_ms = self._server.now_ms()
        if not keep:
            self.close()
        elif self._waiting:
            self._server.loop.call_soon(self._next)
        return True

    def close(self) -> None:
        """Close once what was written is out."""
        if self.transport is not None:
            self.transport.close()

    def sweep(self, now_ms: float, limits: CallerLimits) -> None:
        """Close a connection that is idle or too slow for too long."""
        waited_ms = now_ms - self.since_ms
        if self.is_idle:
            if waited_ms > limits.idle_timeout_ms:
                self.close()
        elif self._reading and self._current is None:
            if waited_ms > limits.header_timeout_ms:
                self._reject(408, f'not whole after {round(waited_ms)} ms')

    def _parse(self, piece: memoryview) -> None:
        """Parse a piece; the parser tells of a header only once it is whole."""
        self._unfinished_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reject(400, repr(error))
        bytes_max = self._server.limits().header_bytes_max + UNCOUNTED_BYTES
        if self._unfinished_bytes > bytes_max:
            self._reject(431, f'head over {bytes_max} bytes')

    def _next(self) -> None:
        if self._current is not None or not self._waiting:
            return
        request = self._waiting.popleft()
        if len(self._waiting) == PIPELINE_MAX and self.transport is not None:
            self.transport.resume_reading()
        self._current = request
        self._on_left = None
        on_left = self._server.handler(request)
        if self._current is request:
            self._on_left = on_left

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        bytes_max = self._server.limits().header_bytes_max
        if self._header_bytes > bytes_max:
            self._reject(431, f'head over {bytes_max} bytes')

    def _reject(self, status: int, reason: str) -> None:
        """Answer a request that can't be read, and close."""
        if self._rejected:
            return
        self._rejected = True
        rejection = Rejection(status, reason, self._peer, self._headers)
        self._server.on_rejected(rejection)
        if self._current is None:
            self._write(_render(status, [], b'', keep=False, method='GET'))
        self.close()

    def _write(self, chunk: bytes) -> None:
        if self.transport is not None:
            self.transport.write(chunk)


class HttpListener:
    """Listen on one address and own its connections.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP number.
    handler : callable
        Called with each request, in turn on each connection; may return a function
        that is called if the caller leaves before the answer.
    limits : callable
        Returns the limits in force.
    on_rejected : callable
        Called with each request that couldn't be read.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        on_rejected: Callable[[Rejection], None] = _ignore,
    ) -> None:
        self.address = address
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self.loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    def now_ms(self) -> float:
        """Return the steady clock in milliseconds."""
        return self.loop.time() * MS_PER_S

    async def start(self) -> None:
        """Listen."""
        raw = listening_socket(self.address)
        self.address = bound_address(raw)
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), sock=raw, backlog=BACKLOG
        )
        self._sweep()

    def drain(self) -> None:
        """Close each connection with its next answer."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def _sweep(self) -> None:
        now_ms = self.now_ms()
        limits = self.limits()
        for connection in list(self.connections):
            connection.sweep(now_ms, limits)
        self._sweeper = self.loop.call_later(SWEEP_MS / MS_PER_S, self._sweep)


def _render(
    status: int, headers: HeaderList, body: bytes, keep: bool, method: str
) -> bytes:
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines.extend(f'{name}: {header}' for name, header in headers)
    lines.append(f'Content-Length: {len(body)}')
    if not keep:
        lines.append('Connection: close')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return head if method == 'HEAD' else head + body
