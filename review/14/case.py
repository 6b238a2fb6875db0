"""Entries of another writer beside those of the backends of a search."""

import asyncio
import json
import time
from pathlib import Path

from review.kit3.world import main

FOLDER = Path(__file__).parent
ZONES = ('gogledd', 'canolbarth', 'de')
SHARDS = tuple(f'cellar-brief-{number:02}' for number in range(20))
DEADLINE_MS = 1500  # of line-history
RETRIES = 1  # of its clients
GAP_S = 0.15  # between requests to one gateway
CHECKED_S = 15.0
UNSERVED_MAX = 0.6  # refused + failed, of those owed


def search(world):
    """Return the route of a search over all shards."""
    route = world.route(
        'r-history', '/history/', '', timeoutMs=DEADLINE_MS, targetLatencyMs=118
    )
    del route['service']
    fan_out = {'fanoutServices': list(SHARDS), 'topK': 50, 'minShardShare': 0.89}
    return {**route, **fan_out}


def write_odd_entries(world):
    """Write entries whose id holds characters that no header can hold."""
    for number, backend in enumerate(tuple(world.backends.values())):
        entry = {
            **json.loads(backend.entry()),
            'address': f'{world.prefix}.{240 + number % 10}:8080',
        }
        world.store.put(
            f'servers/arddangos-\u0175\u0177-{number}',
            json.dumps(entry).encode(),
            by='another writer',
        )


async def request(world, gateway):
    """Send a request as a client does, with a retry; return whether it was served."""
    others = [other for other in world.gateways if other is not gateway]
    started_s = time.monotonic()
    for attempt in range(1 + RETRIES):
        left_ms = DEADLINE_MS - (time.monotonic() - started_s) * 1000
        used = gateway if not attempt else others[attempt % len(others)]
        result = await world.send(used, '/history/1', deadline_ms=round(left_ms))
        if result.status == 200:
            return True
    return False


async def case(world):
    """Return how the rule was broken."""
    for shard in SHARDS:
        for number, zone in enumerate(ZONES[:2], start=1):
            await world.add_backend(shard, number, zone=zone)
    world.configure(3, [search(world)], SHARDS)
    await world.add_gateways(ZONES)
    await asyncio.sleep(1)
    if world.trouble:
        write_odd_entries(world)
    await asyncio.sleep(4)

    sent = []
    end_s = time.monotonic() + CHECKED_S
    while time.monotonic() < end_s:
        for gateway in world.gateways:
            sent.append(asyncio.create_task(request(world, gateway)))
        await asyncio.sleep(GAP_S)
    served = await asyncio.gather(*sent)
    unserved = served.count(False)
    world.note(f'{unserved} of {len(served)} requests were not served')
    if unserved > UNSERVED_MAX * len(served):
        return [f'Gate: {unserved} of {len(served)} requests were refused or failed']
    return []


main(FOLDER, case)
