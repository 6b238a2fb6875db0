"""A second copy of a rejection, late, while the same request is sent again."""

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

SERVICE = 'van-rota'
# Clients of each gateway, as uneven as a hash of the client deals them; the backend
# that is left has room for 30 requests.
CLIENTS = (12, 12, 12, 12, 2, 2, 2, 2)
EVACUATED = 'de'
LATE_SHARE = 0.04  # of the answers of half of the backends
WINDOWS = 6
WINDOW_S = 5.0
PAUSE_S = 4.0
PROMISES = (408, 421, 429, 503)  # not run, and never will be


def configuration() -> dict:
    """Return the operator's configuration: one route that is not idempotent."""
    route = {
        'name': 'book',
        'host': HOST,
        'prefix': '/book/',
        'kind': 'unsafe',
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


async def case(world, has_trouble: bool) -> list[str]:
    """Load two backends beyond their room while one repeats some answers late."""
    for number, zone in ((1, 'gogledd'), (2, 'de')):
        backend = Backend(f'i-{number}', SERVICE, zone, world.record, lambda: 0.04)
        await backend.listen('127.0.0.1')
        backend.register(world.store)
        world.backends.append(backend)
    world.store.put('op/config', configuration())
    world.store.put(f'op/evacuate/{EVACUATED}', {})
    for gateway in world.gateways:
        await gateway.start()
    for gateway in world.gateways:
        await gateway.ready()
    await asyncio.sleep(5)
    calls = Calls(world.record)
    until = time.monotonic() + WINDOWS * (WINDOW_S + PAUSE_S)
    clients = [
        asyncio.create_task(
            calls.keep_asking(gateway.address, '/book/van', 6000, until, 0.02)
        )
        for gateway, count in zip(world.gateways, CLIENTS)
        for _ in range(count)
    ]
    for _ in range(WINDOWS):
        await asyncio.sleep(PAUSE_S)
        world.backends[0].late_share = LATE_SHARE if has_trouble else 0
        await asyncio.sleep(WINDOW_S)
        world.backends[0].late_share = 0
    await asyncio.gather(*clients)
    return broken(world, calls)


def broken(world, calls: Calls) -> list[str]:
    """Return how TWICE and REFUSED were broken."""
    runs = Counter(
        request_id for backend in world.backends for _, request_id in backend.starts
    )
    twice = [request_id for request_id, count in runs.items() if count > 1]
    refused = [
        request_id
        for request_id, status in calls.statuses.items()
        if status in PROMISES and runs[request_id]
    ]
    copies = sum(backend.late_copies for backend in world.backends)
    world.record.write(
        'summary',
        sent=len(calls.sent),
        statuses=dict(Counter(calls.statuses.values())),
        runs=sum(runs.values()),
        late_copies=copies,
        ran_twice=twice,
        refused_but_ran=refused,
    )
    sys.stdout.write(
        f'{len(calls.sent)} requests, {copies} late copies, '
        f'statuses {dict(Counter(calls.statuses.values()))}\n'
    )
    lines = [f'TWICE: {one} ran {runs[one]} times' for one in twice]
    return lines + [f'REFUSED: {one} was answered 503 and ran' for one in refused]


if __name__ == '__main__':
    sys.exit(run_case(case, FOLDER, ['gogledd', 'de'] * 4))
