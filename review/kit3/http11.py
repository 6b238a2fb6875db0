"""Just enough of HTTP/1.1 for the stand-ins, on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

HEAD_MAX = 1 << 20


@dataclass
class Message:
    """A request or an answer.

    Parameters
    ----------
    start : str
        Request line or status line.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        Complete body.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(' ')[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(' ')[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; None if the peer closed before it began."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError('head is cut off') from error
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', '0'))
    try:
        body = await reader.readexactly(length) if length else b''
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError('body is cut off') from error
    return Message(lines[0], headers, body)


def render(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body
