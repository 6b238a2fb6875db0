"""Servers that ask for a pause are left alone by real gateways beside faults."""

import asyncio
import time

import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import ask, run_script
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

LONGEST_RETRY_S = 1.4  # the shortest pause, with what spreads the callers
AT_ONCE_S = 0.1
REQUESTS = 6
ALLOWED_AFTER_PAUSE = 2


@pytest.mark.parametrize(
    ('disturbance', 'pause_text', 'clients'),
    [
        ('calm', '0.2', LIGHT_CLIENTS),
        ('calm', '2.5', LIGHT_CLIENTS),
        ('calm', '0.2', CLIENTS),
        ('calm', '1', CLIENTS),
        ('calm', '2.5', CLIENTS),
        ('calm', '10', CLIENTS),
        ('store-silent', '1', CLIENTS),
        ('store-silent', '2.5', CLIENTS),
        ('lapsed', '1', CLIENTS),
        ('lapsed', '2.5', CLIENTS),
        ('reload', '2.5', CLIENTS),
        ('gateway-killed', '2.5', CLIENTS),
        ('gateway-frozen', '2.5', CLIENTS),
        ('version-move', '2.5', CLIENTS),
    ],
)
def test_server_that_asks_for_a_pause_is_left_alone(
    tmp_path, disturbance, clients, pause_text
):
    """Guard against requests at an overloaded server that asked for a pause."""

    async def script(world):
        servers = await start(world)
        loading = asyncio.create_task(apply_load(LOAD_S + 1, clients))
        await asyncio.sleep(LOAD_S / 6)
        first = most_used(servers)
        first.faults.pause_text = pause_text
        first.faults.sheds = True
        await asyncio.sleep(SETTLE_S)
        await DISTURBANCES[disturbance](world)
        statuses = await loading
        assert first.pauses
        assert first.most_in_a_pause(SETTLE_S) <= ALLOWED_AFTER_PAUSE
        check_served(statuses, disturbance)

    run_script(tmp_path, script)


def test_request_is_refused_at_once_while_all_servers_ask_for_a_pause(tmp_path):
    async def script(world):
        servers = await start(world)
        for server, pause_text in zip(servers, ('5', '0.9', '3')):
            server.faults.sheds = True
            server.faults.pause_text = pause_text
        address = f'{HOST_PREFIX}.2:18100'
        for number in range(REQUESTS):
            sent_s = time.monotonic()
            answer = await ask(address, '/single/x', request_id=f'g2-{number}')
        headers = {name.lower(): text for name, text in answer.headers}
        assert answer.status == 503
        assert time.monotonic() - sent_s < AT_ONCE_S
        assert float(headers['retry-after']) < LONGEST_RETRY_S
        assert sum(len(server.arrivals) for server in servers) <= REQUESTS

    run_script(tmp_path, script)
