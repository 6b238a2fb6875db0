"""Callers that keep their connections, and what they were told."""

import asyncio
import time
from dataclasses import dataclass

from cowsliploom.dataplane import ConnectionPool, HttpAnswer
from tests.processes.gateway_world import HOST_PREFIX

PATIENCE_MS = 1400
WAIT_MS = 4000.0  # a caller that hears nothing for so long gives up
MS_PER_S = 1000
PATHS = (('wide', 'GET'), ('safe', 'GET'), ('once', 'POST'))


@dataclass(frozen=True, slots=True)
class Told:
    """Hold what a caller sent, and what came back.

    Parameters
    ----------
    request_id, route : str
        What was sent.
    gateway : int
        Whom it was sent to.
    sent_s, took_s : float
        When, and how long it took.
    answer : HttpAnswer or None
        None where the connection ended or nothing came.
    """

    request_id: str
    route: str
    gateway: int
    sent_s: float
    took_s: float
    answer: HttpAnswer | None

    @property
    def status(self) -> int:
        """Return the status, 0 without an answer."""
        return 0 if self.answer is None else self.answer.status

    @property
    def headers(self) -> dict[str, str]:
        """Return the answer's headers."""
        return {} if self.answer is None else dict(self.answer.headers)


class Caller:
    """Send requests to one gateway over kept connections.

    Parameters
    ----------
    gateway : int
        Number of the gateway.
    """

    def __init__(self, gateway: int) -> None:
        self.gateway = gateway
        self.pool = ConnectionPool(f'{HOST_PREFIX}.{gateway}:18100')

    async def ask(self, request_id: str, path: str, method: str = 'GET') -> Told:
        """Send one request and return what came of it."""
        body = b'body' if method == 'POST' else b''
        head = (
            f'{method} /{path}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n'
            f'Deadline: {PATIENCE_MS}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        sent_s = time.monotonic()
        result = await self.pool.ask(head.encode() + body, WAIT_MS)
        took_s = time.monotonic() - sent_s
        answer = result if isinstance(result, HttpAnswer) else None
        return Told(request_id, path, self.gateway, sent_s, took_s, answer)


async def send_load(
    caller: Caller, name: str, told: list[Told], is_over: asyncio.Event, pause_s: float
) -> None:
    """Send requests in turn until the run is over."""
    number = 0
    while not is_over.is_set():
        number += 1
        path, method = PATHS[number % len(PATHS)]
        told.append(await caller.ask(f'{name}-{number}', path, method))
        await asyncio.sleep(pause_s)
