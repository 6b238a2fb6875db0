"""Clients of the stand-in world."""

import asyncio
import random
import time

from review.standin.http import KeptConnection, Message
from review.standin.record import Record

HOST = 'pupu76.example'


class Calls:
    """Requests that were sent, and how each was answered.

    Parameters
    ----------
    record : Record
        Receives each request and its answer.
    seed : int
        Seed of the request ids.
    """

    def __init__(self, record: Record, seed: int = 1) -> None:
        self.record = record
        self.statuses: dict[str, int] = {}  # 0: no answer
        self.sent: dict[str, float] = {}
        self.answers: dict[str, Message] = {}
        self.gateways: dict[str, str] = {}
        self.requests: dict[str, tuple[str, str, bytes]] = {}
        self._random = random.Random(seed)

    async def ask(
        self,
        connection: KeptConnection,
        target: str,
        deadline_ms: int,
        method: str = 'GET',
        body: bytes = b'',
        extra: str = '',
    ) -> Message | None:
        """Send one request under a new id, and record its answer."""
        request_id = f'{self._random.getrandbits(64):016x}'
        length = f'Content-Length: {len(body)}\r\n' if body else ''
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {request_id}\r\nDeadline: {deadline_ms}\r\n{extra}{length}\r\n'
        )
        self.sent[request_id] = time.monotonic()
        self.gateways[request_id] = connection.address
        self.requests[request_id] = (method, target, body)
        self.record.write('sent', id=request_id, to=connection.address, target=target)
        answer = await connection.ask(head.encode() + body, deadline_ms / 1000)
        self.statuses[request_id] = answer.status if answer else 0
        if answer is not None:
            self.answers[request_id] = answer
        elapsed_ms = round(1000 * (time.monotonic() - self.sent[request_id]))
        self.record.write(
            'answered',
            id=request_id,
            status=self.statuses[request_id],
            elapsed_ms=elapsed_ms,
            text=answer.body[:80].decode('latin-1') if answer else '',
        )
        return answer

    async def keep_asking(
        self, address: str, target: str, deadline_ms: int, until: float, pause_s: float
    ) -> None:
        """Send one request after the other on a kept connection until a time.

        After a 503 the client waits as it is told, and uses a new connection.
        """
        connection = KeptConnection(address)
        try:
            while time.monotonic() < until:
                answer = await self.ask(connection, target, deadline_ms)
                wait_s = pause_s
                if answer is None or answer.status in (429, 503):
                    connection.close()
                    told = answer.headers.get('retry-after', '0') if answer else '0.2'
                    wait_s = max(pause_s, float(told))
                await asyncio.sleep(wait_s * self._random.uniform(0.5, 1.5))
        finally:
            connection.close()
