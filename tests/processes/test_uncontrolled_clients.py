"""Crowds of clients that hold memory or connections, at a real gateway.

The limits of the settings are low, so that a small crowd exceeds them. Nothing here
depends on the speed of the machine.
"""

import asyncio
import contextlib
import socket
from pathlib import Path

import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import SHARDS, ask, configuration, run_script
from tests.processes.resources import DescriptorSampler, open_files, peak_mb

pytestmark = [pytest.mark.processes, pytest.mark.crowds]

MEMORY_MB = 64  # of the settings; an idle gateway takes half of it
FDS_MAX = 300  # of the settings
BODY_BYTES = 250_000  # below the limit of the configuration
ANSWER_BYTES = 250_000
PIPELINED = 100  # requests of one client that reads no answer
RECEIVE_BUFFER_BYTES = 8192
SLOW_READERS = 12
LARGE_BODIES = 200
SMALL_BODIES = 24
IDLE_CLIENTS = 500
SEND_PAUSE_S = 0.02  # so that each request finds a server
SEND_MAX_S = 5
PATIENT = {'headerTimeoutMs': 60_000, 'idleTimeoutMs': 60_000}
ROOMY = [{'name': name, 'maxConnections': 600} for name in (*SHARDS, 'one')]
HEAD = b'POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n'
CHUNKED = b'%sTransfer-Encoding: chunked\r\n\r\n' % HEAD
LARGE_CHUNK = b'%x\r\n%s\r\n' % (BODY_BYTES, b'x' * BODY_BYTES)
SMALL_CHUNKS = b'2\r\nxx\r\n' * (BODY_BYTES // 2)


class Crowd:
    """Clients that send, never read, and stay open.

    Parameters
    ----------
    address : tuple
        Host and port of the gateway.
    """

    def __init__(self, address):
        self.address = address
        self.sockets = []

    def __enter__(self):
        """Return the crowd, still empty."""
        return self

    def __exit__(self, *_exc):
        """Close all clients."""
        for sock in self.sockets:
            sock.close()

    async def add(self, content):
        """Let one more client connect and send."""
        sock = socket.socket()
        self.sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await self.send(sock, content)

    async def send(self, sock, content):
        """Let a client send; the gateway may refuse it, or close its connection."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(SEND_MAX_S):
                if not is_connected(sock):
                    await loop.sock_connect(sock, self.address)
                await loop.sock_sendall(sock, content)


def is_connected(sock):
    """Return whether a client has connected."""
    with contextlib.suppress(OSError):
        return bool(sock.getpeername())
    return False


def read_request(number):
    """Return a request for a long answer."""
    head = f'GET /single/x HTTP/1.1\r\nHost: h\r\nRequest-Id: c{number}\r\n\r\n'
    return head.encode()


async def slow_readers(crowd):
    """Ask for long answers and read none of them."""
    for _ in range(SLOW_READERS):
        await crowd.add(read_request(0))
    for number in range(1, PIPELINED):
        for sock in crowd.sockets:
            await crowd.send(sock, read_request(number))
        await asyncio.sleep(SEND_PAUSE_S)


async def large_bodies(crowd):
    """Send bodies in one large chunk each, all but their end."""
    for _ in range(LARGE_BODIES):
        await crowd.add(CHUNKED + LARGE_CHUNK)


async def small_bodies(crowd):
    """Send bodies in chunks of two bytes, all but their end."""
    await asyncio.gather(
        *(crowd.add(CHUNKED + SMALL_CHUNKS) for _ in range(SMALL_BODIES))
    )


async def idle_clients(crowd):
    """Open connections, and begin a request on each."""
    for _ in range(IDLE_CLIENTS):
        await crowd.add(HEAD)


async def settled(process, backend):
    """Wait until the gateway has worked through what was sent."""
    before, now = None, progress(process, backend)
    while now != before:
        await asyncio.sleep(1.5)
        before, now = now, progress(process, backend)


def progress(process, backend):
    """Return the processor time of a process, in fifths of seconds, and its calls."""
    fields = Path(f'/proc/{process.pid}/stat').read_text().rpartition(')')[2].split()
    return int(fields[11]) // 20, len(backend.ran)


async def ordinary_answer(number):
    """Return the status of an ordinary request; callers try a few times."""
    for attempt in range(5):
        answer = await ask(
            f'{HOST_PREFIX}.{number}:18100', '/wide/x', request_id=f'o-{attempt}'
        )
        if getattr(answer, 'status', 0) == 200:
            return 200
        await asyncio.sleep(0.5)
    return getattr(answer, 'status', repr(answer))


@pytest.mark.parametrize(
    'gather', [slow_readers, large_bodies, small_bodies, idle_clients]
)
def test_gateway_stays_within_its_limits_and_serves_others(tmp_path, gather):
    async def script(world):
        world.store.put('op/config', configuration(4, limits=PATIENT, services=ROOMY))
        world.backends['one'].content = b'x' * ANSWER_BYTES
        process = await world.gateway(
            2, lines=(f'limits.memoryMb={MEMORY_MB}', f'limits.maxFds={FDS_MAX}')
        )
        await world.ready(2)
        address = (f'{HOST_PREFIX}.2', 18100)
        with Crowd(address) as crowd, DescriptorSampler(process) as sampler:
            await gather(crowd)
            await settled(process, world.backends['one'])
            assert process.returncode is None
            assert open_files(process) <= FDS_MAX
            assert sampler.peak <= FDS_MAX
            assert peak_mb(process) <= MEMORY_MB
            assert await ordinary_answer(2) == 200
        assert process.returncode is None

    run_script(tmp_path, script)


def test_single_request_inside_the_limits_is_served_in_calm(tmp_path):
    async def script(world):
        world.backends['one'].content = b'x' * ANSWER_BYTES
        await world.gateway(
            2, lines=(f'limits.memoryMb={MEMORY_MB}', f'limits.maxFds={FDS_MAX}')
        )
        await world.ready(2)
        answer = await ask(
            f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x' * BODY_BYTES
        )
        assert (answer.status, len(answer.body)) == (200, ANSWER_BYTES)

    run_script(tmp_path, script)
