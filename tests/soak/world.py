"""Soak fleet: store, backend servers and gateways; proxies on the links."""

import asyncio
import pathlib
import signal
import time

import msgspec

from cowsliploom.forwarding.tests.extra_calls import ExtraBound
from cowsliploom.standins import FakePlatformStore
from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import start_gateway
from tests.soak.backends import SoakBackend
from tests.soak.proxy import Proxy

GATEWAYS = (2, 3, 4)
SHARDS = tuple(f's{number}' for number in range(6))
REPLICAS = 2
TIMEOUT_MS = 1500
TARGET_MS = 200
RECORDS_MAX = 5
COVERAGE_MIN = 0.5
RESTART_S = 0.3
STOP_GRACE_S = 4
EXTRA_CALLS_BOUND = ExtraBound(ratio=0.2, constant=12, window=10)


def routes(version: int) -> list[dict[str, object]]:
    """Return the routes of a version; route ``new`` is unique to the version."""
    common = {'host': 'h', 'timeoutMs': TIMEOUT_MS, 'maxAttempts': 2}
    wide = {
        **common,
        'targetLatencyMs': TARGET_MS,
        'kind': 'safe',
        'fanoutServices': SHARDS,
        'topK': RECORDS_MAX,
        'minShardShare': COVERAGE_MIN,
    }
    one = {**common, 'targetLatencyMs': 500, 'service': 'one'}
    return [
        {**wide, 'name': 'wide', 'prefix': '/wide/'},
        {**one, 'name': 'safe', 'prefix': '/safe/', 'kind': 'safe'},
        {**one, 'name': 'once', 'prefix': '/once/', 'kind': 'unsafe'},
        {**one, 'name': 'new', 'prefix': f'/v{version}/', 'kind': 'safe'},
    ]


class SoakWorld:
    """Stand-ins and gateway processes of one run.

    Parameters
    ----------
    folder : Path
        Folder of the settings and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = FakePlatformStore()
        self.backends: dict[str, SoakBackend] = {}
        self.store_proxies: dict[int, Proxy] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.version = 0
        self.versions: list[tuple[float, int]] = []
        self.is_over = False

    async def __aenter__(self) -> 'SoakWorld':
        """Start everything and wait until all gateways are ready."""
        await self.store.start()
        for service in (*SHARDS, 'one'):
            for replica in range(REPLICAS):
                await self.add_backend(f'{service}-{replica}', service)
        self.configure()
        for number in GATEWAYS:
            self.store_proxies[number] = Proxy(self.store.address)
            await self.store_proxies[number].start()
            await self.start_gateway(number)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stop all processes, servers and proxies."""
        self.is_over = True
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for backend in self.backends.values():
            await backend.close()
        for proxy in self.store_proxies.values():
            await proxy.close()
        await self.store.close()

    async def add_backend(
        self, name: str, service: str, **changes: object
    ) -> SoakBackend:
        """Start a backend server and register it."""
        backend = SoakBackend(f'i-{name}', service)
        await backend.start()
        self.backends[name] = backend
        self.store.put(f'servers/{backend.name}', backend.register(**changes))
        return backend

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        names = (*SHARDS, 'one')
        services = [{'name': name, 'maxConnections': 30} for name in names]
        document = {
            'version': self.version,
            'routes': routes(self.version),
            'services': services,
        }
        self.store.put('op/config', msgspec.json.encode(document))
        self.versions.append((time.monotonic(), self.version))

    async def start_gateway(self, number: int) -> None:
        """Start a gateway process; its log is appended to."""
        seeds = ','.join(f'{HOST_PREFIX}.{other}:18102' for other in GATEWAYS)
        store_address = self.store_proxies[number].address
        self.processes[number] = await start_gateway(
            self.folder,
            number,
            store_address,
            seeds,
            constant=EXTRA_CALLS_BOUND.constant,
        )

    async def kill(self, number: int) -> None:
        """Kill and restart a gateway."""
        process = self.processes[number]
        process.kill()
        await process.wait()
        await asyncio.sleep(RESTART_S)
        await self.start_gateway(number)

    async def stop(self, number: int) -> float:
        """Stop a gateway by SIGTERM, restart it, and return the time of the stop."""
        process = self.processes[number]
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), STOP_GRACE_S + 1)
        except TimeoutError:
            process.kill()
            await process.wait()
        took_s = time.monotonic() - started
        await asyncio.sleep(RESTART_S)
        await self.start_gateway(number)
        return took_s
