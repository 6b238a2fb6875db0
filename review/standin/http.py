"""HTTP/1.1 for the stand-ins: a server, and a client that sends one request."""

import asyncio
import contextlib
from dataclasses import dataclass, field

REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


@dataclass
class Message:
    """Request or response with its headers by lower-case name."""

    first: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(' ')[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first.split(' ')[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(' ')[1])


def parse_head(head: bytes) -> Message:
    """Parse the head of a message, without the empty line."""
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, content = line.partition(':')
        headers[name.strip().lower()] = content.strip()
    return Message(first, headers)


def render(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines.extend(f'{name}: {content}' for name, content in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


class Connection(asyncio.Protocol):
    """Server side of a connection; its requests are handled one at a time."""

    def __init__(self, server: 'Server') -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.late_copy = b''
        self._buffer = bytearray()
        self._requests: list[Message] = []
        self._work: asyncio.Task | None = None

    def connection_made(self, transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc) -> None:
        """Drop the request whose connection has closed."""
        self.server.connections.discard(self)
        self.transport = None
        if self._work is not None:
            self._work.cancel()

    def data_received(self, chunk: bytes) -> None:
        """Collect complete requests, and handle them in order."""
        self._buffer += chunk
        while True:
            end = self._buffer.find(b'\r\n\r\n')
            if end < 0:
                break
            request = parse_head(bytes(self._buffer[:end]))
            length = int(request.headers.get('content-length', '0'))
            if len(self._buffer) < end + 4 + length:
                break
            request.body = bytes(self._buffer[end + 4 : end + 4 + length])
            del self._buffer[: end + 4 + length]
            self._requests.append(request)
        if self._requests and self._work is None:
            self._work = asyncio.get_running_loop().create_task(self._handle())

    def write(self, content: bytes) -> None:
        """Write bytes, unless the connection is closed."""
        if self.transport is not None:
            self.transport.write(content)

    async def _handle(self) -> None:
        while self._requests:
            await self.server.handle(self, self._requests.pop(0))
        self._work = None


class Server:
    """Listener on a loopback address."""

    def __init__(self) -> None:
        self.connections: set[Connection] = set()
        self.address = ''
        self._listener = None

    async def listen(self, host: str, port: int = 0) -> None:
        """Start to listen; port 0 lets the system choose."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: Connection(self), host, port, backlog=512
        )
        name = self._listener.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'

    async def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def handle(self, connection: Connection, request: Message) -> None:
        """Answer one request."""
        raise NotImplementedError


@dataclass
class KeptConnection:
    """Client connection that is used for one request after the other."""

    address: str
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def ask(self, content: bytes, timeout_s: float) -> Message | None:
        """Send a request; return its answer, or None if it has none in time."""
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None:
                    host, _, port = self.address.rpartition(':')
                    self.reader, self.writer = await asyncio.open_connection(host, port)
                self.writer.write(content)
                answer = await read_answer(self.reader)
        except (OSError, EOFError, TimeoutError):
            self.close()
            return None
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            with contextlib.suppress(OSError):
                self.writer.close()
        self.reader = None
        self.writer = None


async def read_answer(reader: asyncio.StreamReader) -> Message:
    """Read a response with a length."""
    head = await reader.readuntil(b'\r\n\r\n')
    answer = parse_head(head[:-4])
    length = int(answer.headers.get('content-length', '0'))
    answer.body = await reader.readexactly(length)
    return answer
