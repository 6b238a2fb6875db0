"""HTTP/1.1 client connection on the event loop that carries one call at a time."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from io import BytesIO
from typing import Protocol, cast

import httptools

from cowsliploom.dataplane._admission import Admission, CallDescriptor
from cowsliploom.dataplane._bounds import AnswerBounds, AnswerMeter
from cowsliploom.dataplane._http_calls import (
    AnswerOrigin,
    HeadWatch,
    HttpAnswer,
    HttpCall,
    HttpFailure,
)
from cowsliploom.dataplane._numbers import parse_count
from cowsliploom.dataplane._read_room import ReadRoom
from cowsliploom.dataplane._sockets import (
    HeaderList,
    reset,
    set_dead_peer_timeout,
)
from cowsliploom.dataplane._weights import CONNECTION_BYTES
from cowsliploom.forwarding import CallStep

MS_PER_S = 1000
IDLE_GRACE_MS = 700  # connections are discarded this long before the server closes
IDLE_DEFAULT_MS = 4000  # for servers that send no timeout in Keep-Alive
HEADERS_MAX = 512  # of one answer
STALE_ANSWERS_MAX = 3  # late answers to earlier requests, per connection
STEP_BYTES = 65_536  # reserved at a time for an answer of unknown length
STATUSES = range(100, 600)  # that HTTP has; others are no answers
FINAL_STATUS_MIN = 200
BODILESS_STATUSES = frozenset((204, 304))  # have no body, whatever Content-Length


@dataclass(frozen=True, slots=True)
class _CompletedCall:
    """Call with its answer, held until the bytes that arrived with it are parsed."""

    call: HttpCall
    answer: HttpAnswer
    keep: bool


class ConnectionOwner(Protocol):
    """Pool that a connection is returned to."""

    address: str
    admission: Admission
    has_priority: bool
    bounds: AnswerBounds
    counts: Counter[str]
    dead_peer_timeout_ms: int
    head_watch: HeadWatch

    def release(self, connection: 'CallConnection') -> None:
        """Return a connection to the pool for the next call."""
        ...

    def discard(self, connection: 'CallConnection') -> None:
        """Remove a closed connection from the pool."""
        ...


class CallConnection(asyncio.BufferedProtocol):
    """Connection to a server that carries one call at a time.

    Before it reads a long answer, it waits until the process has room for all of it.

    Parameters
    ----------
    pool : ConnectionOwner
        Pool that the connection is returned to.
    descriptor : CallDescriptor
        Descriptor of the connection, returned once it is lost.
    """

    def __init__(self, pool: ConnectionOwner, descriptor: CallDescriptor) -> None:
        self.pool = pool
        self._descriptor = descriptor
        self._admission = pool.admission
        self._room = ReadRoom(
            self, pool.admission, is_work=True, has_priority=pool.has_priority
        )
        self.idle_since_ms: float = 0
        self.idle_max_ms: float = IDLE_DEFAULT_MS
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._call: HttpCall | None = None
        self._meter = AnswerMeter(pool.bounds)
        self._headers: HeaderList = []
        self._length_bytes = 0
        self._body = BytesIO()
        self._is_head_complete = False
        self._has_framing = False
        self._has_watched_header = False
        self._head_fault = ''
        self._stale_answers = 0
        self._completed: _CompletedCall | None = None
        self._has_trailing_bytes = False

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options of the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._descriptor.is_held:
            self.abort()
            return
        self._room.transport = self._transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_dead_peer_timeout(sock, self.pool.dead_peer_timeout_ms)
        self.note_held()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: WPS615 (of asyncio)
        """Return the buffer that all connections share."""
        return self._admission.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; without an open call they close the connection."""
        if self._call is None:
            self.abort()
            return
        self._parse(self._admission.read_buffer[:nbytes])
        self._deliver()
        if self._call is not None and self._body.tell():
            self.note_held()
            self._room.pause_unless_admitted()

    def eof_received(self) -> bool:
        """Complete an answer without framing; a truncated head is no answer."""
        ends_answer = self._is_head_complete and not self._has_framing
        if self._call is not None and ends_answer:
            self._complete(keep=False)
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the open call."""
        self._transport = None
        self._room.close()
        self._admission.charge(self, 0)
        self._descriptor.release()
        self.pool.discard(self)
        if self._call is not None:
            self._fail(CallStep.RECEIVE, repr(exc) if exc else 'connection closed')
        self._release()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start an answer; a second one to the same call closes the connection."""
        self._has_trailing_bytes = self._completed is not None
        if self._has_trailing_bytes:
            return
        self._is_head_complete = False
        self._has_framing = False
        self._has_watched_header = False
        self._headers = []
        self._length_bytes = 0
        self._body = BytesIO()

    def on_header(self, name: bytes, header: bytes) -> None:
        """Store a header and note how the body is framed.

        Those above the limit are not stored; they fail the call once the head ends.
        """
        if self._completed is not None or self._is_head_complete:
            return  # of another answer, or a trailer
        if len(self._headers) > HEADERS_MAX:
            return
        key = name.decode('latin-1')
        text = header.decode('latin-1')
        match key.lower():
            case 'content-length':
                self._has_framing = True
                self._length_bytes = parse_count(text) or 0  # the parser checks it
            case 'transfer-encoding':
                self._has_framing = True
            case watched if watched in self.pool.head_watch.names:
                self._has_watched_header = True
        self._headers.append((key, text))

    def on_headers_complete(self) -> None:
        """Count the following bytes as body, unless this was an interim answer."""
        status = self._parser.get_status_code()
        self._head_fault = ''
        if status not in STATUSES:
            self._head_fault = f'status {status}'
        elif len(self._headers) > HEADERS_MAX:
            self._head_fault = f'over {HEADERS_MAX} headers'
        if self._head_fault:
            return
        self._is_head_complete = status >= FINAL_STATUS_MIN
        if self._has_watched_header:
            self.pool.head_watch.on_head(status, self._headers)
        if status in BODILESS_STATUSES:
            self._meter.begin_body(0)
        elif self._is_head_complete and self._call and not self._call.expects_body:
            # The parser waits for a body all the same, so the connection ends here.
            self._complete(keep=False)
        elif self._is_head_complete:
            self._meter.begin_body(self._length_bytes)

    def on_body(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        if self._completed is None:
            self._body.write(chunk)
            self._meter.reset_overhead()

    def on_message_complete(self) -> None:
        """Complete the answer, unless it is an interim one."""
        status = self._parser.get_status_code()
        is_final = status >= FINAL_STATUS_MIN and not self._head_fault
        if self._completed is None and is_final:
            self._complete(keep=self._parser.should_keep_alive())

    # Methods for the pool.

    @property
    def is_open(self) -> bool:
        """Whether calls can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the connection is open and was not idle for too long."""
        return self.is_open and now_ms - self.idle_since_ms < self.idle_max_ms

    def send(self, call: HttpCall) -> None:
        """Send a call."""
        self._call = call
        self._stale_answers = 0
        self._meter.restart()
        call.start_on(self)
        if self._transport is None:
            self._fail(CallStep.SEND, 'connection closed', may_have_run=False)
        else:
            self._transport.write(call.content)
            if call.body:
                self._transport.write(call.body)

    def give_up(self) -> None:
        """End a connection that could not be opened, and return its descriptor.

        It may have been made all the same, just before the opening was given up.
        """
        self._descriptor.release()
        self.abort()

    def abort(self) -> None:
        """Reset the connection and discard the call."""
        self._call = None
        self.pool.discard(self)
        if self._transport is not None:
            reset(self._transport)

    def close(self) -> None:
        """Close gracefully."""
        self.pool.discard(self)
        if self._transport is not None:
            self._transport.close()

    # Waiting for room.

    @property
    def incomplete_bytes(self) -> int:
        """Memory of the answer that is being read."""
        return self._body.tell()

    @property
    def expected_bytes(self) -> int:
        """Memory that the answer takes, or the next step of an unknown length."""
        return self._length_bytes or self._body.tell() + STEP_BYTES

    def note_held(self) -> None:
        """Update what the connection holds in the account."""
        reading = max(self._body.tell(), self._room.reserved_bytes)
        if self._transport is not None:
            self._admission.charge(self, CONNECTION_BYTES + reading)

    def _discard_body(self) -> None:
        if self._body.tell():
            self._body = BytesIO()
            self._room.release()
            self.note_held()

    def _release(self) -> None:
        """Free the buffers now; a reference cycle with the parser delays collection."""
        self._headers = []
        self._body = BytesIO()
        self._parser = httptools.HttpResponseParser(self)

    def _parse(self, chunk: memoryview) -> None:
        """Parse a chunk; a malformed or too large answer fails the call."""
        self._meter.add(len(chunk))
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._completed is None:
                self._fail(CallStep.DECODE, repr(error))
            self._has_trailing_bytes = True
        fault = self._head_fault or self._meter.exceeded
        if fault and self._completed is None:
            self._fail(CallStep.DECODE, f'{fault} from {self.pool.address}')

    def _complete(self, keep: bool) -> None:
        self._is_head_complete = False
        call = self._call
        if call is None:
            return
        answer = HttpAnswer(
            self._parser.get_status_code(), self._headers, self._body.getvalue()
        )
        origin = call.origin_of(answer)
        if origin is not AnswerOrigin.OTHER_CALL:
            is_named = origin is AnswerOrigin.THIS_CALL
            self.pool.counts['answers_unnamed'] += not is_named
            self._completed = _CompletedCall(call, answer, keep and is_named)
            return
        self._discard_body()
        self._meter.restart()
        self._stale_answers += 1
        self.pool.counts['answers_to_other_calls'] += 1
        if not keep or self._stale_answers > STALE_ANSWERS_MAX:
            self._fail(CallStep.DECODE, 'answer to another request')

    def _deliver(self) -> None:
        """End the call once all bytes that arrived with its answer are parsed."""
        completed = self._completed
        if completed is None:
            return
        self._completed = None
        self._call = None
        self._discard_body()
        if completed.keep and not (self._stale_answers or self._has_trailing_bytes):
            self._return_to_pool()
        else:
            self.close()
        completed.call.end(completed.answer)

    def _return_to_pool(self) -> None:
        for name, header in self._headers:
            if name.lower() == 'keep-alive':
                self.idle_max_ms = _parse_idle_max_ms(header, self.idle_max_ms)
        self.pool.release(self)

    def _fail(self, step: CallStep, reason: str, may_have_run: bool = True) -> None:
        call = self._call
        self.abort()
        if call is not None:
            call.end(HttpFailure(step, self.pool.address, reason, may_have_run))


def _parse_idle_max_ms(header: str, default_ms: float) -> float:
    """Return how long a connection may be idle by its ``Keep-Alive`` header."""
    for parameter in header.split(','):
        name, _, text = parameter.strip().partition('=')
        seconds = parse_count(text)
        if name.lower() == 'timeout' and seconds is not None:
            return max(0, seconds * MS_PER_S - IDLE_GRACE_MS)
    return default_ms
