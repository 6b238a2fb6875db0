"""A backend that becomes cold again between two of its reports."""

import asyncio
import json
import time
from pathlib import Path

from review.kit3.world import main

FOLDER = Path(__file__).parent
ZONES = ('gogledd', 'canolbarth', 'de')
SERVICE = 'cellar-brief-01'
BEAT_S = 1.2  # heartbeatMs
COLD_S = 3.0  # warmupS
COLD_PER_S = 4.0  # coldPerS
BOUND_PER_S = COLD_PER_S * 1.5 + 5  # coldOverage, coldSlack
GAP_S = 3 / 45  # between requests to one of three gateways: 45 a second in all
WORK_S = 0.0165  # of line-history


async def answer(backend, request, writer, peer):
    """Answer like a sound backend."""
    backend.note(request, peer, ran=True)
    await asyncio.sleep(WORK_S)
    writer.write(backend.render_success(request))
    return True


async def send_until(world, gateway, end_s):
    """Send requests to a gateway, several at a time."""
    sent = []
    while time.monotonic() < end_s:
        sent.append(asyncio.create_task(world.send(gateway, '/brief/1')))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*sent)


async def case(world):
    """Return how the rule was broken."""
    for number in (1, 2):
        backend = await world.add_backend(SERVICE, number, zone=ZONES[0])
        backend.answer_hook = answer
    first = next(iter(world.backends.values()))
    route = world.route('r-brief', '/brief/', SERVICE, targetLatencyMs=118)
    world.configure(3, [route], (SERVICE,), cold_per_s=COLD_PER_S)
    await world.add_gateways(ZONES)
    end_s = time.monotonic() + 10
    loads = [send_until(world, gateway, end_s) for gateway in world.gateways]
    loading = asyncio.gather(*loads)
    await asyncio.sleep(5)
    if not world.trouble:
        await loading
        return []
    cold_s = time.monotonic()
    first.cold_until_s = cold_s + COLD_S
    world.note(f'{first.name}: is cold again, and says so from now on when asked')
    await asyncio.sleep(BEAT_S)
    left_ms = round((COLD_S - BEAT_S) * 1000)
    entry = {**json.loads(first.entry()), 'coldRemainingMs': left_ms, 'sequence': 2}
    world.store.put(first.key, json.dumps(entry).encode(), by=first.name)
    await loading
    arrived = [
        arrival.at_s
        for arrival in first.arrivals
        if cold_s <= arrival.at_s < cold_s + COLD_S
    ]
    most = max(sum(at_s <= other < at_s + 1 for other in arrived) for at_s in arrived)
    world.note(f'{most} requests in one second reached {first.name} while cold')
    if most > BOUND_PER_S:
        return [f'FAILBACK: {most} requests in one second, of {BOUND_PER_S} allowed']
    return []


main(FOLDER, case)
