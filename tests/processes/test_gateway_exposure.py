"""Version moves during faults of old servers, gateways and store, on real processes."""

import asyncio
import signal

import msgspec
import pytest

from tests.processes.test_gateway_moves import (
    EXPOSED_SHARE,
    EXPOSED_SLACK,
    GATEWAYS,
    MOVE_DURATION_S,
    WORK_MS,
    check_completed,
    controller,
    kill_controller,
    put_move_request,
    run_move,
    set_faults,
)

pytestmark = pytest.mark.processes

DISTURBED_S = 3
LOAD_BUILDS_S = 0.5
ENDED = {'completed', 'rolled_back'}
BAD = {'fails': {'status': 500}, 'slow': {'delay_ms': 150}}


async def fail_old(scenario):
    """Make one of the two old servers fail for a while."""
    scenario.old[0].faults.status = 500
    await asyncio.sleep(DISTURBED_S)
    scenario.old[0].faults.status = 200


async def slow_old(scenario):
    """Slow the old servers for a while."""
    set_faults(scenario.old, delay_ms=150)
    await asyncio.sleep(DISTURBED_S)
    set_faults(scenario.old, delay_ms=WORK_MS)


async def lose_controller(scenario):
    """Kill the gateway that controls the move."""
    kill_controller(scenario)


async def silence_store(scenario):
    """Make the store unresponsive for a while."""
    scenario.world.store.faults.is_silent = True
    await asyncio.sleep(DISTURBED_S / 2)
    scenario.world.store.faults.is_silent = False


DISTURBANCES = (fail_old, slow_old, lose_controller, silence_store)


async def check_rolled_back(scenario):
    """Wait for the rollback; check the exposure bound, and no requests afterwards."""
    before = scenario.ran(scenario.old)
    await scenario.wait_until(
        lambda: scenario.state() == 'rolled_back', MOVE_DURATION_S + 3
    )
    exposed = scenario.ran(scenario.new)
    total = exposed + scenario.ran(scenario.old) - before
    assert exposed <= EXPOSED_SHARE * total + EXPOSED_SLACK
    await asyncio.sleep(1)
    assert scenario.ran(scenario.new) == exposed


def run_move_during(folder, disturb, check, new_zone='de', **faults):
    """Move to a new version with faults during a disturbance, and check the result."""

    async def script(scenario):
        scenario.new_zone = new_zone
        disturbing = asyncio.create_task(disturb(scenario))
        await scenario.request_move(**faults)
        await asyncio.gather(check(scenario), disturbing)

    run_move(folder, script)


@pytest.mark.parametrize('disturb', DISTURBANCES)
@pytest.mark.parametrize('new', BAD)
def test_bad_version_is_rolled_back_during_disturbance(tmp_path, new, disturb):
    run_move_during(tmp_path, disturb, check_rolled_back, **BAD[new])


@pytest.mark.parametrize('disturb', DISTURBANCES)
def test_good_version_completes_during_the_same_disturbance(tmp_path, disturb):
    run_move_during(tmp_path, disturb, check_completed)


def request_third_version(world):
    """Request a move to a version without servers."""
    put_move_request(world, 'v3')


def delete_request(world):
    """Delete the move request."""
    world.store.delete('op/rollout/one')


def repeat_request(world):
    """Request the same version once more."""
    put_move_request(world, 'v2')


@pytest.mark.parametrize(
    'change_request', [request_third_version, delete_request, repeat_request]
)
def test_rolled_back_version_gets_no_requests_after_request_changes(
    tmp_path, change_request
):
    async def script(scenario):
        await scenario.request_move(status=500)
        await check_rolled_back(scenario)
        exposed = scenario.ran(scenario.new)
        change_request(scenario.world)
        await asyncio.sleep(2)
        assert scenario.ran(scenario.new) == exposed
        scenario.world.processes[GATEWAYS[1]].kill()
        await scenario.world.processes[GATEWAYS[1]].wait()
        await scenario.world.gateway(GATEWAYS[1], '')
        await scenario.world.ready(GATEWAYS[1])
        await asyncio.sleep(1)
        assert scenario.ran(scenario.new) == exposed

    run_move(tmp_path, script)


def stored_move(scenario):
    """Return the stored state of the move, as a mapping; empty if there is none."""
    text = scenario.world.store.get('moves/one')
    return msgspec.json.decode(text) if text else {}


async def freeze_controller(scenario, step, for_s):
    """Stop the controller's process for a while once the move has reached a step."""
    await scenario.wait_until(
        lambda: stored_move(scenario).get('step', 0) >= step, MOVE_DURATION_S
    )
    process = scenario.world.processes[controller(scenario)]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    process.send_signal(signal.SIGCONT)


async def fail_at_full_share(scenario):
    """Let the new version fail once the load of all requests has built up."""
    await scenario.wait_until(
        lambda: stored_move(scenario).get('share', 0) >= 1, 3 * MOVE_DURATION_S
    )
    await asyncio.sleep(LOAD_BUILDS_S)
    set_faults(scenario.new, status=500)


@pytest.mark.parametrize(('step', 'for_s'), [(3, 3.5), (6, 3.5), (7, 2), (8, 3.5)])
def test_woken_controller_does_not_complete_a_version_that_fails_at_full_share(
    tmp_path, step, for_s
):
    """A woken controller rushed the overdue steps and stopped the good servers."""

    async def script(scenario):
        await scenario.request_move()
        failing = asyncio.create_task(fail_at_full_share(scenario))
        freezing = asyncio.create_task(freeze_controller(scenario, step, for_s))
        states = set()
        await scenario.wait_until(
            lambda: states.add(scenario.state()) or states & ENDED, 3 * MOVE_DURATION_S
        )
        await asyncio.gather(failing, freezing)
        assert states & ENDED == {'rolled_back'}, scenario.world.logs()

    run_move(tmp_path, script)


@pytest.mark.parametrize('step', [3, 7])
def test_good_version_completes_after_its_controller_was_frozen(tmp_path, step):
    async def script(scenario):
        await scenario.request_move()
        freezing = asyncio.create_task(freeze_controller(scenario, step, 3.5))
        await scenario.wait_until(
            lambda: scenario.state() == 'completed', 3 * MOVE_DURATION_S
        )
        await freezing

    run_move(tmp_path, script)
