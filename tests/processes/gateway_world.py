"""Test world of a stand-in store and backend servers, and real gateway processes."""

import asyncio
import os
import time
from pathlib import Path

import msgspec

from cowsliploom.dataplane import ConnectionPool, HttpAnswer
from cowsliploom.standins import FakeBackendServer, FakePlatformStore
from tests.processes.addresses import HOST_PREFIX
from tests.processes.builds import select_build

SHARDS = ('s0', 's1', 's2', 's3')
# Enough shards for the gateway to divide a query among relays.
MANY = tuple(f'k{number:02}' for number in range(48))
START_S = 10
ASK_TIMEOUT_MS = 5000
CALLER_CONNECT_MS = 1000  # that callers allow a new connection
LOG_LINES_MAX = 60  # of each gateway, shown when a test fails


def configuration(version, **extra):
    """Return an operator's configuration as stored."""
    wide = {
        'name': 'wide',
        'host': 'h',
        'prefix': '/wide/',
        'kind': 'safe',
        'timeoutMs': 1500,
        'targetLatencyMs': 150,
        'fanoutServices': SHARDS,
        'topK': 3,
        'minShardShare': 0.5,
        'maxAttempts': 2,
    }
    once = {
        'name': 'once',
        'host': 'h',
        'prefix': '/once/',
        'kind': 'unsafe',
        'timeoutMs': 1500,
        'targetLatencyMs': 500,
        'service': 'one',
        'maxAttempts': 2,
    }
    single = {**once, 'name': 'single', 'prefix': '/single/', 'kind': 'safe'}
    many = {
        **wide,
        'name': 'many',
        'prefix': '/many/',
        'fanoutServices': MANY,
        'minShardShare': 0.9,
        'targetLatencyMs': 1000,  # high, so that no part is left out on a busy machine
    }
    names = (*SHARDS, 'one', *MANY)
    services = [{'name': name, 'maxConnections': 55} for name in names]
    routes = [wide, once, single, many]
    return msgspec.json.encode(
        {'version': version, 'routes': routes, 'services': services, **extra}
    )


def settings(number, store_address, seeds, window_s=10, constant=50, lines=()):
    """Return the text of a gateway's settings file."""
    host = f'{HOST_PREFIX}.{number}'
    return '\n'.join(
        (
            f'node=vm-{number}',
            'zone=de',
            f'listen.front={host}:18100',
            f'listen.ready={host}:18101',
            f'listen.control={host}:18102',
            'internalPorts=18103,18110',
            f'platform.address={store_address}',
            f'seeds={seeds}',
            'bounds.retryBudgetRatio=0.2',
            f'bounds.retryBudgetExtra={constant}',
            f'bounds.retryWindowS={window_s}',
            'bounds.graceS=4',
            *lines,
        )
    )


async def start_gateway(
    folder, number, store_address, seeds, module='cowsliploom.gateway', **bounds
):
    """Start a gateway's process with bounds; append to an existing log."""
    path = folder / f'vm-{number}.conf'
    path.write_text(settings(number, store_address, seeds, **bounds))
    build = select_build(number)
    with (folder / f'vm-{number}.log').open('ab') as log:
        return await asyncio.create_subprocess_exec(
            build.python,
            '-m',
            module,
            cwd=build.folder,
            env={**os.environ, 'COWSLIPLOOM_SETTINGS': str(path)},
            stdout=log,
            stderr=log,
        )


class World:
    """Run a store, backend servers and gateways for one test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = FakePlatformStore()
        self.backends: dict[str, FakeBackendServer] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.window_s = 10

    async def __aenter__(self):
        """Start the stand-ins and register the servers in the store."""
        await self.store.start()
        for number, service in enumerate((*SHARDS, 'one')):
            backend = FakeBackendServer(
                f'i-{service}', service, bytes([65 + number]) * 16
            )
            await backend.start()
            self.backends[service] = backend
            self.store.put(f'servers/{backend.name}', backend.entry())
        self.store.put('op/config', configuration(3))
        return self

    async def add_many(self):
        """Start the servers of the ``many`` route."""
        for number, service in enumerate(MANY):
            content = bytes([100 + number]) * 16
            backend = FakeBackendServer(f'i-{service}', service, content)
            await backend.start()
            self.backends[service] = backend
            self.store.put(f'servers/{backend.name}', backend.entry())

    async def shared_fleet(self):
        """Start gateways that relay queries; wait until they know all members."""
        await self.add_many()
        for number in (2, 3, 4, 5, 6):
            await self.gateway(number, f'{HOST_PREFIX}.2:18102')
        for number in (2, 3, 4, 5, 6):
            await self.ready(number)
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            log = (self.folder / 'vm-2.log').read_text()
            if '"event":"changed","live":5' in log and 'many changed' in log:
                return
            await asyncio.sleep(0.1)
        raise AssertionError('the gateways did not discover each other in time')

    async def gateway(self, number, seeds='', lines=()):
        """Start a gateway, with more lines in its settings."""
        process = await start_gateway(
            self.folder,
            number,
            self.store.address,
            seeds,
            window_s=self.window_s,
            lines=lines,
        )
        self.processes[number] = process
        return process

    def logs(self):
        """Return the last log lines of each gateway, without request lines."""
        logs = []
        for path in sorted(self.folder.glob('*.log')):
            text = path.read_text().splitlines()
            lines = [line for line in text if '"part":"request"' not in line]
            logs.append('\n'.join((path.name, *lines[-LOG_LINES_MAX:])))
        return '\n'.join(logs)

    async def ready(self, number):
        """Wait until a gateway is ready."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            answer = await ask(f'{HOST_PREFIX}.{number}:18101', '/v1/ready')
            if isinstance(answer, HttpAnswer) and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError((self.folder / f'vm-{number}.log').read_text())

    async def __aexit__(self, *_exc):
        """Stop all processes and stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for backend in self.backends.values():
            await backend.close()
        await self.store.close()


async def ask(address, target, method='GET', body=b'', request_id='r-1'):
    """Send a request as a caller and return the result."""
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n'
        f'Deadline: 1400\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    pool = ConnectionPool(address, CALLER_CONNECT_MS)
    result = await pool.ask(head.encode() + body, ASK_TIMEOUT_MS)
    pool.close()
    return result


def run_script(folder, script):
    """Run a test script in a new world."""

    async def run():
        async with World(folder) as world:
            await script(world)

    asyncio.run(run())
