"""Gateways of the deploy file as processes, and clients of them, on loopback."""

import asyncio
import os
import random
import signal
import tempfile
import time
import tomllib
from pathlib import Path

from review.kit2.http11 import Message, read_message, request
from review.kit2.store import Store

ROOT = Path(__file__).resolve().parents[2]
START_S = 15


def settings(name: str, host: str, zone: str, store: str, seeds: str, **more) -> str:
    """Return a settings file like that of DEPLOY.md for a small deployment."""
    fields = {
        'node': name,
        'role': 'entry',
        'machineClass': 'front',
        'serves': 'front,control',
        'ip': host,
        'zone': zone,
        'region': 'r',
        'listen.front': f'{host}:18104',
        'listen.ready': f'{host}:18108',
        'listen.control': f'{host}:18106',
        'internalPorts': '17380,17395',
        'seeds': seeds,
        'bootstrap': 'true',
        'limits.memoryMb': 300,
        'limits.maxFds': 4100,
        'discovery': 'platform',
        'entry': 'virtual_ip',
        'heartbeatMs': 1200,
        'bounds.stableWindowMs': 4000,
        'bounds.drainMs': 3000,
        'bounds.graceS': 6,
        'bounds.lossSlackMs': 200,
        'bounds.configApplyMs': 3000,
        'bounds.retryBudgetRatio': 0.2,
        'bounds.retryWindowS': 10,
        'bounds.retryBudgetExtra': 54,
        'bounds.coldOverage': 1.5,
        'bounds.coldSlack': 5,
        'platform.address': store,
        'platform.form': 'kv',
        'platform.historyS': 20,
        'platform.valueBytes': 1048576,
        'platform.ttlMinMs': 1000,
    }
    fields.update({key.replace('__', '.'): text for key, text in more.items()})
    return ''.join(f'{key}={text}\n' for key, text in fields.items())


class World:
    """A store and gateways; ends all that it started.

    Parameters
    ----------
    zones : dict
        Zone of each gateway, by its name.
    """

    def __init__(self, zones: dict[str, str]) -> None:
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.store_host = f'{net}.1'
        self.zones = zones
        self.hosts = {name: f'{net}.{10 + n}' for n, name in enumerate(zones)}
        self.store = Store()
        self.stores: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)

    async def __aenter__(self) -> 'World':
        """Start the store."""
        for name in self.zones:
            self.stores[name] = await self.store.listen(self.store_host, name)
        return self

    async def __aexit__(self, *_exc) -> None:
        """End the gateways by their ids."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        self._folder.cleanup()

    async def start(self, name: str) -> asyncio.subprocess.Process:
        """Start a gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        seeds = ','.join(f'{host}:18106' for host in list(self.hosts.values())[:3])
        path = self.folder / f'{name}.conf'
        path.write_text(
            settings(name, self.hosts[name], self.zones[name], self.stores[name], seeds)
        )
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'COWSLIPLOOM_SETTINGS': str(path),
        }
        with (self.folder / f'{name}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes[name] = process
        return process

    async def is_ready(self, name: str) -> bool:
        """Ask a gateway as the balancer does."""
        try:
            answer = await ask(f'{self.hosts[name]}:18108', '/v1/ready', {}, wait_s=1)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, *names: str) -> None:
        """Wait until gateways are ready."""
        end_s = time.monotonic() + START_S
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > end_s:
                    raise RuntimeError(f'{name} is not ready: {self.log(name)[-2000:]}')
                await asyncio.sleep(0.05)

    def log(self, name: str) -> str:
        """Return what a gateway has logged."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    def front(self, name: str) -> str:
        """Return the address of a gateway for clients."""
        return f'{self.hosts[name]}:18104'

    async def stop(self, name: str, number: signal.Signals = signal.SIGTERM) -> None:
        """Stop a gateway and wait for its end."""
        process = self.processes[name]
        process.send_signal(number)
        await process.wait()


async def ask(
    address: str,
    target: str,
    headers: dict[str, str],
    method: str = 'GET',
    body: bytes = b'',
    wait_s: float = 10,
) -> Message | None:
    """Send one request on a new connection; None if it closes without an answer."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(wait_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                request(method, target, {'Host': 'h.example', **headers}, body)
            )
            return await read_message(reader)
        finally:
            writer.close()
