"""Backends leave while a killed process is started again; its peer keeps them."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.standin.backend import Backend  # noqa: E402
from review.standin.callers import HOST, Calls  # noqa: E402
from review.standin.world import run_case  # noqa: E402

SERVICE = 'rep-certs'
BACKENDS = 40
# What each backend of a scale-in does; 6 of 40 leave. Some never report it.
LEAVING = ('drains', 'removed', 'drains', 'drains', 'removed', 'drains')
STEP_S = 0.1  # between two backends that leave
LINGER_S = 10.0  # a backend serves for this long after its report or removal
ROUNDS = 8
START_DELAY_S = 0.3  # after which a killed process is started again
ROUND_S = 10.0
DRAIN_S = 3.0
IN_TOUCH_S = 4.0
CLIENTS = 8  # of each gateway
WATCHER = 1  # index of the gateway that watches the store for its zone
SEEDS = (1, 2, 3)


def configuration() -> dict:
    """Return the operator's configuration: one route that is idempotent."""
    route = {
        'name': 'certs',
        'host': HOST,
        'prefix': '/certs/',
        'kind': 'safe',
        'timeoutMs': 6000,
        'targetLatencyMs': 544,
        'priority': 2,
        'service': SERVICE,
        'maxAttempts': 2,
    }
    service = {
        'name': SERVICE,
        'healthPath': '/health',
        'maxConnections': 110,
        'warmupS': 3.0,
        'coldPerS': 0.0,
    }
    return {'version': 7, 'routes': [route], 'services': [service]}


class Fleet:
    """The backends, and when each of them left."""

    def __init__(self, world) -> None:
        self.world = world
        self.left: dict[str, float] = {}  # when the store accepted it
        self.gone: list[Backend] = []
        self._number = 0
        self._closing = []

    async def add(self, count: int) -> None:
        """Start and register backends."""
        for _ in range(count):
            self._number += 1
            backend = Backend(
                f'i-{self._number}', SERVICE, 'de', self.world.record, lambda: 0.02
            )
            await backend.listen('127.0.0.1')
            backend.register(self.world.store)
            self.world.backends.append(backend)

    async def scale_in(self) -> None:
        """Let some backends leave one after the other."""
        for manner in LEAVING:
            await asyncio.sleep(STEP_S)
            backend = self.world.backends.pop(0)
            is_abrupt = manner == 'removed'
            if is_abrupt:
                self.world.store.delete(f'servers/{backend.name}')
            else:
                backend.register(self.world.store, 'draining', sequence=9)
            self.left[backend.name] = time.monotonic()
            self.gone.append(backend)
            what = 'entry removed' if is_abrupt else 'draining'
            self.world.record.write(what, server=backend.name)
            self._closing.append(asyncio.create_task(self._close(backend)))

    async def _close(self, backend: Backend) -> None:
        await asyncio.sleep(LINGER_S)
        key = f'servers/{backend.name}'
        if key in self.world.store.items:
            self.world.store.delete(key)
        self.world.record.write('ended', server=backend.name)
        await backend.close()


async def case(world, has_trouble: bool) -> list[str]:
    """Kill the process that watches the store, beside each scale-in."""
    fleet = Fleet(world)
    await fleet.add(BACKENDS)
    world.store.put('op/config', configuration())
    for gateway in world.gateways:
        await gateway.start()
    for gateway in world.gateways:
        await gateway.ready()
    await asyncio.sleep(5)
    calls = Calls(world.record)
    until = time.monotonic() + ROUNDS * (ROUND_S + 3)
    clients = [
        asyncio.create_task(
            calls.keep_asking(gateway.address, '/certs/one', 6000, until, 0.1)
        )
        for gateway in world.gateways
        for _ in range(CLIENTS)
    ]
    for _ in range(ROUNDS):
        leaving = asyncio.create_task(fleet.scale_in())
        if has_trouble:
            await world.gateways[WATCHER].restart(START_DELAY_S)
        await leaving
        await fleet.add(len(LEAVING))
        await asyncio.sleep(ROUND_S)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return broken(world, fleet, calls)


def broken(world, fleet: Fleet, calls: Calls) -> list[str]:
    """Return how DRAIN was broken, by machines in touch alone."""
    touched = [at for gateway in world.gateways for at in gateway.touched]
    late = Counter()
    for backend in fleet.gone:
        for at, request_id in backend.arrivals:
            sender = calls.gateways[request_id]
            since = at - fleet.left[backend.name]
            # Stricter than the rule: nothing happened to any machine.
            in_touch = not any(0 <= at - moment < IN_TOUCH_S for moment in touched)
            if since > DRAIN_S and in_touch:
                late[backend.name, sender] += 1
                world.record.write(
                    'late arrival',
                    server=backend.name,
                    id=request_id,
                    sender=sender,
                    since_s=round(since, 2),
                )
    sys.stdout.write(f'{len(calls.sent)} requests, {len(fleet.gone)} backends left\n')
    return [
        f'DRAIN: {server} got {count} requests from {sender} over {DRAIN_S} s later'
        for (server, sender), count in late.items()
    ]


if __name__ == '__main__':
    sys.exit(run_case(case, FOLDER, ['de', 'de', 'gogledd', 'gogledd'], SEEDS))
