"""A gateway bounds its memory and descriptors while crowds come, at each listener.

The limits of the settings are low, so that a small crowd exceeds them. Nothing here
depends on the speed of the machine. ``CROWD_TIMES=10`` makes all crowds ten times as
large.
"""

import asyncio
import os
import random

import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.crowds import (
    CROWDS,
    LATER_CROWDS,
    SERVICES,
    Clients,
    servers_under,
)
from tests.processes.gateway_world import ask, configuration, run_script
from tests.processes.resources import DescriptorSampler, peak_mb

pytestmark = [pytest.mark.processes, pytest.mark.crowds]

MEMORY_MB = 64  # of the settings; an idle gateway takes half of it
FDS_MAX = 300  # of the settings
TIMES = int(os.environ.get('CROWD_TIMES', '1'))
SETTLE_S = 2.0
ORDINARY_TRIES = 20
RETRY_S = 0.5
LIMITS = (f'limits.memoryMb={MEMORY_MB}', f'limits.maxFds={FDS_MAX}')
PATIENT = {'headerTimeoutMs': 60_000, 'idleTimeoutMs': 60_000}
ROOMY = [{'name': name, 'maxConnections': 600} for name in SERVICES]
ORDERS = {'together': True, 'in turn': False}
ALL_CROWDS = {**CROWDS, **LATER_CROWDS}


async def start(world):
    """Start a gateway with low limits, and servers that bear many connections."""
    await world.add_many()
    world.store.put('op/config', configuration(4, limits=PATIENT, services=ROOMY))
    process = await world.gateway(2, lines=LIMITS)
    await world.ready(2)
    return process


async def ordinary_status():
    """Return the status of an ordinary request; callers try some times."""
    status = None
    for attempt in range(ORDINARY_TRIES):
        answer = await ask(
            f'{HOST_PREFIX}.2:18100', '/wide/x', request_id=f'o-{attempt}'
        )
        status = getattr(answer, 'status', repr(answer))
        if status == 200:
            break
        await asyncio.sleep(RETRY_S)
    return status


async def endure(world, process, names, together):
    """Let crowds come one after the other, and check the bounds all the while."""
    with Clients(f'{HOST_PREFIX}.2') as clients, DescriptorSampler(process) as sampler:
        for name in names:
            with servers_under(world, ALL_CROWDS[name]):
                await clients.come(ALL_CROWDS[name], TIMES, together)
                await asyncio.sleep(SETTLE_S)
            assert process.returncode is None, name
            peaks = {'crowd': name, 'mb': peak_mb(process), 'fds': sampler.peak}
            assert peaks['mb'] <= MEMORY_MB, peaks
            assert peaks['fds'] <= FDS_MAX, peaks
        assert await ordinary_status() == 200
    assert process.returncode is None


@pytest.mark.parametrize('order', ORDERS)
@pytest.mark.parametrize('name', ALL_CROWDS)
def test_gateway_stays_within_its_limits_and_serves_others(tmp_path, name, order):
    async def script(world):
        process = await start(world)
        await endure(world, process, [name], ORDERS[order])

    run_script(tmp_path, script)


@pytest.mark.parametrize('seed', range(3))
def test_gateway_endures_one_crowd_after_another(tmp_path, seed):
    names = random.Random(seed).sample(sorted(CROWDS), 6)

    async def script(world):
        process = await start(world)
        await endure(world, process, names, together=bool(seed % 2))

    run_script(tmp_path, script)
