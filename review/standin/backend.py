"""Stand-in of one backend, as PROTOCOL.md describes it."""

import asyncio
import random
import time

from review.standin.http import Connection, Message, Server, render
from review.standin.record import Record
from review.standin.store import Store


class Backend(Server):
    """One start of a backend, with slots, a queue and a registration.

    Parameters
    ----------
    name, service, zone : str
        Id, service and zone.
    record : Record
        Receives what was run.
    work_s : callable
        Returns the time that the next request takes.
    slots, queue : int
        Requests that it works on, and further ones that wait.
    """

    def __init__(
        self, name, service, zone, record: Record, work_s, slots=6, queue=24
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.born_ms = int(time.time() * 1000)
        self.cold_until = 0.0
        self.version = 'v1'
        self.fail_share = 0.0  # of the requests, which get a failure as answer
        self.late_share = 0.0  # of the answers, of which a second copy comes late
        self.late_copies = 0
        self.random = random.Random(name)
        self.running = 0
        self.waiting = 0
        self.starts: list[tuple[float, str]] = []  # when a request began to run
        self.runs: list[tuple[str, str, str, bytes]] = []
        self.arrivals: list[tuple[float, str]] = []
        self._freed = asyncio.Event()

    def document(self, state: str = 'ready', sequence: int = 1) -> dict:
        """Return the registration."""
        cold_ms = max(0, round(1000 * (self.cold_until - time.monotonic())))
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'coldRemainingMs': cold_ms,
            'sequence': sequence,
            'born': self.born_ms,
        }

    def register(self, store: Store, state: str = 'ready', sequence: int = 1) -> int:
        """Write the registration to the store; return the revision."""
        document = self.document(state, sequence)
        return store.put(f'servers/{self.name}', document)

    async def handle(self, connection: Connection, request: Message) -> None:
        """Answer one request."""
        now = time.monotonic()
        copy, connection.late_copy = connection.late_copy, b''
        if copy:
            self.late_copies += 1
            self.record.write('late copy', server=self.name, bytes=len(copy))
            connection.write(copy)
        request_id = request.headers.get('request-id', '')
        if request.target.startswith('/health'):
            connection.write(self._health())
            return
        if request.headers.get('target-instance', self.name) != self.name:
            connection.write(render(421, {'Instance-Id': self.name}))
            return
        if not request_id:
            connection.write(render(400, {'Not-Executed': '1'}))
            return
        self.arrivals.append((now, request_id))
        if self.running >= self.slots and self.waiting >= self.queue:
            self._reject(connection, request_id, 'full')
            return
        end = now + float(request.headers.get('deadline', '60000')) / 1000
        if not await self._take_slot(end):
            self._reject(connection, request_id, 'deadline passed in queue')
            return
        self.starts.append((time.monotonic(), request_id))
        self.runs.append((request_id, request.method, request.target, request.body))
        self.record.write(
            'run', server=self.name, id=request_id, body_bytes=len(request.body)
        )
        try:
            await asyncio.sleep(min(self.work_s(), max(0, end - time.monotonic())))
        finally:
            self.running -= 1
            self._freed.set()
        if time.monotonic() >= end:
            self._answer(connection, render(504, self._headers(request_id)))
            return
        if self.random.random() < self.fail_share:
            self._answer(connection, render(500, self._headers(request_id)))
            return
        body = f'{self.name} {request.target} {request_id}\n'.encode()
        self._answer(connection, render(200, self._headers(request_id), body))

    async def _take_slot(self, end: float) -> bool:
        self.waiting += 1
        try:
            while self.running >= self.slots:
                self._freed.clear()
                async with asyncio.timeout(max(0, end - time.monotonic())):
                    await self._freed.wait()
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            'Request-Id': request_id,
            'Response-Signature': f'{self.name}.{request_id}',
            'Server-Load': f'{self.running},{self.waiting},{self.slots}',
        }

    def _reject(self, connection: Connection, request_id: str, reason: str) -> None:
        self.record.write('not run', server=self.name, id=request_id, reason=reason)
        headers = {'Request-Id': request_id, 'Not-Executed': '1'}
        self._answer(connection, render(503, headers))

    def _answer(self, connection: Connection, answer: bytes) -> None:
        if self.late_share and self.random.random() < self.late_share:
            connection.late_copy = answer
        connection.write(answer)

    def _health(self) -> bytes:
        cold_ms = max(0, round(1000 * (self.cold_until - time.monotonic())))
        headers = {'Instance-Id': self.name}
        if cold_ms:
            headers['Cold-Remaining'] = str(cold_ms)
        return render(200, headers)
