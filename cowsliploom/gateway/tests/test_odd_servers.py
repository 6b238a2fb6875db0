"""Servers that answer late, twice, in part or for others, checked from both ends."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field, replace

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._forwarder import Forwarder
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway.tests.test_store_view import RecordingLog, make_store_view

SEEDS = range(12)
SERVERS = 2
CLIENTS = 8
REQUESTS = 12  # of each client, one after the other
WORK_S = 0.004
PATIENCE_MS = 1500
SLACK_S = 0.5  # beyond the caller's deadline
COPY_SHARE = 0.3  # of the answers, of which a second copy comes late
PROMISES = frozenset((408, 421, 429, 503))  # not run, and never will be
BEHAVIOURS = (
    'answer',
    'answer',
    'answer',
    'reject',
    'reject',
    'reject without id',
    'wrong server',
    'fail',
    'run and close',
    'close',
    'cut',
    'extra bytes',
    'foreign first',
    'slowly',
    'interim',
)


def render(status, headers, body=b''):
    """Return an answer as bytes."""
    lines = [f'{name}: {text}' for name, text in headers.items()]
    head = (f'HTTP/1.1 {status} X', *lines, f'Content-Length: {len(body)}', '', '')
    return '\r\n'.join(head).encode() + body


@dataclass
class OddServer:
    """Server with a random behaviour for each request, and its record of runs."""

    name: str
    random: random.Random
    runs: Counter[str] = field(default_factory=Counter)
    bodies: dict[str, set[bytes]] = field(default_factory=dict)

    async def serve(self, reader, writer):
        """Serve one connection."""
        copy = b''
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                writer.write(copy)
                lines = head.decode().lower().split('\r\n')
                (request_id,) = [
                    line[12:] for line in lines if line.startswith('request-id: ')
                ]
                answer = await self._handle(request_id, writer)
                if not answer:
                    break
                copy = answer if self.random.random() < COPY_SHARE else b''
        except (asyncio.IncompleteReadError, ConnectionError):
            copy = b''
        writer.close()

    async def _handle(self, request_id, writer):
        """Answer a request; return the answer, or nothing to close the connection."""
        named = {'Request-Id': request_id}
        not_run = {**named, 'Not-Executed': '1'}
        behaviour = self.random.choice(BEHAVIOURS)
        match behaviour:
            case 'close':
                return b''
            case 'reject':
                answer = render(self.random.choice((503, 429)), not_run)
                writer.write(answer)
                return answer
            case 'reject without id':
                answer = render(503, {'Not-Executed': '1'})
                writer.write(answer)
                return answer
            case 'wrong server':
                answer = render(421, {'Instance-Id': 'i-x'})
                writer.write(answer)
                return answer
        body = await self._run(request_id)
        signed = {**named, 'Response-Signature': f'{self.name}.{request_id}'}
        answer = render(500 if behaviour == 'fail' else 200, signed, body)
        match behaviour:
            case 'run and close':
                return b''
            case 'cut':
                writer.write(answer[: self.random.randrange(len(answer))])
                return b''
            case 'extra bytes':
                writer.write(answer + self.random.choice((b'junk', answer)))
            case 'foreign first':
                foreign = {**signed, 'Request-Id': 'another'}
                writer.write(render(200, foreign, b'foreign') + answer)
            case 'interim':
                writer.write(b'HTTP/1.1 100 Continue\r\n\r\n' + answer)
            case 'slowly':
                for at in range(0, len(answer), 40):
                    writer.write(answer[at : at + 40])
                    await asyncio.sleep(0)
            case _:
                writer.write(answer)
        return answer

    async def _run(self, request_id):
        self.runs[request_id] += 1
        body = f'{self.name} {request_id} {self.runs[request_id]}'.encode()
        self.bodies.setdefault(request_id, set()).add(body)
        await asyncio.sleep(self.random.random() * WORK_S)
        return body


@dataclass
class Caller:
    """Request of a caller that records its answers."""

    target: str
    request_id: str
    arrived_ms: float
    method: str = 'POST'
    body: bytes = b''
    path_ms: float = 0
    answers: list[tuple[int, bytes]] = field(default_factory=list)
    answered: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def headers(self):
        """Headers of the request."""
        patience = ('Deadline', str(PATIENCE_MS))
        return (('Host', 'h'), ('Request-Id', self.request_id), patience)

    def answer(self, status, headers, body):
        """Record an answer."""
        self.answers.append((status, body))
        self.answered.set()


async def call_often(forwarder, client, target, callers):
    """Send one request after the other."""
    for number in range(REQUESTS):
        request_id = f'c{client}-{number}'
        caller = Caller(target, request_id, forwarder.pools.now_ms())
        callers.append(caller)
        forwarder.handle(caller)
        await asyncio.wait_for(caller.answered.wait(), PATIENCE_MS / 1000 + SLACK_S)


async def play(seed, target):
    """Let callers send requests to odd servers; return callers and servers."""
    odd, listeners, records = [], [], []
    for number in range(SERVERS):
        server = OddServer(f'one-{number}', random.Random(f'{seed}/{number}'))
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        host, port = listener.sockets[0].getsockname()
        known = record(server.name, 'one', slots=8)
        records.append(replace(known, address=f'{host}:{port}'))
        odd.append(server)
        listeners.append(listener)
    dispatcher = make_dispatcher(servers=0)
    dispatcher.fleet.update(records, 0)
    log = RequestLog(RecordingLog(), Metrics(), make_store_view())
    forwarder = Forwarder(ServerPools(dispatcher), None, log)
    callers = []
    clients = (
        call_often(forwarder, client, target, callers) for client in range(CLIENTS)
    )
    refresh = asyncio.create_task(register_again(dispatcher.fleet, records))
    await asyncio.gather(*clients)
    refresh.cancel()
    forwarder.pools.close_idle()
    await asyncio.sleep(WORK_S)
    for listener in listeners:
        listener.close()
    await asyncio.sleep(WORK_S)
    return callers, odd


async def register_again(fleet, records):
    """Let the servers start anew, as one that answered 421 is not used again."""
    born_ms = 0
    while True:
        born_ms += 1
        fleet.update([replace(known, born_ms=born_ms) for known in records], 0)
        await asyncio.sleep(WORK_S)


@pytest.mark.parametrize('target', ['/once/x', '/safe/x'])
@pytest.mark.parametrize('seed', SEEDS)
def test_answers_and_runs_agree_whatever_servers_send(seed, target):
    """Guard against runs after a promise, second runs and answers of others."""
    callers, servers = asyncio.run(play(seed, target))
    runs = sum((server.runs for server in servers), Counter())
    for caller in callers:
        ((status, body),) = caller.answers
        count = runs[caller.request_id]
        if target == '/once/x':
            assert count <= 1, f'{caller.request_id} ran {count} times'
            assert not (status in PROMISES and count), f'{caller.request_id}: {status}'
        if status in {200, 500} and body.startswith(b'one-'):
            sent = (server.bodies.get(caller.request_id, ()) for server in servers)
            assert any(body in each for each in sent)
        assert status != 200 or body.startswith(b'one-')
    assert {status for caller in callers for status, _ in caller.answers} & {200}
