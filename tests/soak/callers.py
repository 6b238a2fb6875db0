"""Load-generating callers on persistent connections, and their results."""

import asyncio
import time
from dataclasses import dataclass

from cowsliploom.dataplane import ConnectionPool, HttpAnswer
from tests.processes.addresses import HOST_PREFIX

DEADLINE_MS = 1400
CLIENT_TIMEOUT_MS = 4000.0  # a caller that receives nothing within this time gives up
MS_PER_S = 1000
PATHS = (('wide', 'GET'), ('safe', 'GET'), ('once', 'POST'))


@dataclass(frozen=True, slots=True)
class CallResult:
    """Request of a caller and its response.

    Parameters
    ----------
    request_id, route : str
        Id and route of the request.
    gateway : int
        Number of the gateway.
    sent_s, took_s : float
        Send time and duration.
    answer : HttpAnswer or None
        None if the connection closed or no response came in time.
    """

    request_id: str
    route: str
    gateway: int
    sent_s: float
    took_s: float
    answer: HttpAnswer | None

    @property
    def status(self) -> int:
        """Return the status, or 0 without a response."""
        return 0 if self.answer is None else self.answer.status

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers of the response."""
        return {} if self.answer is None else dict(self.answer.headers)


class Caller:
    """Send requests to one gateway over persistent connections.

    Parameters
    ----------
    gateway : int
        Number of the gateway.
    """

    def __init__(self, gateway: int) -> None:
        self.gateway = gateway
        self.pool = ConnectionPool(f'{HOST_PREFIX}.{gateway}:18100')

    async def ask(self, request_id: str, path: str, method: str = 'GET') -> CallResult:
        """Send one request and return its result."""
        body = b'body' if method == 'POST' else b''
        head = (
            f'{method} /{path}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n'
            f'Deadline: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        sent_s = time.monotonic()
        result = await self.pool.ask(head.encode() + body, CLIENT_TIMEOUT_MS)
        took_s = time.monotonic() - sent_s
        answer = result if isinstance(result, HttpAnswer) else None
        return CallResult(request_id, path, self.gateway, sent_s, took_s, answer)


async def send_load(
    caller: Caller,
    name: str,
    results: list[CallResult],
    is_over: asyncio.Event,
    pause_s: float,
) -> None:
    """Send requests one after another until the run is over."""
    number = 0
    while not is_over.is_set():
        number += 1
        path, method = PATHS[number % len(PATHS)]
        results.append(await caller.ask(f'{name}-{number}', path, method))
        await asyncio.sleep(pause_s)
