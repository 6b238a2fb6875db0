"""Version moves that operators order, on gateways as real processes."""

import asyncio
import time

import msgspec
import pytest

from cowsliploom.members import rank_names
from cowsliploom.standins import FakeBackendServer
from tests.processes.gateway_world import HOST_PREFIX, ask, play

pytestmark = pytest.mark.processes

GATEWAYS = (2, 3, 4)
GIVEN_S = 8
SLACK_S = 3  # the machine may be busy
CALLERS = 6
PAUSE_S = 0.05  # between two requests of a caller
WORK_MS = 20  # of each request; much less is hidden by a busy machine
EXPOSED_SHARE = 0.1
EXPOSED_SLACK = 50
GIVE_UP_S = 5


class Movement:
    """A service with servers of two versions, under load, and an order to move it."""

    def __init__(self, world):
        self.world = world
        self.old = []
        self.new = []
        self.new_zone = 'de'
        self.statuses = []
        self.callers = []

    async def start(self):
        """Start servers, gateways and load, and wait until all is warm."""
        self.old = [self.world.backends['one'], await self.server('one-b', 'v1')]
        set_faults(self.old, delay_ms=WORK_MS)
        for number in GATEWAYS:
            await self.world.gateway(number, f'{HOST_PREFIX}.2:18102')
        for number in GATEWAYS:
            await self.world.ready(number)
        loop = asyncio.get_running_loop()
        self.callers = [loop.create_task(self.call(idx)) for idx in range(CALLERS)]
        await asyncio.sleep(2)

    async def server(self, name, version, service='one', **fields):
        """Start a server of a service."""
        backend = FakeBackendServer(f'i-{name}', service, b'Z' * 16)
        backend.faults.delay_ms = WORK_MS
        await backend.start()
        self.world.backends[name] = backend
        entry = backend.entry(version=version, **fields)
        self.world.store.put(f'servers/{backend.name}', entry)
        return backend

    async def call(self, idx, target='/single/x'):
        """Send requests to all gateways in turn until cancelled."""
        number = 0
        while True:
            number += 1
            gateways = sorted(self.world.processes)
            gateway = gateways[(idx + number) % len(gateways)]
            if self.world.processes[gateway].returncode is None:
                answer = await ask(
                    f'{HOST_PREFIX}.{gateway}:18100',
                    target,
                    request_id=f'r-{idx}-{number}',
                )
                self.statuses.append(getattr(answer, 'status', 0))
            await asyncio.sleep(PAUSE_S)

    async def order(self, **faults):
        """Start servers of the new version, and order the move."""
        put_order(self.world, 'v2')
        self.new = [
            await self.server(f'new-{idx}', 'v2', zone=self.new_zone)
            for idx in range(2)
        ]
        set_faults(self.new, **faults)

    def state(self, service='one'):
        """Return what the operator reads of a move."""
        text = self.world.store.get(f'status/rollout/{service}')
        return msgspec.json.decode(text)['state'] if text else ''

    def ran(self, servers):
        """Return how many requests some servers have run."""
        return sum(len(server.ran) for server in servers)

    async def until(self, is_true, within_s):
        """Wait until something holds."""
        end = time.monotonic() + within_s
        while not is_true():
            assert time.monotonic() < end, self.world.logs()
            await asyncio.sleep(0.05)

    async def __aenter__(self):
        """Start."""
        await self.start()
        return self

    async def __aexit__(self, *_exc):
        """Stop the load."""
        await stop(self.callers)


async def stop(callers):
    """Let callers send nothing more."""
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


def set_faults(servers, **faults):
    """Switch faults of some servers."""
    for server in servers:
        for fault, setting in faults.items():
            setattr(server.faults, fault, setting)


def put_order(world, version, service='one'):
    """Order the move of a service to a version."""
    order = {'service': service, 'targetVersion': version, 'durationS': GIVEN_S}
    world.store.put(f'op/rollout/{service}', msgspec.json.encode(order))


