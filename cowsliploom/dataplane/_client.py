"""HTTP/1.1 connections to servers on the event loop, kept and used again."""

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import cast

import httptools

from cowsliploom.dataplane._bounds import AnswerBounds, AnswerMeter
from cowsliploom.dataplane._http_calls import (
    CallResult,
    HttpAnswer,
    HttpCall,
    HttpFailure,
)
from cowsliploom.dataplane._sockets import (
    HeaderList,
    set_dead_peer_timeout,
    reset,
)
from cowsliploom.forwarding import CallStep
from cowsliploom.protocol import split_address

MS_PER_S = 1000
CONNECT_TIMEOUT_MS = 250  # an opening packet that is dropped comes again too late
IDLE_GRACE_MS = 700  # a kept connection is given up this long before its server would
IDLE_DEFAULT_MS = 4000  # for servers that don't say how long they keep one
STALE_ANSWERS_MAX = 3  # late answers to earlier requests on one connection
PARSED_BYTES = 16_384  # between two looks at the bounds
FINAL_STATUS_MIN = 200
BODILESS_STATUSES = frozenset((204, 304))  # a length there announces no body


@dataclass(frozen=True, slots=True)
class _Finished:
    """Hold a whole answer until the rest of what came with it is read."""

    call: HttpCall
    answer: HttpAnswer
    keep: bool


class CallConnection(asyncio.Protocol):
    """Own one connection to a server; one call at a time.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that the connection returns to.
    """

    def __init__(self, pool: 'ConnectionPool') -> None:
        self.pool = pool
        self.idle_since_ms: float = 0
        self.idle_max_ms: float = IDLE_DEFAULT_MS
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._call: HttpCall | None = None
        self._meter = AnswerMeter(pool.bounds)
        self._headers: HeaderList = []
        self._length_bytes = 0
        self._body = bytearray()
        self._is_head_whole = False
        self._is_framed = False
        self._stale_answers = 0
        self._finished: _Finished | None = None
        self._has_extra = False

    # The loop's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info('socket')
        if raw is not None:
            set_dead_peer_timeout(raw, self.pool.dead_peer_timeout_ms)

    def data_received(self, chunk: bytes) -> None:
        """Parse what came; bytes that no call waits for end the connection."""
        if self._call is None:
            self.abort()
            return
        pieces = memoryview(chunk)
        for start in range(0, len(chunk), PARSED_BYTES):
            if self._finished is not None:
                self._has_extra = True
                break
            self._parse(pieces[start : start + PARSED_BYTES])
            if self._call is None:
                break
        self._deliver()

    def eof_received(self) -> bool:
        """End an answer that has no length of its own; a cut head is no answer."""
        has_answer = self._is_head_whole and not self._is_framed
        if self._call is not None and has_answer:
            self._complete(keep=False)
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the open call."""
        self._transport = None
        self.pool.forget(self)
        if self._call is not None:
            self._fail(CallStep.RECEIVE, repr(exc) if exc else 'connection closed')
        self._release()

    # The parser's side.

    def on_message_begin(self) -> None:
        """Start an answer; one beyond the call's own ends the connection."""
        self._has_extra = self._finished is not None
        if self._has_extra:
            return
        self._is_head_whole = False
        self._is_framed = False
        self._headers = []
        self._length_bytes = 0
        self._body = bytearray()

    def on_header(self, name: bytes, header: bytes) -> None:
        """Take a header."""
        if self._finished is not None:
            return
        key = name.decode('latin-1')
        text = header.decode('latin-1')
        match key.lower():
            case 'content-length':
                self._is_framed = True
                self._length_bytes = int(text)
            case 'transfer-encoding':
                self._is_framed = True
        self._headers.append((key, text))

    def on_headers_complete(self) -> None:
        """Count what follows as body, unless another head does."""
        status = self._parser.get_status_code()
        self._is_head_whole = status >= FINAL_STATUS_MIN
        if status in BODILESS_STATUSES:
            self._meter.begin_body(0)
        elif self._is_head_whole:
            self._meter.begin_body(self._length_bytes)

    def on_body(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        if self._finished is None:
            self._body += chunk
            self._meter.progress()

    def on_message_complete(self) -> None:
        """Take a whole answer."""
        status = self._parser.get_status_code()
        if self._finished is None and status >= FINAL_STATUS_MIN:
            self._complete(keep=self._parser.should_keep_alive())

    # The pool's side.

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can be used."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, call: HttpCall) -> None:
        """Send a call."""
        self._call = call
        self._stale_answers = 0
        self._meter.restart()
        call.connection = self
        if self._transport is None:
            self._fail(CallStep.SEND, 'connection closed', may_have_run=False)
        else:
            self._transport.write(call.content)

    def abort(self) -> None:
        """Close at once and forget the call."""
        self._call = None
        self.pool.forget(self)
        if self._transport is not None:
            reset(self._transport)

    def close(self) -> None:
        """Close in order."""
        self.pool.forget(self)
        if self._transport is not None:
            self._transport.close()

    def _release(self) -> None:
        """Free what was read; parser and connection refer to each other."""
        self._headers = []
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)

    def _parse(self, piece: memoryview) -> None:
        """Parse a piece; an answer that can't be read, or is too long, is a failure."""
        self._meter.add(len(piece))
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._finished is None:
                self._fail(CallStep.DECODE, repr(error))
            self._has_extra = True
        passed = self._meter.passed
        if passed and self._finished is None:
            self._fail(CallStep.DECODE, f'{passed} from {self.pool.address}')

    def _complete(self, keep: bool) -> None:
        self._is_head_whole = False
        call = self._call
        if call is None:
            return
        answer = HttpAnswer(
            self._parser.get_status_code(), self._headers, bytes(self._body)
        )
        if call.is_own(answer):
            self._finished = _Finished(call, answer, keep)
            return
        self._meter.restart()
        self._stale_answers += 1
        if not keep or self._stale_answers > STALE_ANSWERS_MAX:
            self._fail(CallStep.DECODE, 'answer to another request')

    def _deliver(self) -> None:
        """Hand on a finished answer once all bytes that came with it are read."""
        finished = self._finished
        if finished is None:
            return
        self._finished = None
        self._call = None
        if finished.keep and not (self._stale_answers or self._has_extra):
            self._keep()
        else:
            self.close()
        finished.call.end(finished.answer)

    def _keep(self) -> None:
        for name, header in self._headers:
            if name.lower() == 'keep-alive':
                self.idle_max_ms = _idle_ms(header, self.idle_max_ms)
        self.pool.keep(self)

    def _fail(self, step: CallStep, reason: str, may_have_run: bool = True) -> None:
        call = self._call
        self.abort()
        if call is not None:
            call.end(HttpFailure(step, self.pool.address, reason, may_have_run))


