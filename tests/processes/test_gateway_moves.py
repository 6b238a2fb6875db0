"""Version moves requested by operators, on real gateway processes."""

import asyncio
import time

import msgspec
import pytest

from cowsliploom.members import rank_names
from cowsliploom.standins import FakeBackendServer
from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import ask, run_script

pytestmark = pytest.mark.processes

GATEWAYS = (2, 3, 4)
MOVE_DURATION_S = 8
SLACK_S = 3  # for a busy machine
CALLERS = 6
PAUSE_S = 0.05  # between two requests of a caller
WORK_MS = 20  # per request; a much smaller time is lost in noise on a busy machine
EXPOSED_SHARE = 0.1
EXPOSED_SLACK = 50
ROLLBACK_S = 5


class MoveScenario:
    """A service under load with servers of two versions, and its move request."""

    def __init__(self, world):
        self.world = world
        self.old = []
        self.new = []
        self.new_zone = 'de'
        self.statuses = []
        self.callers = []

    async def start(self):
        """Start servers, gateways and load, and wait for the load to settle."""
        self.old = [self.world.backends['one'], await self.server('one-b', 'v1')]
        set_faults(self.old, delay_ms=WORK_MS)
        for number in GATEWAYS:
            await self.world.gateway(number, f'{HOST_PREFIX}.2:18102')
        for number in GATEWAYS:
            await self.world.ready(number)
        loop = asyncio.get_running_loop()
        self.callers = [
            loop.create_task(self.send_requests(idx)) for idx in range(CALLERS)
        ]
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

    async def send_requests(self, idx, target='/single/x'):
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

    async def request_move(self, **faults):
        """Request the move, and start servers of the new version with faults."""
        put_move_request(self.world, 'v2')
        self.new = [
            await self.server(f'new-{idx}', 'v2', zone=self.new_zone)
            for idx in range(2)
        ]
        set_faults(self.new, **faults)

    def state(self, service='one'):
        """Return the state of a move as stored for operators."""
        text = self.world.store.get(f'status/rollout/{service}')
        return msgspec.json.decode(text)['state'] if text else ''

    def ran(self, servers):
        """Return the number of requests that servers have run."""
        return sum(len(server.ran) for server in servers)

    async def wait_until(self, is_true, within_s):
        """Wait until a condition is met; fail with the logs after a time limit."""
        end = time.monotonic() + within_s
        while not is_true():
            assert time.monotonic() < end, self.world.logs()
            await asyncio.sleep(0.05)

    async def __aenter__(self):
        """Start servers, gateways and load."""
        await self.start()
        return self

    async def __aexit__(self, *_exc):
        """Stop the load."""
        await cancel_callers(self.callers)


async def cancel_callers(callers):
    """Cancel the tasks of callers."""
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


def set_faults(servers, **faults):
    """Set faults of servers."""
    for server in servers:
        for fault, setting in faults.items():
            setattr(server.faults, fault, setting)


def put_move_request(world, version, service='one'):
    """Store a request to move a service to a version."""
    request = {
        'service': service,
        'targetVersion': version,
        'durationS': MOVE_DURATION_S,
    }
    world.store.put(f'op/rollout/{service}', msgspec.json.encode(request))


def controller(scenario):
    """Return the number of the gateway that controls the move."""
    names = [f'vm-{number}' for number in scenario.world.processes]
    first = rank_names('version-moves', names, 1)[0]
    return int(first.removeprefix('vm-'))


def kill_controller(scenario):
    """Kill the gateway that controls the move."""
    scenario.world.processes[controller(scenario)].kill()


def run_move(folder, script):
    """Run a test script on a service with a move."""

    async def run(world):
        async with MoveScenario(world) as scenario:
            await script(scenario)

    run_script(folder, run)


async def check_completed(scenario):
    """Wait until the move is completed; check that old servers get no more requests."""
    await scenario.wait_until(
        lambda: scenario.state() == 'completed', MOVE_DURATION_S + SLACK_S
    )
    old, new = scenario.ran(scenario.old), scenario.ran(scenario.new)
    await asyncio.sleep(1)
    assert scenario.ran(scenario.old) == old
    assert scenario.ran(scenario.new) > new


async def check_exposure_ended(scenario):
    """Check that the new version gets requests only within the bounds, then none."""
    before = scenario.ran(scenario.old)
    await asyncio.sleep(MOVE_DURATION_S)
    exposed = scenario.ran(scenario.new)
    total = exposed + scenario.ran(scenario.old) - before
    assert 0 < exposed <= EXPOSED_SHARE * total + EXPOSED_SLACK
    await asyncio.sleep(1)
    assert scenario.ran(scenario.new) == exposed


def expected_requests(scenario):
    """Return the numbers of expected requests in the first gateway's share lines."""
    text = (scenario.world.folder / f'vm-{GATEWAYS[0]}.log').read_text()
    lines = [line for line in text.splitlines() if '"event":"share"' in line]
    logged = [msgspec.json.decode(line)['requests'] for line in lines]
    return [requests for requests in logged if requests is not None]


def test_good_version_gets_all_requests_in_the_requested_time(tmp_path):
    async def script(scenario):
        await scenario.request_move()
        await check_completed(scenario)
        assert set(scenario.statuses) == {200}

    run_move(tmp_path, script)


def test_logged_number_of_expected_requests_is_within_factor_two(tmp_path):
    async def script(scenario):
        await scenario.request_move()
        sent = len(scenario.statuses)
        await check_completed(scenario)
        sent = len(scenario.statuses) - sent
        assert sent / 2 < expected_requests(scenario)[-1] < 2 * sent

    run_move(tmp_path, script)


@pytest.mark.parametrize(
    'faults', [{'status': 500}, {'delay_ms': 120}], ids=['fails', 'slow']
)
def test_bad_version_is_rolled_back(tmp_path, faults):
    async def script(scenario):
        await scenario.request_move(**faults)
        await check_exposure_ended(scenario)
        assert scenario.state() == 'rolled_back'

    run_move(tmp_path, script)


def test_bad_version_gets_no_more_requests_while_the_store_is_silent(tmp_path):
    async def script(scenario):
        await scenario.request_move()
        await scenario.wait_until(
            lambda: scenario.ran(scenario.new) > 2, MOVE_DURATION_S
        )
        scenario.world.store.faults.is_silent = True
        # Set after the store is silent, or the rollback could be stored before.
        set_faults(scenario.new, status=500)
        await check_exposure_ended(scenario)
        assert scenario.state() == 'running'
        scenario.world.store.faults.is_silent = False
        await scenario.wait_until(lambda: scenario.state() == 'rolled_back', ROLLBACK_S)

    run_move(tmp_path, script)


def test_next_controller_completes_the_move_after_the_first_is_killed(tmp_path):
    async def script(scenario):
        await scenario.request_move()
        await scenario.wait_until(lambda: scenario.state() == 'running', SLACK_S)
        kill_controller(scenario)
        await check_completed(scenario)

    run_move(tmp_path, script)


def test_unanswered_store_writes_do_not_stop_the_move(tmp_path):
    async def script(scenario):
        await scenario.request_move()
        await scenario.wait_until(lambda: scenario.state() == 'running', SLACK_S)
        scenario.world.store.faults.drops_write_responses = True
        await asyncio.sleep(MOVE_DURATION_S / 4)
        scenario.world.store.faults.drops_write_responses = False
        await check_completed(scenario)

    run_move(tmp_path, script)
