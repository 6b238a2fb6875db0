"""Version moves during planned work and faults of both versions, on real gateways."""

import asyncio
import signal
from dataclasses import replace

import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.test_gateway_exposure import (
    BAD,
    check_rolled_back,
    run_move_during,
)
from tests.processes.test_gateway_moves import (
    CALLERS,
    EXPOSED_SHARE,
    GATEWAYS,
    MOVE_DURATION_S,
    SLACK_S,
    WORK_MS,
    cancel_callers,
    check_completed,
    put_move_request,
    run_move,
    set_faults,
)

pytestmark = pytest.mark.processes

DISTURBED_S = 3
STEP_S = 0.5
DOWNTIME_S = 1.5
BURST_CALLERS = 3 * CALLERS
LOST_GATEWAY = GATEWAYS[-1]
ADDED_GATEWAY = 5


def deregister(scenario, server):
    """Delete a server's registration."""
    scenario.world.store.delete(f'servers/{server.name}')


async def replace_server(scenario, server, version):
    """Start a server that replaces another, with the same faults."""
    name = f'{server.name}-next'
    successor = await scenario.server(name, version)
    successor.faults = replace(server.faults)
    return successor


async def wait_new_version_serves(scenario):
    """Wait until the new version has run a request."""
    await scenario.wait_until(lambda: scenario.ran(scenario.new), MOVE_DURATION_S)


async def replace_old(scenario):
    """Replace the old servers one by one; each drains while its successor runs."""
    for server in tuple(scenario.old):
        scenario.old.append(await replace_server(scenario, server, 'v1'))
        draining = server.entry(state='draining', sequence=2)
        scenario.world.store.put(f'servers/{server.name}', draining)
        await asyncio.sleep(STEP_S)
        deregister(scenario, server)
        await server.close()


async def restart_old_cold(scenario):
    """Stop the old servers; later start cold replacements all at once."""
    stopped = tuple(scenario.old)
    for server in stopped:
        await server.close()
    await asyncio.sleep(DOWNTIME_S)
    for server in stopped:
        deregister(scenario, server)
        name = f'{server.name}-cold'
        cold = await scenario.server(name, 'v1', coldRemainingMs=4000)
        scenario.old.append(cold)


async def evacuate_old(scenario):
    """Evacuate the zone of all old servers for a while."""
    scenario.world.store.put('op/evacuate/de', b'{}')
    await asyncio.sleep(DISTURBED_S)
    scenario.world.store.delete('op/evacuate/de')


async def send_burst(scenario):
    """Send four times as many requests for a while."""
    loop = asyncio.get_running_loop()
    callers = [
        loop.create_task(scenario.send_requests(idx))
        for idx in range(CALLERS, CALLERS + BURST_CALLERS)
    ]
    await asyncio.sleep(DISTURBED_S)
    await cancel_callers(callers)


async def reset_connections_repeatedly(scenario):
    """Reset the connections of both versions repeatedly."""
    for _ in range(int(DISTURBED_S / STEP_S)):
        await asyncio.sleep(STEP_S)
        for server in (*scenario.old, *scenario.new):
            server.reset_connections()


async def reload_settings(scenario):
    """Send SIGHUP to each gateway in turn, so that it reads its settings again."""
    for number in GATEWAYS:
        await asyncio.sleep(STEP_S)
        scenario.world.processes[number].send_signal(signal.SIGHUP)


async def lose_zone(scenario):
    """Stop a gateway and a server of each version; restart them together."""
    await wait_new_version_serves(scenario)
    lost = ((scenario.old, 'v1'), (scenario.new, 'v2'))
    scenario.world.processes[LOST_GATEWAY].kill()
    for servers, _ in lost:
        await servers[0].close()
    await scenario.world.processes[LOST_GATEWAY].wait()
    await asyncio.sleep(DOWNTIME_S)
    await scenario.world.gateway(LOST_GATEWAY, f'{HOST_PREFIX}.2:18102')
    for servers, version in lost:
        deregister(scenario, servers[0])
        servers.append(await replace_server(scenario, servers[0], version))


async def add_gateway(scenario):
    """Add a gateway, which gets requests at once."""
    await wait_new_version_serves(scenario)
    await scenario.world.gateway(ADDED_GATEWAY, f'{HOST_PREFIX}.2:18102')


DISTURBANCES = (
    replace_old,
    restart_old_cold,
    evacuate_old,
    send_burst,
    reset_connections_repeatedly,
    reload_settings,
    lose_zone,
    add_gateway,
)


@pytest.mark.parametrize('disturb', DISTURBANCES)
@pytest.mark.parametrize('new', BAD)
def test_bad_version_is_rolled_back_during_planned_work(tmp_path, new, disturb):
    run_move_during(tmp_path, disturb, check_rolled_back, 'fr', **BAD[new])


@pytest.mark.parametrize('disturb', DISTURBANCES)
def test_good_version_completes_during_the_same_work(tmp_path, disturb):
    run_move_during(tmp_path, disturb, check_completed, 'fr')


@pytest.mark.parametrize('disturb', [restart_old_cold, evacuate_old])
def test_new_version_keeps_its_share_while_all_old_servers_are_out(tmp_path, disturb):
    async def check_share(scenario):
        sent = len(scenario.statuses)
        await asyncio.sleep(DOWNTIME_S)
        exposed = scenario.ran(scenario.new)
        total = len(scenario.statuses) - sent
        assert exposed <= EXPOSED_SHARE * total

    run_move_during(tmp_path, disturb, check_share, 'fr')


@pytest.mark.parametrize('bad', BAD)
def test_bad_version_does_not_affect_the_move_of_another_service(tmp_path, bad):
    async def script(scenario):
        loop = asyncio.get_running_loop()
        searching = loop.create_task(scenario.send_requests(CALLERS, '/wide/x'))
        scenario.callers.append(searching)
        set_faults([scenario.world.backends['s0']], delay_ms=WORK_MS)
        good = await scenario.server('s0-next', 'v2', service='s0')
        put_move_request(scenario.world, 'v2', service='s0')
        await scenario.request_move(**BAD[bad])
        await check_rolled_back(scenario)
        await scenario.wait_until(
            lambda: scenario.state('s0') == 'completed', MOVE_DURATION_S + SLACK_S
        )
        assert good.ran

    run_move(tmp_path, script)
