"""A configuration after a drill, in which the store comes back from an older copy."""

import asyncio
import time
from pathlib import Path

from review.kit3.world import main

FOLDER = Path(__file__).parent
ZONES = ('gogledd', 'canolbarth', 'de')
OLD, NEW = 'rep-certs', 'van-rota'
STORM_GAP_S = 0.33
DOWN_S = 1.0
STABLE_S = 4.0  # stableWindowMs
APPLY_S = 3.0  # configApplyMs
CHECKED_S = 8.0
GAP_S = 0.1  # between requests to one gateway


def routes(world, service, timeout_ms=6000):
    """Return the routes of a version."""
    certs = world.route('r-certs', '/certs/', service, timeoutMs=timeout_ms)
    return [certs, world.route('r-rota', '/rota/', NEW)]


async def send_for(world, seconds):
    """Send requests to all gateways for a while; return gateways and results."""
    end = time.monotonic() + seconds
    results = []
    while time.monotonic() < end:
        pause = asyncio.sleep(GAP_S)
        sent = [world.send(gateway, '/certs/1') for gateway in world.gateways]
        answers = await asyncio.gather(*sent)
        results.extend(zip(world.gateways, answers, strict=True))
        await pause
    return results


async def case(world):
    """Return how the rule was broken."""
    for service in (OLD, NEW):
        for number in (1, 2, 3):
            zone = ZONES[number - 1]
            await world.add_backend(service, number, zone=zone)
    world.configure(3, routes(world, OLD), (OLD, NEW))
    await world.add_gateways(ZONES)
    await send_for(world, 3)

    copy = world.store.copy()
    for version, timeout_ms in ((5, 5900), (6, 5800), (8, 5700)):
        last = routes(world, OLD, timeout_ms)
        world.configure(version, last, (OLD, NEW))
        await asyncio.sleep(STORM_GAP_S)
    await send_for(world, 1.5)

    if world.trouble:
        world.store.go_down()
        await send_for(world, DOWN_S)
        world.store.restore(copy)
        world.store.come_back()
        world.configure(8, last, (OLD, NEW))
    await send_for(world, STABLE_S + 2)

    world.configure(11, routes(world, NEW), (OLD, NEW))
    await send_for(world, APPLY_S + 0.5)
    results = await send_for(world, CHECKED_S)
    broken = []
    for gateway in world.gateways:
        of_gateway = [result for by, result in results if by is gateway]
        stale = [result for result in of_gateway if is_by(result, OLD)]
        fresh = [result for result in of_gateway if is_by(result, NEW)]
        world.note(f'{gateway.node}: {len(stale)} by {OLD}, {len(fresh)} by {NEW}')
        if stale:
            broken.append(
                f'CONFIG: {gateway.node} had {len(stale)} of {len(of_gateway)} requests'
                f' run by {OLD} later than configApplyMs after version 11'
            )
    return broken


def is_by(result, service):
    """Return whether a backend of a service gave the success."""
    signature = result.headers.get('response-signature', '')
    return result.status == 200 and signature.startswith(f'i-{service}-')


main(FOLDER, case)
