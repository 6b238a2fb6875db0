"""World of a case: store, backends, and gateways as the deploy file starts them."""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.kit3.backend import Backend
from review.kit3.client import send
from review.kit3.store import Store

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, INTERNAL, STORE, METRICS = 8104, 8108, 8106, 7380, 8102, 9464
BACKEND = 8080
START_S = 20
HELD, BROKEN, NOT_RUN = 0, 1, 2
SETTINGS = """\
node={node}
role=entry
machineClass=front
serves=front,control
ip={ip}
zone={zone}
region=cymru
zones.gogledd=cymru
zones.canolbarth=cymru
zones.de=cymru
listen.front={ip}:8104
listen.ready={ip}:8108
listen.control={ip}:8106
internalPorts=7380,7395
seeds={seeds}
bootstrap=true
countsTowardLoss=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,scatter,places,rollout,platform
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.outerMs=12000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.retryBudgetExtra=56
bounds.exposureShare=0.1
bounds.exposureSlack=50
bounds.rollbackMs=5000
bounds.coldOverage=1.5
bounds.coldSlack=5
bounds.evacuateMs=5000
bounds.recoveryS=12
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


class CannotRunError(Exception):
    """The case can't run here."""


class Gateway:
    """One process of the role of the deploy file."""

    def __init__(self, world, number, zone):
        self.world = world
        self.ip = f'{world.prefix}.{number}'
        self.front = f'{self.ip}:{FRONT}'
        self.node = f'front-{zone}-{number}'
        self.zone = zone
        self.process = None

    async def start(self):
        """Write the settings and start the process."""
        path = self.world.folder / f'{self.node}.conf'
        seeds = ','.join(f'{self.world.prefix}.{n}:{CONTROL}' for n in (1, 2, 3))
        store = self.world.store.address
        text = SETTINGS.format(
            node=self.node, ip=self.ip, zone=self.zone, seeds=seeds, store=store
        )
        path.write_text(text)
        log = (self.world.folder / f'{self.node}.log').open('ab')
        command = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        run = command['roles']['entry']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['COWSLIPLOOM_SETTINGS'] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.world.note(f'{self.node}: starts at {self.ip}')

    async def is_ready(self):
        """Return whether it reports ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY)
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_ready(self):
        """Wait until it reports ready."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            if await self.is_ready():
                return
            if self.process.returncode is not None:
                raise CannotRunError(f'{self.node} ended: {self.process.returncode}')
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{self.node} is not ready')

    def signal(self, number):
        """Send a signal to the process."""
        name = signal.Signals(number).name
        self.world.note(f'{self.node}: gets {name}')
        self.process.send_signal(number)

    async def stop(self):
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class World:
    """All that a case starts, and its record."""

    def __init__(self, folder):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.host = 'desk.example'
        self.started_s = time.monotonic()
        self.record = (Path(folder) / 'record.txt').open('w')
        self.prefix = _free_prefix()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store(f'{self.prefix}.200:{STORE}', self.note)
        self.gateways: list[Gateway] = []
        self.backends: dict[str, Backend] = {}
        self._ids = itertools.count(1)
        self._start = f'{random.getrandbits(32):08x}'

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_exc):
        for gateway in self.gateways:
            await gateway.stop()
        for backend in self.backends.values():
            await backend.close()
        await self.store.close()
        self._keep_logs()
        self._temporary.cleanup()
        self.record.close()

    def _keep_logs(self):
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            for path in self.folder.glob('*.log'):
                (Path(kept) / path.name).write_bytes(path.read_bytes())

    def next_id(self):
        """Return an unused request id."""
        return f'{self._start}{next(self._ids):08x}'

    def note(self, line):
        """Write a line to the record."""
        at_s = time.monotonic() - self.started_s
        self.record.write(f'{at_s:8.3f} {line}\n')
        self.record.flush()

    async def add_backend(self, service, number, **options):
        """Start a backend of a service."""
        name = f'i-{service}-{number}'
        address = f'{self.prefix}.{100 + len(self.backends)}:{BACKEND}'
        backend = Backend(self, name, service, address, **options)
        self.backends[name] = backend
        await backend.start()
        return backend

    async def add_gateways(self, zones):
        """Start one gateway for each zone named, and wait until they are ready."""
        for zone in zones:
            gateway = Gateway(self, len(self.gateways) + 1, zone)
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    def configure(self, version, routes, services, cold_per_s=0.0):
        """Write a configuration; its version is acknowledged with the return."""
        document = {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'healthPath': '/health',
                    'maxConnections': 110,
                    'warmupS': 3.0,
                    'coldPerS': cold_per_s,
                }
                for name in services
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        self.note(f'operator: sends version {version}')
        return self.store.put('op/config', json.dumps(document).encode())

    def route(self, name, prefix, service, **fields):
        """Return a route to one service."""
        return {
            'name': name,
            'host': self.host,
            'prefix': prefix,
            'kind': 'safe',
            'timeoutMs': 6000,
            'targetLatencyMs': 544,
            'priority': 2,
            'service': service,
            'maxAttempts': 2,
            **fields,
        }

    async def send(self, gateway, path, **options):
        """Send one attempt to a gateway."""
        return await send(self, gateway.front, path, **options)


def _free_prefix():
    """Return the start of loopback addresses whose ports are free."""
    for _ in range(50):
        prefix = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        if all(_is_free(f'{prefix}.{host}') for host in (1, 2, 3, 100, 200)):
            return prefix
    raise CannotRunError('no free loopback addresses')


def _is_free(host):
    for port in (FRONT, READY, CONTROL, INTERNAL, STORE, METRICS, BACKEND):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def main(folder, case):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def run():
        async with World(folder) as world:
            try:
                broken = await case(world)
            except (CannotRunError, OSError) as error:
                world.note(f'can not run: {error!r}')
                return NOT_RUN
            for line in broken:
                world.note(f'BROKEN {line}')
            world.note(f'result: {"broken" if broken else "held"}')
            return BROKEN if broken else HELD

    try:
        status = asyncio.run(run())
    except Exception as error:
        sys.stderr.write(f'can not run: {error!r}\n')
        status = NOT_RUN
    sys.exit(status)
