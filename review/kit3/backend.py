"""Stand-in for a backend, after PROTOCOL.md; hooks make it behave as a case needs."""

import asyncio
import json
import time
from dataclasses import dataclass

from review.kit3.http11 import Message, read_message, render


@dataclass(frozen=True)
class Arrival:
    """A request that reached a backend.

    Parameters
    ----------
    at_s : float
        Monotonic time.
    peer : str
        Address of the caller.
    request : Message
        The request.
    ran : bool
        Whether the backend began to work on it.
    """

    at_s: float
    peer: str
    request: Message
    ran: bool

    @property
    def request_id(self):
        """Id of the client's attempt."""
        return self.request.headers.get('request-id', '')


class Backend:
    """One incarnation of a backend.

    Parameters
    ----------
    world : World
        Holds the store and the record.
    name, service, address : str
        Its id, service and ``host:port``.
    """

    def __init__(self, world, name, service, address, zone='gogledd', version='v1'):
        self.world = world
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.version = version
        self.state = 'ready'
        self.slots = 6
        self.sequence = 1
        self.cold_until_s = 0.0
        self.born = int(time.time() * 1000)
        self.work_s = 0.005
        self.body = name.encode().ljust(16, b'.')[:16]
        self.arrivals: list[Arrival] = []
        self.answer_hook = None  # async (backend, request, writer) -> bool (handled)
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen and register."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.register()

    async def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    @property
    def key(self):
        """Key of its registration."""
        return f'servers/{self.name}'

    def entry(self):
        """Return its registration."""
        return json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': self.state,
                'coldRemainingMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()

    def register(self):
        """Write its registration to the store; return the revision."""
        return self.world.store.put(self.key, self.entry(), by=self.name)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        peer = '%s:%s' % writer.get_extra_info('peername')
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                await self._answer(request, writer, peer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request, writer, peer):
        if request.target == '/health':
            self.world.note(f'{self.name}: is asked for its health by {peer}')
            cold_ms = max(0, round((self.cold_until_s - time.monotonic()) * 1000))
            headers = {'Instance-Id': self.name, 'Cold-Remaining': str(cold_ms)}
            status = '200 OK' if self.state == 'ready' else '503 Draining'
            writer.write(render(f'HTTP/1.1 {status}', headers))
            return
        wanted = request.headers.get('target-instance', self.name)
        if wanted != self.name:
            self.arrivals.append(Arrival(time.monotonic(), peer, request, False))
            headers = {'Instance-Id': self.name, 'Not-Executed': '1'}
            writer.write(render('HTTP/1.1 421 Misdirected Request', headers))
            return
        if self.answer_hook and await self.answer_hook(self, request, writer, peer):
            return
        self.note(request, peer, ran=True)
        await asyncio.sleep(self.work_s)
        writer.write(self.render_success(request))

    def note(self, request, peer, ran):
        """Record an arrival."""
        arrival = Arrival(time.monotonic(), peer, request, ran)
        self.arrivals.append(arrival)
        what = 'runs' if ran else 'rejects'
        self.world.note(f'{self.name}: {what} {arrival.request_id} from {peer}')

    def render_success(self, request, body=None, **headers):
        """Return a success with signature."""
        request_id = request.headers.get('request-id', '')
        names = {
            'Request-Id': request_id,
            'Response-Signature': f'{self.name}.{request_id}',
        }
        extra = {name.replace('_', '-'): text for name, text in headers.items()}
        body = self.body if body is None else body
        return render('HTTP/1.1 200 OK', {**names, **extra}, body)
