"""A configuration after a drill, in which the store comes back from an older copy."""

import asyncio
import json
import time
from pathlib import Path

from review.kit3.world import CannotRunError, main

FOLDER = Path(__file__).parent
ZONES = ('gogledd', 'canolbarth', 'de')
OLD, NEW, MOVED = 'rep-certs', 'van-rota', 'members-desk'
ORDER_S = 30  # durationS; the case is over before
LOST_MAX_S = 8.0  # in which the system writes steps of the move
LOST_STEPS = 2
DOWN_S = 1.0
STABLE_S = 4.0  # stableWindowMs
APPLY_S = 3.0  # configApplyMs
CHECKED_S = 6.0
GAP_S = 0.1  # between requests to one gateway


def routes(world, service, timeout_ms=6000):
    """Return the routes of a version."""
    certs = world.route('r-certs', '/certs/', service, timeoutMs=timeout_ms)
    return [certs, world.route('r-desk', '/desk/', MOVED)]


async def send_for(world, seconds):
    """Send requests to all gateways for a while; return gateways and results."""
    end = time.monotonic() + seconds
    results = []
    while time.monotonic() < end:
        pause = asyncio.sleep(GAP_S)
        sent = [world.send(gateway, '/certs/1') for gateway in world.gateways]
        desk = [world.send(gateway, '/desk/1') for gateway in world.gateways]
        answers = await asyncio.gather(*sent, *desk)
        results.extend(zip(world.gateways, answers, strict=False))
        await pause
    return results


async def start(world):
    """Start backends and gateways; the moved service has two versions."""
    for service in (OLD, NEW, MOVED):
        for number, zone in enumerate(ZONES, start=1):
            await world.add_backend(service, number, zone=zone)
    for number, zone in enumerate(ZONES, start=4):
        await world.add_backend(MOVED, number, zone=zone, version='v2')
    world.configure(3, routes(world, OLD), (OLD, NEW, MOVED))
    await world.add_gateways(ZONES)


async def wait_for_steps(world, revision):
    """Send requests until the system has written steps of the move."""
    end = time.monotonic() + LOST_MAX_S
    while world.store.revision < revision:
        if time.monotonic() > end:
            raise CannotRunError('the system has not written the steps of the move')
        await send_for(world, 0.5)


async def case(world):
    """Return how the rule was broken."""
    await start(world)
    await send_for(world, 3)
    order = {'service': MOVED, 'targetVersion': 'v2', 'durationS': ORDER_S}
    world.store.put(f'op/rollout/{MOVED}', json.dumps(order).encode())
    copy = world.store.copy()
    await wait_for_steps(world, copy.revision + LOST_STEPS)
    last = routes(world, OLD, timeout_ms=5900)
    world.configure(5, last, (OLD, NEW, MOVED))
    await send_for(world, 1)

    if world.trouble:
        world.store.go_down()
        await send_for(world, DOWN_S)
        world.store.restore(copy)
        world.store.come_back()
        world.configure(5, last, (OLD, NEW, MOVED))
    await send_for(world, STABLE_S + 2)

    world.configure(8, routes(world, NEW), (OLD, NEW, MOVED))
    await send_for(world, APPLY_S + 0.5)
    results = await send_for(world, CHECKED_S)
    return list(find_broken(world, results))


def find_broken(world, results):
    """Yield a line for each machine that acts by an older version."""
    for gateway in world.gateways:
        of_gateway = [result for by, result in results if by is gateway]
        stale = sum(is_by(result, OLD) for result in of_gateway)
        fresh = sum(is_by(result, NEW) for result in of_gateway)
        world.note(f'{gateway.node}: {stale} by {OLD}, {fresh} by {NEW}')
        if stale:
            yield (
                f'CONFIG: {gateway.node} had {stale} of {len(of_gateway)} requests'
                f' run by {OLD} later than configApplyMs after version 8'
            )


def is_by(result, service):
    """Return whether a backend of a service gave the success."""
    signature = result.headers.get('response-signature', '')
    return result.status == 200 and signature.startswith(f'i-{service}-')


main(FOLDER, case)