class ConnectionPool:
    """Own the connections to one address.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP number.
    connect_timeout_ms : float
        Time for a new connection.
    silent_timeout_ms : int
        Time after which a connection whose peer is silent ends.
    bounds : AnswerBounds
        How much is read of one answer.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        dead_peer_timeout_ms: int = 2000,
        bounds: AnswerBounds = AnswerBounds(),  # noqa: WPS404 (frozen)
    ) -> None:
        self.address = address
        self.connect_timeout_ms = connect_timeout_ms
        self.dead_peer_timeout_ms = dead_peer_timeout_ms
        self.bounds = bounds
        self._loop = asyncio.get_running_loop()
        self._idle: list[CallConnection] = []
        self._opening: set[asyncio.Task[None]] = set()
        self._all: set[CallConnection] = set()
        self._is_closed = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._all)

    def send(self, call: HttpCall) -> None:
        """Send a call on a kept connection or a new one."""
        now_ms = self._loop.time() * MS_PER_S
        while self._idle:
            connection = self._idle.pop()
            rested_ms = now_ms - connection.idle_since_ms
            if connection.is_open and rested_ms < connection.idle_max_ms:
                connection.send(call)
                return
            connection.close()
        opening = self._loop.create_task(self._open(call))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def ask(self, content: bytes, timeout_ms: float) -> CallResult | None:
        """Send a whole request and return what came of it; None if nothing in time."""
        done: asyncio.Future[CallResult] = self._loop.create_future()
        call = HttpCall(content, partial(_set_result, done))
        self.send(call)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await done
        except TimeoutError:
            call.cancel()
            return None

    def keep(self, connection: CallConnection) -> None:
        """Keep a connection for the next call."""
        if self._is_closed:
            connection.close()
            return
        connection.idle_since_ms = self._loop.time() * MS_PER_S
        self._idle.append(connection)

    def forget(self, connection: CallConnection) -> None:
        """Forget a connection that is closed."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def drop_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in tuple(self._idle):
            connection.close()

    def close(self) -> None:
        """Close idle connections now, the others when their call has ended."""
        self._is_closed = True
        self.drop_idle()

    async def _open(self, call: HttpCall) -> None:
        try:
            host, port = split_address(self.address)
            async with asyncio.timeout(self.connect_timeout_ms / MS_PER_S):
                _, connection = await self._loop.create_connection(
                    lambda: CallConnection(self), host=host, port=port
                )
        except OSError as error:
            call.end(HttpFailure(CallStep.CONNECT, self.address, repr(error), False))
            return
        if call.is_ended:
            self._all.add(connection)
            self.keep(connection)
            return
        self._all.add(connection)
        connection.send(call)


def _set_result(done: 'asyncio.Future[CallResult]', result: CallResult) -> None:
    if not done.done():
        done.set_result(result)


def _idle_ms(header: str, default_ms: float) -> float:
    """Return how long a server that sent this ``Keep-Alive`` may be left idle."""
    for piece in header.split(','):
        name, _, seconds = piece.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdigit():
            return max(0, int(seconds) * MS_PER_S - IDLE_GRACE_MS)
    return default_ms
