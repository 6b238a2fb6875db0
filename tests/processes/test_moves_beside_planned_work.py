"""Version moves beside planned work and troubles of both versions, on real gateways."""

import asyncio
import signal
from dataclasses import replace

import pytest

from tests.processes.gateway_world import HOST_PREFIX
from tests.processes.test_gateway_exposure import BAD, is_kept, play_beside
from tests.processes.test_gateway_moves import (
    CALLERS,
    EXPOSED_SHARE,
    GATEWAYS,
    GIVEN_S,
    SLACK_S,
    WORK_MS,
    is_moved,
    play_move,
    put_order,
    set_faults,
    stop,
)

pytestmark = pytest.mark.processes

TROUBLED_S = 3
STEP_S = 0.5
BACK_S = 1.5
BURST_CALLERS = 3 * CALLERS
LOST_GATEWAY = GATEWAYS[-1]
ADDED_GATEWAY = 5


def drop(movement, server):
    """Remove a server's registration."""
    movement.world.store.delete(f'servers/{server.name}')


async def take_place(movement, server, version):
    """Start a server in the place of another one, with the same faults."""
    name = f'{server.name}-next'
    successor = await movement.server(name, version)
    successor.faults = replace(server.faults)
    return successor


async def new_version_serves(movement):
    """Wait until the new version has had a call."""
    await movement.until(lambda: movement.ran(movement.new), GIVEN_S)


async def old_released(movement):
    """Replace the old servers, one by one; each drains beside its successor."""
    for server in tuple(movement.old):
        movement.old.append(await take_place(movement, server, 'v1'))
        draining = server.entry(state='draining', sequence=2)
        movement.world.store.put(f'servers/{server.name}', draining)
        await asyncio.sleep(STEP_S)
        drop(movement, server)
        await server.close()


async def old_return_cold(movement):
    """Lose the old servers, and have others come together, cold."""
    gone = tuple(movement.old)
    for server in gone:
        await server.close()
    await asyncio.sleep(BACK_S)
    for server in gone:
        drop(movement, server)
        name = f'{server.name}-cold'
        cold = await movement.server(name, 'v1', coldRemainingMs=4000)
        movement.old.append(cold)


async def old_evacuated(movement):
    """Ask that nothing be sent to the zone of all old servers, for a while."""
    movement.world.store.put('op/evacuate/de', b'{}')
    await asyncio.sleep(TROUBLED_S)
    movement.world.store.delete('op/evacuate/de')


async def burst(movement):
    """Send four times as many requests for a while."""
    loop = asyncio.get_running_loop()
    callers = [
        loop.create_task(movement.call(idx))
        for idx in range(CALLERS, CALLERS + BURST_CALLERS)
    ]
    await asyncio.sleep(TROUBLED_S)
    await stop(callers)


async def connections_reset(movement):
    """Reset the connections of both versions again and again."""
    for _ in range(int(TROUBLED_S / STEP_S)):
        await asyncio.sleep(STEP_S)
        for server in (*movement.old, *movement.new):
            server.reset_connections()


async def settings_changed(movement):
    """Tell each gateway in turn that its settings have changed."""
    for number in GATEWAYS:
        await asyncio.sleep(STEP_S)
        movement.world.processes[number].send_signal(signal.SIGHUP)


async def zone_lost(movement):
    """Lose a gateway and a server of each version; they come back together."""
    await new_version_serves(movement)
    lost = ((movement.old, 'v1'), (movement.new, 'v2'))
    movement.world.processes[LOST_GATEWAY].kill()
    for servers, _ in lost:
        await servers[0].close()
    await movement.world.processes[LOST_GATEWAY].wait()
    await asyncio.sleep(BACK_S)
    await movement.world.gateway(LOST_GATEWAY, f'{HOST_PREFIX}.2:18102')
    for servers, version in lost:
        drop(movement, servers[0])
        servers.append(await take_place(movement, servers[0], version))


async def gateway_added(movement):
    """Start one more gateway; callers send to it at once."""
    await new_version_serves(movement)
    await movement.world.gateway(ADDED_GATEWAY, f'{HOST_PREFIX}.2:18102')


TROUBLES = (
    old_released,
    old_return_cold,
    old_evacuated,
    burst,
    connections_reset,
    settings_changed,
    zone_lost,
    gateway_added,
)


@pytest.mark.parametrize('trouble', TROUBLES)
@pytest.mark.parametrize('new', BAD)
def test_a_bad_version_goes_beside_planned_work(tmp_path, new, trouble):
    play_beside(tmp_path, trouble, is_kept, 'fr', **BAD[new])


@pytest.mark.parametrize('trouble', TROUBLES)
def test_a_good_version_arrives_beside_the_same_work(tmp_path, trouble):
    play_beside(tmp_path, trouble, is_moved, 'fr')


@pytest.mark.parametrize('trouble', [old_return_cold, old_evacuated])
def test_no_request_falls_to_a_new_version_while_all_old_servers_are_out(
    tmp_path, trouble
):
    async def keeps_share(movement):
        sent = len(movement.statuses)
        await asyncio.sleep(BACK_S)
        exposed = movement.ran(movement.new)
        total = len(movement.statuses) - sent
        assert exposed <= EXPOSED_SHARE * total

    play_beside(tmp_path, trouble, keeps_share, 'fr')


@pytest.mark.parametrize('bad', BAD)
def test_a_bad_version_costs_the_move_of_another_service_nothing(tmp_path, bad):
    async def script(movement):
        loop = asyncio.get_running_loop()
        searching = loop.create_task(movement.call(CALLERS, '/wide/x'))
        movement.callers.append(searching)
        set_faults([movement.world.backends['s0']], delay_ms=WORK_MS)
        good = await movement.server('s0-next', 'v2', service='s0')
        put_order(movement.world, 'v2', service='s0')
        await movement.order(**BAD[bad])
        await is_kept(movement)
        await movement.until(
            lambda: movement.state('s0') == 'completed', GIVEN_S + SLACK_S
        )
        assert good.ran

    play_move(tmp_path, script)