def kill_controller(movement):
    """Kill the gateway that is the controller."""
    names = [f'vm-{number}' for number in GATEWAYS]
    first = rank_names('version-moves', names, 1)[0]
    movement.world.processes[int(first.removeprefix('vm-'))].kill()


def play_move(folder, script):
    """Play a script on a service that can be moved."""

    async def run(world):
        async with Movement(world) as movement:
            await script(movement)

    play(folder, run)


async def is_moved(movement):
    """Wait until the move is completed, and see that the old servers are left."""
    await movement.until(lambda: movement.state() == 'completed', GIVEN_S + SLACK_S)
    old, new = movement.ran(movement.old), movement.ran(movement.new)
    await asyncio.sleep(1)
    assert movement.ran(movement.old) == old
    assert movement.ran(movement.new) > new


async def is_given_up(movement):
    """Wait until the new version gets nothing more, within the bounds."""
    before = movement.ran(movement.old)
    await asyncio.sleep(GIVEN_S)
    exposed = movement.ran(movement.new)
    total = exposed + movement.ran(movement.old) - before
    assert 0 < exposed <= EXPOSED_SHARE * total + EXPOSED_SLACK
    await asyncio.sleep(1)
    assert movement.ran(movement.new) == exposed


def expected_requests(movement):
    """Return how many requests the controller has expected, by its last lines."""
    text = (movement.world.folder / f'vm-{GATEWAYS[0]}.log').read_text()
    lines = [line for line in text.splitlines() if '"event":"share"' in line]
    told = [msgspec.json.decode(line)['requests'] for line in lines]
    return [requests for requests in told if requests is not None]


def test_a_good_version_has_all_requests_in_the_time_given(tmp_path):
    async def script(movement):
        await movement.order()
        await is_moved(movement)
        assert set(movement.statuses) == {200}

    play_move(tmp_path, script)


def test_the_requests_that_a_move_goes_by_are_told_and_near_the_true_number(tmp_path):
    async def script(movement):
        await movement.order()
        sent = len(movement.statuses)
        await is_moved(movement)
        sent = len(movement.statuses) - sent
        assert sent / 2 < expected_requests(movement)[-1] < 2 * sent

    play_move(tmp_path, script)


@pytest.mark.parametrize(
    'faults', [{'status': 500}, {'delay_ms': 120}], ids=['fails', 'slow']
)
def test_a_bad_version_is_taken_back(tmp_path, faults):
    async def script(movement):
        await movement.order(**faults)
        await is_given_up(movement)
        assert movement.state() == 'rolled_back'

    play_move(tmp_path, script)


def test_a_bad_version_is_given_up_while_the_store_is_silent(tmp_path):
    async def script(movement):
        await movement.order()
        await movement.until(lambda: movement.ran(movement.new) > 2, GIVEN_S)
        movement.world.store.faults.is_silent = True
        set_faults(
            movement.new, status=500
        )  # only now, or the end might be written before
        await is_given_up(movement)
        assert movement.state() == 'running'
        movement.world.store.faults.is_silent = False
        await movement.until(lambda: movement.state() == 'rolled_back', GIVE_UP_S)

    play_move(tmp_path, script)


def test_the_next_controller_goes_on_when_the_first_is_killed(tmp_path):
    async def script(movement):
        await movement.order()
        await movement.until(lambda: movement.state() == 'running', SLACK_S)
        kill_controller(movement)
        await is_moved(movement)

    play_move(tmp_path, script)


def test_writes_without_an_answer_cost_no_step(tmp_path):
    async def script(movement):
        await movement.order()
        await movement.until(lambda: movement.state() == 'running', SLACK_S)
        movement.world.store.faults.drops_write_responses = True
        await asyncio.sleep(GIVEN_S / 4)
        movement.world.store.faults.drops_write_responses = False
        await is_moved(movement)

    play_move(tmp_path, script)
