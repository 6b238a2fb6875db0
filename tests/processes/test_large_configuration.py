"""A new version of a large configuration is in force on all gateways in time."""

import asyncio
import contextlib
import random
import string
import time
from functools import partial

import msgspec
import pytest

from cowsliploom.members import Member, chosen_watchers
from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import ask, configuration, run_script, start_gateway
from tests.processes.relay import Relay
from tests.processes.weak_links import PEERS_PORT, WeakLinks

pytestmark = pytest.mark.processes

APPLY_MS = 3000  # the default of bounds.configApplyMs
MS_PER_S = 1000
NUMBERS = tuple(range(2, 10))
DISCOVERY_S = 20
NEW_VERSION = 5
NO_ROUTE = 404


def host_of(number):
    """Return the host of a gateway."""
    return f'{HOST_PREFIX}.{number}'


def peers_address(number):
    """Return the peer address that a gateway announces."""
    return f'{host_of(number)}:{PEERS_PORT}'


def large_configuration(version, more_routes, *names):
    """Return a configuration with additional routes, and a route for each name."""
    generator = random.Random(1)
    plain = msgspec.json.decode(configuration(version))
    for number in range(more_routes):
        prefix = ''.join(generator.choices(string.ascii_lowercase, k=8))
        host = f'dera{number % 100}.example'
        plain['routes'].append(
            make_route(f'{host}-{prefix}-{number}', host, f'/{prefix}/')
        )
    plain['routes'].extend(make_route(name, 'h', f'/{name}/') for name in names)
    return msgspec.json.encode(plain)


def make_route(name, host, prefix):
    """Return a route with all fields, to the service ``one``."""
    return {
        'name': name,
        'host': host,
        'prefix': prefix,
        'kind': 'safe',
        'timeoutMs': 1500,
        'targetLatencyMs': 500,
        'priority': 2,
        'maxAttempts': 2,
        'service': 'one',
    }


def watcher_number(numbers=NUMBERS):
    """Return the number of the gateway that watches the store for all."""
    fleet = tuple(
        Member(f'vm-{number}', peers_address(number), 'de') for number in numbers
    )
    watchers = chosen_watchers(fleet, 'de', 1)
    return int(watchers[0].removeprefix('vm-'))


async def wait_until(is_met, limit_s):
    """Wait for a condition; return whether it was met in time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if is_met():
            return True
        await asyncio.sleep(0.05)
    return is_met()


class LinkedFleet:
    """Gateways that are connected by slow links; only one of them reaches the store."""

    def __init__(self, world, mbit_per_s):
        self.world = world
        self.mbit_per_s = mbit_per_s
        self.store_of_others = Relay(world.store.address)

    @contextlib.asynccontextmanager
    async def started(self):
        """Start links and gateways; yield once only the watcher reaches the store."""
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self.store_of_others)
            links = WeakLinks(host_of, NUMBERS, self.mbit_per_s)
            await stack.enter_async_context(links)
            for number in NUMBERS:
                await self.start(number)
            for number in NUMBERS:
                await self.world.ready(number)
            assert await wait_until(self.know_each_other, DISCOVERY_S), (
                self.world.logs()
            )
            self.store_of_others.cut()
            yield self

    async def start(self, number):
        """Start a gateway."""
        store = self.world.store.address
        if number != watcher_number():
            store = self.store_of_others.address
        self.world.processes[number] = await start_gateway(
            self.world.folder,
            number,
            store,
            peers_address(NUMBERS[0]),
            module='tests.processes.linked_gateway',
        )

    def log(self, number):
        """Return the log of a gateway."""
        return (self.world.folder / f'vm-{number}.log').read_text()

    def know_each_other(self, numbers=NUMBERS):
        """Tell whether all gateways know each other."""
        line = f'"event":"changed","live":{len(numbers)},'
        return all(line in self.log(number) for number in numbers)

    def lacking(self, version, numbers=NUMBERS):
        """Return the gateways that have not applied a version."""
        line = f'"event":"taken","version":{version},'
        return [number for number in numbers if line not in self.log(number)]

    async def denying(self, target):
        """Return the gateways that answer 404 to a request."""
        answers = await asyncio.gather(
            *(ask(f'{host_of(number)}:18100', target) for number in NUMBERS)
        )
        statuses = {number: answer.status for number, answer in zip(NUMBERS, answers)}
        return [number for number in NUMBERS if statuses[number] == NO_ROUTE]


@pytest.mark.parametrize(
    ('more_routes', 'mbit_per_s'),
    [(0, 5), (1400, 100), (1400, 36), (1400, 18), (1000, 18)],
)
def test_route_added_to_large_configuration_is_served_in_time(
    tmp_path, more_routes, mbit_per_s
):
    """Guard against a 404 for a valid request seconds after the route was stored."""

    async def script(world):
        world.store.put('op/config', large_configuration(4, more_routes))
        async with LinkedFleet(world, mbit_per_s).started() as fleet:
            content = large_configuration(NEW_VERSION, more_routes, 'added')
            world.store.put('op/config', content)
            await wait_until(
                lambda: not fleet.lacking(NEW_VERSION), APPLY_MS / MS_PER_S
            )
            late = fleet.lacking(NEW_VERSION)
            denying = await fleet.denying('/added/x')
            seen = f'{len(content)} bytes, late: {late}, denying: {denying}'
            assert not (late or denying), seen

    run_script(tmp_path, script)


def test_version_arrives_while_the_store_rejects_the_watcher(tmp_path):
    """Guard against a rejected watcher that still announces that it watches."""

    async def script(world):
        numbers = NUMBERS[:4]
        watcher = watcher_number(numbers)
        with Relay(world.store.address) as store_of_watcher:
            for number in numbers:
                is_watcher = number == watcher
                world.processes[number] = await start_gateway(
                    world.folder,
                    number,
                    store_of_watcher.address if is_watcher else world.store.address,
                    peers_address(numbers[0]),
                )
            for number in numbers:
                await world.ready(number)
            fleet = LinkedFleet(world, 0)
            assert await wait_until(
                lambda: fleet.know_each_other(numbers), DISCOVERY_S
            ), world.logs()
            store_of_watcher.cut()
            await asyncio.sleep(1)  # an open watch receives nothing
            world.store.put('op/config', large_configuration(NEW_VERSION, 0, 'added'))
            late = partial(fleet.lacking, NEW_VERSION, numbers)
            await wait_until(lambda: not late(), APPLY_MS / MS_PER_S)
            assert not late(), world.logs()

    run_script(tmp_path, script)
