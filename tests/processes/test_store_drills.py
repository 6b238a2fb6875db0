"""A store that comes back from an older copy, beside real gateway processes."""

import asyncio

import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import ask, configuration, run_script
from tests.processes.test_gateway_moves import (
    GATEWAYS,
    MOVE_DURATION_S,
    ROLLBACK_S,
    SLACK_S,
    check_completed,
    put_move_request,
    run_move,
    set_faults,
)

pytestmark = pytest.mark.processes

DOWN_S = 0.5
APPLY_S = 3


async def drill(world, copy):
    """Take the store down and let it come back from a copy."""
    world.store.faults.status = 503
    await asyncio.sleep(DOWN_S)
    world.store.restore(copy)
    world.store.faults.status = 0


async def served(path, tag):
    """Return the statuses of a request at each gateway."""
    addresses = [f'{HOST_PREFIX}.{number}:18100' for number in GATEWAYS]
    answers = [await ask(each, path, request_id=f'{tag}-{each}') for each in addresses]
    return {getattr(answer, 'status', 0) for answer in answers}


@pytest.mark.parametrize('writes_between', [0, 40], ids=['gone', 'passed'])
def test_version_after_a_drill_is_in_force_at_all_gateways(tmp_path, writes_between):
    """Guard against a version that is dropped, as a lost one had a higher revision."""

    async def script(world):
        for number in GATEWAYS:
            await world.gateway(number, f'{HOST_PREFIX}.2:18102')
        for number in GATEWAYS:
            await world.ready(number)
        copy = world.store.copy()
        for version in range(4, 24):
            world.store.put('op/config', configuration(version))
        await asyncio.sleep(APPLY_S)
        await drill(world, copy)
        world.store.put('op/config', configuration(24, routes=[]))
        entry = world.backends['one'].entry()
        for _ in range(writes_between):
            world.store.put('servers/i-one', entry)
        await asyncio.sleep(APPLY_S)
        assert await served('/single/x', 'after') == {404}, world.logs()

    run_script(tmp_path, script)


@pytest.mark.parametrize('is_completed', [False, True])
def test_move_whose_steps_were_lost_is_completed(tmp_path, is_completed):
    """Guard against a move that stands still after a drill, or begins anew."""

    async def script(scenario):
        put_move_request(scenario.world, 'v2')
        copy = scenario.world.store.copy()
        await scenario.request_move()
        if is_completed:
            await check_completed(scenario)
        else:
            await asyncio.sleep(MOVE_DURATION_S / 4)
            assert scenario.state() == 'running'
        await drill(scenario.world, copy)
        for server in scenario.new:
            entry = server.entry(version='v2')
            scenario.world.store.put(f'servers/{server.name}', entry)
        if is_completed:
            await scenario.wait_until(lambda: scenario.state() == 'completed', SLACK_S)
        await check_completed(scenario)
        assert set(scenario.statuses) == {200}

    run_move(tmp_path, script)


def test_version_that_was_rolled_back_gets_nothing_after_a_drill(tmp_path):
    """Guard against a bad version that is tried again, as its end was lost."""

    async def script(scenario):
        put_move_request(scenario.world, 'v2')
        copy = scenario.world.store.copy()
        await scenario.request_move(status=500)
        await scenario.wait_until(
            lambda: scenario.state() == 'rolled_back', MOVE_DURATION_S + SLACK_S
        )
        await asyncio.sleep(1)
        exposed = scenario.ran(scenario.new)
        await drill(scenario.world, copy)
        for server in scenario.new:
            entry = server.entry(version='v2')
            scenario.world.store.put(f'servers/{server.name}', entry)
        set_faults(scenario.new, status=0)
        await scenario.wait_until(lambda: scenario.state() == 'rolled_back', ROLLBACK_S)
        await asyncio.sleep(MOVE_DURATION_S)
        assert scenario.ran(scenario.new) == exposed

    run_move(tmp_path, script)
