"""Entries whose address can't be read, for a while, and what is left of the machines."""

import asyncio
import json
import time
from pathlib import Path

from review.kit3.world import main

FOLDER = Path(__file__).parent
ZONE, OTHER_ZONE = 'gogledd', 'canolbarth'
MACHINES = 3
SHARDS = tuple(f'cellar-brief-{number:02}' for number in range(20))
ODD_PER_SHARD = 20
LABEL = 'arddangos'.ljust(70, 'x')  # a label of a host has 63 characters at most
ODD_ADDRESS = f'{LABEL}.example:8080'
DEADLINE_MS = 1500  # of line-history
RETRIES = 1  # of its clients
GAP_S = 0.05  # between requests to one gateway
ODD_S = 36.0  # for which the entries stand in the store
AFTER_S = 56.0
UNSERVED_MAX = 0.6  # refused + failed, of those owed


def search(world):
    """Return the route of a search over all shards."""
    route = world.route(
        'r-history', '/history/', '', timeoutMs=DEADLINE_MS, targetLatencyMs=118
    )
    del route['service']
    fan_out = {'fanoutServices': list(SHARDS), 'topK': 50, 'minShardShare': 0.89}
    return {**route, **fan_out}


def odd_keys():
    """Return the keys of the other writer's entries, with their shards."""
    return {
        f'servers/arddangos-{shard}-{number}': shard
        for shard in SHARDS
        for number in range(ODD_PER_SHARD)
    }


def write_odd_entries(world):
    """Write entries that are sound but for their address."""
    for key, shard in odd_keys().items():
        entry = json.loads(world.backends[f'i-{shard}-1'].entry())
        entry['address'] = ODD_ADDRESS
        world.store.put(key, json.dumps(entry).encode(), by='another writer')


async def request(world, gateway):
    """Send a request as a client does, with a retry; return whether it was served."""
    others = [other for other in world.gateways if other is not gateway]
    started_s = time.monotonic()
    for attempt in range(1 + RETRIES):
        left_ms = DEADLINE_MS - (time.monotonic() - started_s) * 1000
        used = gateway if not attempt else others[attempt % len(others)]
        result = await world.send(
            used, '/history/1', deadline_ms=max(1, round(left_ms))
        )
        if result.status == 200:
            return True
    return False


async def send_for(world, seconds):
    """Send requests to all gateways for a while; return which were served."""
    sent = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for gateway in world.gateways:
            sent.append(asyncio.create_task(request(world, gateway)))
        await asyncio.sleep(GAP_S)
    return await asyncio.gather(*sent)


async def case(world):
    """Return how the rule was broken."""
    for shard in SHARDS:
        await world.add_backend(shard, 1, zone=ZONE)
        await world.add_backend(shard, 2, zone=OTHER_ZONE)
    world.configure(3, [search(world)], SHARDS)
    await world.add_gateways([ZONE] * MACHINES)
    await asyncio.sleep(1)
    if world.trouble:
        write_odd_entries(world)
    during = await send_for(world, ODD_S)
    for key in odd_keys():
        world.store.delete(key, by='another writer')
    after = await send_for(world, AFTER_S)

    last = after[len(after) // 2 :]
    for name, of_time in (('while they stand', during), ('after', after)):
        world.note(f'{name}: {of_time.count(False)} of {len(of_time)} not served')
    world.note(f'last half after: {last.count(False)} of {len(last)} not served')
    served = during + after
    if served.count(False) > UNSERVED_MAX * len(served):
        unserved = served.count(False)
        return [f'Gate: {unserved} of {len(served)} requests were refused or failed']
    return []


main(FOLDER, case)
