"""Servers that leave or ask for a pause, on real gateways beside faults."""

import asyncio
import itertools
import signal
import time
from collections import Counter

import pytest

from cowsliploom.dataplane import HttpAnswer
from cowsliploom.standins import FakeBackendServer
from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import ask, configuration, run_script

pytestmark = pytest.mark.processes

GATEWAYS = (2, 3)
CLIENTS = 12  # of each gateway
LIGHT_CLIENTS = 2
LOAD_S = 3.0
SETTLE_S = 0.5  # after a server's word, for calls that were on their way
ALLOWED_AFTER_PAUSE = 2
WORK_MS = 20
REQUESTS = 6
AT_ONCE_S = 0.1
LONGEST_RETRY_S = 1.4  # the shortest pause, with what spreads the callers


class Recorder(FakeBackendServer):
    """Server that keeps when each request of a gateway came, and what it was told."""

    def __init__(self, name, service):
        super().__init__(name, service, b'x')
        self.arrivals = []
        self.told = {}
        self.pauses = []

    def _dispatch(self, request):
        headers = {name.lower(): text for name, text in request.headers}
        gateway = headers['request-id'].partition('-')[0]
        now_s = time.monotonic()
        self.arrivals.append((gateway, now_s))
        if self.faults.sheds and self.faults.pause_text:
            until_s = now_s + float(self.faults.pause_text)
            self.pauses.append((gateway, now_s, until_s))
        super()._dispatch(request)

    async def _answer(self, request, request_id):
        await super()._answer(request, request_id)
        if self.faults.is_leaving:
            self.told.setdefault(request_id.partition('-')[0], time.monotonic())

    def late_after_leaving(self):
        """Return the requests of each gateway that came after it had been told."""
        return Counter(
            gateway
            for gateway, at_s in self.arrivals
            if at_s > self.told.get(gateway, float('inf')) + SETTLE_S
        )

    def most_in_a_pause(self):
        """Return the most requests of a gateway in the later part of a pause."""
        return max(
            (
                sum(
                    gateway == asker and since_s + SETTLE_S < at_s < until_s
                    for asker, at_s in self.arrivals
                )
                for gateway, since_s, until_s in self.pauses
            ),
            default=0,
        )


async def start(world, count=3):
    """Start gateways and servers of the service ``one``."""
    servers = [Recorder(f'i-r{number}', 'one') for number in range(count)]
    world.store.delete('servers/i-one')
    for server in servers:
        server.faults.delay_ms = WORK_MS
        await server.start()
        world.backends[server.name] = server
        world.store.put(f'servers/{server.name}', server.entry())
    for number in GATEWAYS:
        await world.gateway(number, f'{HOST_PREFIX}.2:18102')
    for number in GATEWAYS:
        await world.ready(number)
    return servers


async def load(seconds, clients=CLIENTS, path='/single/x'):
    """Let clients ask all gateways one request after the other; return the statuses."""
    end_s = time.monotonic() + seconds
    numbers = itertools.count()
    statuses = Counter()

    async def run(gateway):
        while time.monotonic() < end_s:
            request_id = f'g{gateway}-{next(numbers)}'
            address = f'{HOST_PREFIX}.{gateway}:18100'
            answer = await ask(address, path, request_id=request_id)
            is_answer = isinstance(answer, HttpAnswer)
            statuses[answer.status if is_answer else 0] += 1

    await asyncio.gather(
        *(run(gateway) for gateway in GATEWAYS for _ in range(clients))
    )
    return statuses


def most_used(servers):
    """Return the server that has had most requests."""
    return max(servers, key=lambda server: len(server.arrivals))


async def do_nothing(world):
    """Leave the world as it is."""


async def silence_store(world):
    """Let the store answer nothing."""
    world.store.faults.is_silent = True


async def reload(world):
    """Let all gateways read their settings again."""
    for process in world.processes.values():
        process.send_signal(signal.SIGHUP)


async def refresh_registrations(world):
    """Write all registrations again, and a newer configuration."""
    for server in world.backends.values():
        world.store.put(f'servers/{server.name}', server.entry(sequence=2))
    world.store.put('op/config', configuration(4))


async def lose_history(world):
    """Let a registration lapse and return, as after an outage."""
    for server in world.backends.values():
        if isinstance(server, Recorder):
            world.store.delete(f'servers/{server.name}')
    await asyncio.sleep(SETTLE_S)
    await refresh_registrations(world)


DISTURBANCES = {
    'calm': do_nothing,
    'store-silent': silence_store,
    'reload': reload,
    'registered-again': refresh_registrations,
    'lapsed': lose_history,
}


@pytest.mark.parametrize('clients', [LIGHT_CLIENTS, CLIENTS])
@pytest.mark.parametrize('disturbance', DISTURBANCES)
def test_server_that_says_it_leaves_gets_no_more_requests(
    tmp_path, disturbance, clients
):
    """Guard against requests at a leaving server whose registration says ready."""

    async def script(world):
        servers = await start(world)
        loading = asyncio.create_task(load(LOAD_S, clients))
        await asyncio.sleep(LOAD_S / 6)
        first = most_used(servers)
        first.faults.is_leaving = True
        await asyncio.sleep(LOAD_S / 6)
        await DISTURBANCES[disturbance](world)
        statuses = await loading
        assert first.told
        assert not first.late_after_leaving()
        assert statuses[200] > sum(statuses.values()) / 2

    run_script(tmp_path, script)


def test_new_start_of_a_leaving_server_is_used_again(tmp_path):
    async def script(world):
        servers = await start(world, count=1)
        servers[0].faults.is_leaving = True
        await load(SETTLE_S, LIGHT_CLIENTS)
        refused = await load(SETTLE_S, LIGHT_CLIENTS)
        assert set(refused) == {503}
        servers[0].faults.is_leaving = False
        world.store.put('servers/i-r0', servers[0].entry(born=1, sequence=1))
        await asyncio.sleep(2 * SETTLE_S)
        assert set(await load(SETTLE_S, LIGHT_CLIENTS)) == {200}

    run_script(tmp_path, script)


@pytest.mark.parametrize('pause_text', ['1', '2.5'])
@pytest.mark.parametrize('clients', [LIGHT_CLIENTS, CLIENTS])
@pytest.mark.parametrize('disturbance', ['calm', 'store-silent', 'lapsed'])
def test_server_that_asks_for_a_pause_is_left_alone(
    tmp_path, disturbance, clients, pause_text
):
    """Guard against requests at an overloaded server that asked for a pause."""

    async def script(world):
        servers = await start(world)
        loading = asyncio.create_task(load(LOAD_S + 1, clients))
        await asyncio.sleep(LOAD_S / 6)
        first = most_used(servers)
        first.faults.pause_text = pause_text
        first.faults.sheds = True
        await asyncio.sleep(SETTLE_S)
        await DISTURBANCES[disturbance](world)
        statuses = await loading
        assert first.pauses
        assert first.most_in_a_pause() <= ALLOWED_AFTER_PAUSE
        assert statuses[200] > sum(statuses.values()) / 2

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
