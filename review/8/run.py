"""Backends that leave together without draining are used for too long."""

import asyncio
import itertools
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from review.kit2.backend import Backend
from review.kit2.http11 import Message
from review.kit2.world import World, ask

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DRAIN_S = 3.0  # drainMs
SERVES_S = DRAIN_S + 0.4  # for which a leaving backend goes on serving
FREEZE_S = 3.5  # for_s of node_freeze in the site file
ROUND_S = 7.6  # longer than freeze and stableWindowMs together
ROUNDS = 12
STABLE_S = 4.5
SERVICES = ('rota', 'certs')
BACKENDS = 6  # of each service
# Each round has three scale-ins of one backend, 0.17 of its service each.
SCALE_INS = (('rota', 'rota', 'certs'), ('certs', 'certs', 'rota'))
GATEWAYS = {'front-a-1': 'a', 'front-a-2': 'a', 'front-b-1': 'b', 'front-b-2': 'b'}
CLIENTS = 3  # of each gateway and service
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': service,
            'host': 'h.example',
            'prefix': f'/{service}/',
            'kind': 'unsafe',
            'timeoutMs': 3000,
            'targetLatencyMs': 500,
            'priority': 1,
            'service': service,
            'maxAttempts': 2,
        }
        for service in SERVICES
    ],
    'services': [
        {
            'name': service,
            'healthPath': '/health',
            'maxConnections': 110,
            'warmupS': 0,
            'coldPerS': 0,
        }
        for service in SERVICES
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 262144,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


class Case:
    """The world of one run, and what was seen."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.backends: dict[str, list[Backend]] = {name: [] for name in SERVICES}
        self.left: list[tuple[Backend, float]] = []
        self.frozen: list[tuple[str, float, float]] = []
        self.sent: dict[str, tuple[float, str]] = {}
        self.answers: dict[str, int] = {}
        self.is_over = False
        self._numbers = itertools.count()

    async def add(self, service: str) -> None:
        """Start a backend and register it."""
        backend = Backend(f'i-{service}{next(self._numbers)}', service, slots=6)
        await backend.start(self.world.store_host)
        self.backends[service].append(backend)
        self.world.store.put(f'servers/{backend.name}', backend.entry())

    async def call(self, name: str, service: str, ids) -> None:
        """Post one request after the other at a gateway."""
        while not self.is_over:
            request_id = f'q{next(ids)}'
            self.sent[request_id] = (time.monotonic(), name)
            headers = {'Request-Id': request_id, 'Deadline': '3000'}
            address = self.world.front(name)
            try:
                answer = await ask(address, f'/{service}/1', headers, 'POST', b'x', 4)
                found = answer.status if isinstance(answer, Message) else 0
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                found = 0
            self.answers[request_id] = found
            await asyncio.sleep(0.02)

    async def freeze_watcher(self) -> None:
        """Let the machine of zone a that watches the store stand still."""
        watching = self.world.store.watching
        names = [name for name, zone in GATEWAYS.items() if zone == 'a']
        while not any(watching[name] for name in names):
            await asyncio.sleep(0.01)
        name = next(name for name in names if watching[name])
        process = self.world.processes[name]
        process.send_signal(signal.SIGSTOP)
        begin_s = time.monotonic()
        await asyncio.sleep(FREEZE_S)
        process.send_signal(signal.SIGCONT)
        self.frozen.append((name, begin_s, time.monotonic()))

    async def play_round(self, services: tuple[str, ...]) -> None:
        """Take backends of services away, and start others in their place."""
        begin_s = time.monotonic()
        freeze = asyncio.create_task(self.freeze_watcher()) if TROUBLE else None
        await asyncio.sleep(0.2)
        leaving = [self.backends[service].pop(0) for service in services]
        self.world.store.delete_together([f'servers/{one.name}' for one in leaving])
        now_s = time.monotonic()
        self.left.extend((backend, now_s) for backend in leaving)
        await asyncio.sleep(SERVES_S)
        for backend in leaving:
            backend.crash()
        if freeze is not None:
            await freeze
        for service in services:
            await self.add(service)
        await asyncio.sleep(begin_s + ROUND_S - time.monotonic())

    async def play(self) -> None:
        """Start all, and play the rounds."""
        world = self.world
        for service in SERVICES * BACKENDS:
            await self.add(service)
        world.store.put('op/config', CONFIGURATION)
        for name in GATEWAYS:
            await world.start(name)
        await world.wait_ready(*GATEWAYS)
        ids = itertools.count(1)
        tasks = [
            asyncio.create_task(self.call(name, service, ids))
            for name in GATEWAYS
            for service in SERVICES
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(STABLE_S)
        for number in range(ROUNDS):
            await self.play_round(SCALE_INS[number % len(SCALE_INS)])
        self.is_over = True
        await asyncio.gather(*tasks)

    def is_in_touch(self, name: str, at_s: float) -> bool:
        """Return whether a machine ran undisturbed for stableWindowMs."""
        return not any(
            name == frozen and begin_s <= at_s <= end_s + 4
            for frozen, begin_s, end_s in self.frozen
        )

    def late(self) -> list[tuple[str, str, float]]:
        """Return late requests: backend, gateway, and seconds after it was gone."""
        return [
            (backend.name, self.sent[request_id][1], round(at_s - gone_s, 2))
            for backend, gone_s in self.left
            for at_s, request_id in backend.arrivals
            if at_s > gone_s + DRAIN_S
            and self.is_in_touch(self.sent[request_id][1], at_s)
        ]

    def record(self) -> list[str]:
        """Return what was seen."""
        last = [
            max((at_s - gone_s for at_s, _ in backend.arrivals), default=0)
            for backend, gone_s in self.left
        ]
        lost = [one for backend, _ in self.left for one in backend.lost_in_crash]
        lost = [one for one in lost if self.answers.get(one) != 200]
        return [
            f'disruption: {TROUBLE}; frozen: {[name for name, *_ in self.frozen]}',
            f'answers by status (0: closed): {dict(Counter(self.answers.values()))}',
            f'last arrival at each leaving backend: {[round(s, 2) for s in last]}',
            f'later than {DRAIN_S} s, by machines in touch: {len(self.late())}',
            *(f'  {found}' for found in self.late()),
            f'ran at a backend as it ended, and lost: {len(lost)}',
        ]


async def play() -> tuple[bool, list[str]]:
    """Play the case; return whether the rule was broken, and the record."""
    async with World(GATEWAYS) as world:
        case = Case(world)
        await case.play()
        is_broken = bool(case.late())
        verdict = 'DRAIN broken' if is_broken else 'held'
        return is_broken, [*case.record(), f'verdict: {verdict}']


def main() -> int:
    """Play, write the record, and return the exit code."""
    try:
        is_broken, record = asyncio.run(asyncio.wait_for(play(), 115))
    except Exception as error:
        is_broken, record = None, [f'could not run: {error!r}']
    text = '\n'.join(record) + '\n'
    Path(__file__).with_name('record.txt').write_text(text)
    sys.stdout.write(text)
    return 2 if is_broken is None else int(is_broken)


if __name__ == '__main__':
    sys.exit(main())
