"""Servers that say they leave get nothing new from real gateways beside faults."""

import asyncio

import pytest

from tests.processes.gateway_world import run_script
from tests.processes.notice_world import (
    CLIENTS,
    DISTURBANCES,
    LIGHT_CLIENTS,
    LOAD_S,
    SETTLE_S,
    check_served,
    apply_load,
    most_used,
    start,
)

pytestmark = pytest.mark.processes


@pytest.mark.parametrize(
    ('disturbance', 'clients'),
    [
        *((disturbance, CLIENTS) for disturbance in DISTURBANCES),
        ('calm', LIGHT_CLIENTS),
        ('store-silent', LIGHT_CLIENTS),
    ],
)
def test_server_that_says_it_leaves_gets_no_more_requests(
    tmp_path, disturbance, clients
):
    """Guard against requests at a leaving server whose registration says ready."""

    async def script(world):
        servers = await start(world)
        loading = asyncio.create_task(apply_load(LOAD_S, clients))
        await asyncio.sleep(LOAD_S / 6)
        first = most_used(servers)
        first.faults.is_leaving = True
        await asyncio.sleep(LOAD_S / 6)
        await DISTURBANCES[disturbance](world)
        statuses = await loading
        assert first.told_s
        assert not first.late_after_leaving(SETTLE_S)
        check_served(statuses, disturbance)

    run_script(tmp_path, script)


def test_new_start_of_a_leaving_server_is_used_again(tmp_path):
    async def script(world):
        servers = await start(world, count=1)
        servers[0].faults.is_leaving = True
        await apply_load(SETTLE_S, LIGHT_CLIENTS)
        refused = await apply_load(SETTLE_S, LIGHT_CLIENTS)
        assert set(refused) == {503}
        servers[0].faults.is_leaving = False
        world.store.put('servers/i-r0', servers[0].entry(born=1, sequence=1))
        await asyncio.sleep(2 * SETTLE_S)
        assert set(await apply_load(SETTLE_S, LIGHT_CLIENTS)) == {200}

    run_script(tmp_path, script)


@pytest.mark.parametrize('is_removed', [False, True])
def test_late_report_of_a_leaving_server_does_not_bring_it_back(tmp_path, is_removed):
    """Guard against a report that the store takes late, taken for a new start."""

    async def script(world):
        servers = await start(world, count=2)
        for server in servers:
            entry = server.entry(born=1, sequence=5)
            world.store.put(f'servers/{server.name}', entry)
        await asyncio.sleep(2 * SETTLE_S)
        leaving = servers[0]
        leaving.faults.is_leaving = True
        loading = asyncio.create_task(apply_load(LOAD_S, LIGHT_CLIENTS))
        await asyncio.sleep(LOAD_S / 4)
        if is_removed:
            world.store.delete(f'servers/{leaving.name}')
            await asyncio.sleep(SETTLE_S)
        late = leaving.entry(born=1, sequence=3)
        world.store.put(f'servers/{leaving.name}', late)
        statuses = await loading
        assert leaving.told_s
        assert not leaving.late_after_leaving(SETTLE_S)
        assert set(statuses) == {200}

    run_script(tmp_path, script)
