"""The gateways of a small deployment as processes, with the platform beside them."""

import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.standin.http import KeptConnection
from review.standin.record import Record
from review.standin.store import Store

ROOT = Path(__file__).resolve().parents[2]
CALLERS_PORT = 8104
READY_PORT = 8108
PEERS_PORT = 8106
RELAYS_PORT = 7380
METRICS_PORT = 9464
PORTS = (CALLERS_PORT, READY_PORT, PEERS_PORT, RELAYS_PORT, METRICS_PORT)
START_S = 15
LIMIT_S = 115
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not run."""


class Gateway:
    """One process of the role of the deploy file."""

    def __init__(self, world: 'World', number: int, zone: str) -> None:
        self.world = world
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        self.host = f'{world.prefix}.{number}'
        self.process: asyncio.subprocess.Process | None = None
        self.touched: list[float] = []  # starts, signals and ends

    @property
    def address(self) -> str:
        """Address for callers."""
        return f'{self.host}:{CALLERS_PORT}'

    async def start(self) -> None:
        """Start the process with its settings file."""
        path = self.world.folder / f'{self.name}.conf'
        path.write_text(self.world.settings(self))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = 'target/deps'
        environment['COWSLIPLOOM_SETTINGS'] = str(path)
        with (self.world.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.touched.append(time.monotonic())
        self.world.record.write('gateway started', gateway=self.name)

    async def ready(self) -> None:
        """Wait until the process reports that it is ready."""
        end = time.monotonic() + START_S
        asker = KeptConnection(f'{self.host}:{READY_PORT}')
        question = b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n'
        while time.monotonic() < end:
            answer = await asker.ask(question, 1)
            if answer is not None and answer.status == 200:
                asker.close()
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} is not ready after {START_S} s')

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        name = signal.Signals(number).name
        self.world.record.write('signal', gateway=self.name, signal=name)
        self.touched.append(time.monotonic())
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, delay_s: float) -> None:
        """Kill the process, and start it again after a short delay."""
        self.signal(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(delay_s)
        await self.start()

    async def stop(self, grace_s: float = 6) -> None:
        """Stop the process as the platform does: SIGTERM, then SIGKILL."""
        if self.process is None:
            return
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.touched.append(time.monotonic())
        self.world.record.write('gateway ended', gateway=self.name)


class World:
    """Store, backends and gateways of one case, on loopback addresses."""

    def __init__(self, folder: Path, zones: list[str], seeds: tuple[int, ...]) -> None:
        self.seeds = seeds
        self.record = Record(folder / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.backends = []
        self.prefix = _free_prefix()
        self.gateways = [
            Gateway(self, number, zone) for number, zone in enumerate(zones, start=1)
        ]

    def settings(self, gateway: Gateway) -> str:
        """Return the settings file, with the bounds of the small sites."""
        seeds = [
            f'{self.gateways[one].host}:{PEERS_PORT}'
            for one in self.seeds
            if one < len(self.gateways)
        ]
        zones = sorted({one.zone for one in self.gateways})
        return '\n'.join(
            (
                f'node={gateway.name}',
                'role=entry',
                'machineClass=front',
                'serves=front,control',
                f'ip={gateway.host}',
                f'zone={gateway.zone}',
                'region=cymru',
                *(f'zones.{zone}=cymru' for zone in zones),
                f'listen.front={gateway.host}:{CALLERS_PORT}',
                f'listen.ready={gateway.host}:{READY_PORT}',
                f'listen.control={gateway.host}:{PEERS_PORT}',
                f'internalPorts={RELAYS_PORT},{RELAYS_PORT + 15}',
                f'seeds={",".join(seeds)}',
                'bootstrap=true',
                'heartbeatMs=1200',
                'bounds.stableWindowMs=4000',
                'bounds.drainMs=3000',
                'bounds.graceS=6',
                'bounds.configApplyMs=3000',
                'bounds.rollbackSlackMs=250',
                'bounds.retryBudgetRatio=0.2',
                'bounds.retryWindowS=10',
                'bounds.retryBudgetExtra=56',
                'bounds.coldOverage=1.5',
                'bounds.coldSlack=5',
                f'platform.address={self.store.address}',
                'platform.form=kv',
                'platform.writesPerS=400',
                'platform.readsPerS=2000',
                'platform.historyS=20',
                '',
            )
        )

    async def close(self) -> None:
        """End all processes and stand-ins, and remove the temporary folder."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                await gateway.process.wait()
        for backend in self.backends:
            await backend.close()
        await self.store.close()
        self.record.close()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    case, folder: Path, zones: list[str], seeds: tuple[int, ...] = (0, 1, 2)
) -> int:
    """Run a case; return its exit code: 1 if the rule was broken, 2 if not run.

    Parameters
    ----------
    case : callable
        Coroutine function of the world and of whether to play the disruption; returns
        the lines that describe how the rule was broken.
    folder : Path
        Folder of the case.
    zones : list of str
        Zone of each gateway.
    seeds : tuple of int
        Gateways whose addresses the settings name as seeds.
    """
    return asyncio.run(_run(case, folder, zones, seeds))


async def _run(case, folder: Path, zones: list[str], seeds: tuple[int, ...]) -> int:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    world = World(folder, zones, seeds)
    try:
        async with asyncio.timeout(LIMIT_S):
            await world.store.listen('127.0.0.1')
            breaks = await case(world, has_trouble)
    except (CannotRunError, TimeoutError, OSError) as error:
        world.record.write('cannot run', reason=repr(error))
        sys.stdout.write(f'could not run: {error!r}\n')
        return NOT_RUN
    finally:
        await world.close()
    for line in breaks:
        sys.stdout.write(f'{line}\n')
    sys.stdout.write(f'{"BROKEN" if breaks else "held"}\n')
    return BROKEN if breaks else HELD


def _free_prefix() -> str:
    """Return three bytes of loopback addresses whose ports are free."""
    for _ in range(200):
        prefix = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        try:
            for port in PORTS:
                for number in range(1, 9):
                    with socket.socket() as probe:
                        probe.bind((f'{prefix}.{number}', port))
        except OSError:
            continue
        return prefix
    raise CannotRunError('no free loopback addresses')
