"""Reading of callers' requests from the bytes of one connection."""

from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO
from typing import Protocol

import httptools

from cowsliploom.dataplane._numbers import parse_count
from cowsliploom.dataplane._rendering import head_without_offer
from cowsliploom.dataplane._sockets import HeaderList
from cowsliploom.dataplane._weights import HEADER_BYTES
from cowsliploom.forwarding import CallerLimits

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
TUNNEL = b'CONNECT'  # the only method that can't be served without a switch
PARSE_CHUNK_BYTES = 1024  # parsed between two checks of the bounds
HEADERS_MAX = 256  # of one request
UNCOUNTED_BYTES = 256  # method, version and spaces, which the header count omits


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A complete request, as it was read."""

    method: str
    target: str
    headers: HeaderList
    body: bytes
    keep_alive: bool


class RequestEvents(Protocol):
    """Receives what is read of a connection."""

    @property
    def is_blocked(self) -> bool:
        """Whether no further request may be read for now."""
        ...

    def begin_request(self) -> None:
        """Handle the first byte of a request."""
        ...

    def write(self, chunk: bytes) -> None:
        """Send bytes to the caller, before its request is complete."""
        ...

    def end_request(self, request: ReadRequest) -> None:
        """Handle a complete request."""
        ...

    def reject(self, status: int, reason: str) -> None:
        """Handle bytes that are no request within the limits."""
        ...


class RequestReader:
    """Parse requests, and bound what an incomplete one holds.

    Parameters
    ----------
    events : RequestEvents
        Receives the requests.
    limits : callable
        Returns the limits in force.

    Attributes
    ----------
    headers : list of (str, str)
        Headers of the current request that have been parsed.
    """

    def __init__(
        self, events: RequestEvents, limits: Callable[[], CallerLimits]
    ) -> None:
        self.headers: HeaderList = []
        self._events = events
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._header_bytes = 0
        self._unreported_bytes = 0
        self._length_bytes: int | None = None
        self._body = BytesIO()
        self._is_in_body = False
        self._is_ended = False

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete request takes."""
        return len(self._target) + self._headers_weight() + self._body.tell()

    @property
    def expected_bytes(self) -> int:
        """Memory that the incomplete request takes at most once it is complete."""
        limits = self._limits()
        if not self._is_in_body:
            return limits.header_bytes_max + HEADER_BYTES * HEADERS_MAX
        body_bytes = limits.body_bytes_max
        if self._length_bytes is not None:
            body_bytes = min(body_bytes, self._length_bytes)
        return len(self._target) + self._headers_weight() + body_bytes

    def feed(self, chunk: memoryview) -> int:
        """Parse received bytes, and return how many; the rest is to be fed later.

        No more is parsed once enough requests are queued: their objects take many times
        the bytes that they were sent in.
        """
        for start in range(0, len(chunk), PARSE_CHUNK_BYTES):
            if self._is_ended:
                break
            if self._events.is_blocked:
                return start
            self._parse(chunk[start : start + PARSE_CHUNK_BYTES])
        return len(chunk)

    def end(self) -> None:
        """Ignore all further bytes, and free the memory of the body."""
        self._is_ended = True
        self._body = BytesIO()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b''
        self.headers = []
        self._header_bytes = 0
        self._length_bytes = None
        self._is_in_body = False
        self._body = BytesIO()
        self._events.begin_request()

    def on_url(self, url: bytes) -> None:
        """Append a chunk of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, header: bytes) -> None:
        """Store and count a header."""
        if self._is_ended:
            return
        self.headers.append((name.decode('latin-1'), header.decode('latin-1')))
        self._count_header(len(name) + len(header) + 4)
        if len(self.headers) > HEADERS_MAX:
            self._reject(431, f'over {HEADERS_MAX} headers')

    def on_headers_complete(self) -> None:
        """Let a caller send its body that waits for a go-ahead."""
        self._unreported_bytes = 0
        if self._is_ended or self._parser.should_upgrade():
            return
        self._is_in_body = True
        for name, header in self.headers:
            match name.lower():
                case 'content-length':
                    self._length_bytes = parse_count(header)
                case 'expect' if header.lower() == '100-continue':
                    self._events.write(CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Append a chunk of the body; many small ones take no more than their bytes."""
        self._unreported_bytes = 0
        bytes_max = self._limits().body_bytes_max
        if self._body.tell() + len(chunk) > bytes_max:
            self._reject(413, f'body over {bytes_max} bytes')
            return
        self._body.write(chunk)

    def on_message_complete(self) -> None:
        """Report the complete request."""
        self._unreported_bytes = 0
        if self._is_ended or self._parser.should_upgrade():
            return
        read = ReadRequest(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self.headers,
            self._body.getvalue(),
            self._parser.should_keep_alive(),
        )
        self._body = BytesIO()
        self._target = b''
        self.headers = []
        self._is_in_body = False
        self._events.end_request(read)

    def _headers_weight(self) -> int:
        return self._header_bytes + HEADER_BYTES * len(self.headers)

    def _parse(self, chunk: memoryview) -> None:
        """Parse a chunk and bound the bytes that the parser has not reported.

        The parser reports a header only once it is complete. It ends a request that
        offers another protocol at the end of its head. The offer may be ignored, so
        the head is parsed again without it.
        """
        self._unreported_bytes += len(chunk)
        unparsed: memoryview | bytes = chunk
        while unparsed and not self._is_ended:
            try:
                self._parser.feed_data(unparsed)
            except httptools.HttpParserUpgrade as upgrade:
                rest = bytes(unparsed[upgrade.args[0] :])
                offering = self._parser
                self._parser = httptools.HttpRequestParser(self)
                if offering.get_method() == TUNNEL:
                    self._reject(405, 'CONNECT is not supported')
                head = head_without_offer(offering, self._target, self.headers)
                unparsed = head + rest
                continue
            except httptools.HttpParserError as error:
                self._reject(400, repr(error))
            break
        bytes_max = self._limits().header_bytes_max + UNCOUNTED_BYTES
        if self._unreported_bytes > bytes_max:
            self._reject(431, f'head over {bytes_max} bytes')

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        bytes_max = self._limits().header_bytes_max
        if self._header_bytes > bytes_max:
            self._reject(431, f'head over {bytes_max} bytes')

    def _reject(self, status: int, reason: str) -> None:
        if not self._is_ended:
            self._events.reject(status, reason)
            self.end()
