"""Stand-in of a backend, as PROTOCOL.md describes it."""

import asyncio
import time
from collections import deque

from review.kit2.http11 import Message, read_message, response

RESET = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class Backend:
    """One incarnation of a backend: slots, a queue, cold state and a record of runs.

    Parameters
    ----------
    name, service : str
        Its id and its service.
    slots : int
        Requests that it processes concurrently.
    work_s : float
        Time that a request takes.
    """

    def __init__(
        self, name: str, service: str, slots: int = 3, work_s: float = 0.05
    ) -> None:
        self.name = name
        self.service = service
        self.zone = 'a'
        self.version = 'v1'
        self.slots = slots
        self.queue = 12
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.cold_until_s = 0.0
        self.cold_allowed = 0.0
        self.arrivals: list[tuple[float, str]] = []
        self.ran: list[str] = []
        self.open: set[str] = set()
        self.most_while_cold = 0
        self.crashed_s: float | None = None
        self.lost_in_crash: list[str] = []
        self.address = ''
        self._cold_arrivals: deque[float] = deque()
        self._busy = 0
        self._free = asyncio.Semaphore(slots)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f'{host}:{self._server.sockets[0].getsockname()[1]}'

    def cold_remaining_ms(self) -> float:
        """Return for how long it stays cold."""
        return max(0.0, (self.cold_until_s - time.monotonic()) * 1000)

    def entry(self) -> dict:
        """Return the entry that it writes to the store with its next heartbeat."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': round(self.cold_remaining_ms()),
            'sequence': self.sequence,
            'born': self.born_ms,
        }

    def crash(self) -> None:
        """Stop as a killed process does; what it runs is lost."""
        if self.crashed_s is None:
            self.crashed_s = time.monotonic()
            self.lost_in_crash = sorted(self.open)
            self._server.close()
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (asked := await read_message(reader)) is not None:
                if self.crashed_s is not None:
                    break
                writer.write(await self._answer(asked))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, asked: Message) -> bytes:
        request_id = asked.headers.get('request-id', '')
        named = {'Request-Id': request_id}
        if asked.headers.get('target-instance', self.name) != self.name:
            return response(421, {**named, 'Instance-Id': self.name})
        now_s = time.monotonic()
        self.arrivals.append((now_s, request_id))
        self._count_cold(now_s)
        if self._busy >= self.slots + self.queue:
            return response(503, {**named, 'Not-Executed': '1'})
        self._busy += 1
        try:
            async with self._free:
                self.ran.append(request_id)
                self.open.add(request_id)
                await asyncio.sleep(self.work_s)
        finally:
            self._busy -= 1
            if self.crashed_s is None:
                self.open.discard(request_id)
        signed = {'Response-Signature': f'{self.name}.{request_id}'}
        load = f'{min(self._busy, self.slots)},{max(0, self._busy - self.slots)}'
        signed['Server-Load'] = f'{load},{self.slots}'
        return response(200, {**named, **signed}, b'0123456789abcdef')

    def _count_cold(self, now_s: float) -> None:
        """Count the requests of the last second, and crash well above the bound."""
        if now_s >= self.cold_until_s:
            self._cold_arrivals.clear()
            return
        self._cold_arrivals.append(now_s)
        while self._cold_arrivals[0] <= now_s - 1:
            self._cold_arrivals.popleft()
        self.most_while_cold = max(self.most_while_cold, len(self._cold_arrivals))
        if self.cold_allowed and len(self._cold_arrivals) > 2 * self.cold_allowed:
            asyncio.get_running_loop().call_later(0.01, self.crash)
