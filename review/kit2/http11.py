"""Minimal HTTP/1.1 messages over asyncio streams, for stand-ins and clients."""

import asyncio
from dataclasses import dataclass, field

REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition Failed'}


@dataclass
class Message:
    """Request or response: its first line, headers by lower-case name, and body."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None if the peer closes before it begins."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = await _read_chunks(reader)
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Message(lines[0], headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def response(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def request(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
