"""Stand-in for clients: one attempt, with its own id."""

import asyncio
import time
from dataclasses import dataclass, field

from review.kit3.http11 import read_message


@dataclass
class Result:
    """What a client saw of one attempt.

    Parameters
    ----------
    request_id : str
        Id of the attempt.
    sent_s, took_s : float
        Monotonic time at which it was sent, and until it ended.
    status : int
        Status; 0 without an answer.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        Body.
    error : str
        Why there is no answer.
    """

    request_id: str
    sent_s: float
    took_s: float = 0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    error: str = ''


def render_request(request_id, path, host, method='GET', body=b'', deadline_ms=1500):
    """Return the bytes of a request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'Request-Id: {request_id}',
        f'Deadline: {deadline_ms}',
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


async def send(world, address, path, method='GET', body=b'', deadline_ms=1500):
    """Send one attempt on a new connection and return its result."""
    request_id = world.next_id()
    result = Result(request_id, time.monotonic())
    world.note(f'client: sends {request_id} {method} {path} to {address}')
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            content = render_request(
                request_id, path, world.host, method, body, deadline_ms
            )
            writer.write(content)
            answer = await read_message(reader)
            writer.transport.abort()
        if answer is None:
            result.error = 'closed without an answer'
        else:
            result.status = answer.status
            result.headers = answer.headers
            result.body = answer.body
    except (OSError, TimeoutError) as error:
        result.error = repr(error)
    result.took_s = time.monotonic() - result.sent_s
    signature = result.headers.get('response-signature', '')
    world.note(
        f'client: {request_id} ends with {result.status or result.error}'
        f' {signature} after {result.took_s * 1000:.0f} ms'
    )
    return result
