"""Extra calls of all gateways stay within the bound when gateways fail or restart."""

import asyncio
import signal
import time
from collections import Counter

import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import START_S, ask, run_script

pytestmark = pytest.mark.processes

GATEWAYS = (2, 3, 4, 5)
SEED = f'{HOST_PREFIX}.2:18102'
WINDOW_S = 9  # longer than the measured part of a test
SETTLED_S = 1.2 * WINDOW_S
RATIO = 0.2
CONSTANT = 50
BURST = 12
CALM = 60  # requests per gateway that need no extra call
LONG_WINDOW_S = 12
SILENT_S = 4.6  # a silent member no longer counts as live after this


async def start_all(world, numbers=GATEWAYS):
    """Start gateways and wait until each knows all others."""
    for number in numbers:
        await world.gateway(number, SEED)
    for number in numbers:
        await world.ready(number)
    end = time.monotonic() + START_S
    while time.monotonic() < end and not all(
        f'"event":"changed","live":{len(GATEWAYS)}' in (log).read_text()
        for log in world.folder.glob('*.log')
    ):
        await asyncio.sleep(0.1)


class Extras:
    """Send requests to a server that rejects all, and count the extra calls."""

    def __init__(self, backend):
        self.backend = backend
        self.backend.faults.sheds = True
        self.asked = 0

    async def calm(self, numbers, count=CALM):
        """Send requests that the server accepts at the first call."""
        self.backend.faults.sheds = False
        await self.burst(numbers, count)
        self.backend.faults.sheds = True

    async def burst(self, numbers, count=BURST):
        """Send requests to gateways in parallel, one at a time to each."""
        await asyncio.gather(*(self._ask_some(number, count) for number in numbers))

    async def _ask_some(self, number, count):
        for _ in range(count):
            self.asked += 1
            name = f'x-{self.asked}'
            await ask(f'{HOST_PREFIX}.{number}:18100', '/single/x', request_id=name)

    @property
    def extra(self):
        """Return the number of calls beyond the first of each request."""
        counts = Counter(one['request-id'] for one in self.backend.received)
        return sum(counts.values()) - len(counts)

    @property
    def allowed(self):
        """Return the bound for a window that contains all requests."""
        return RATIO * self.asked + CONSTANT


async def unchanged(world):
    """Do nothing to the gateways."""


async def killed(world):
    """Kill all gateways and start them again."""
    for number in GATEWAYS:
        world.processes[number].kill()
        await world.processes[number].wait()
    await start_all(world)


async def stopped(world):
    """Stop all gateways by SIGTERM and start them again."""
    for number in GATEWAYS:
        world.processes[number].send_signal(signal.SIGTERM)
    for number in GATEWAYS:
        await world.processes[number].wait()
    await start_all(world)


async def frozen(world):
    """Freeze all but one until it no longer counts the others as live."""
    for number in GATEWAYS[1:]:
        world.processes[number].send_signal(signal.SIGSTOP)
    await asyncio.sleep(SILENT_S)


CASES = {
    'unchanged': (unchanged, GATEWAYS, BURST),
    'killed': (killed, GATEWAYS, BURST),
    'stopped': (stopped, GATEWAYS, BURST),
    'frozen': (frozen, GATEWAYS[:1], 3 * BURST),
}


@pytest.mark.parametrize('case', CASES)
def test_extra_calls_of_all_gateways_stay_within_the_bound(tmp_path, case):
    """Guard against a lost gateway's spent share being granted again to others."""
    disturb, numbers, count = CASES[case]

    async def script(world):
        world.window_s = WINDOW_S
        await start_all(world)
        await asyncio.sleep(SETTLED_S)
        extras = Extras(world.backends['one'])
        begun = time.monotonic()
        await extras.burst(GATEWAYS)
        assert extras.extra > RATIO * extras.asked  # part of the constant is used too
        await disturb(world)
        await extras.burst(numbers, count)
        assert time.monotonic() - begun < WINDOW_S
        assert extras.extra <= extras.allowed

    run_script(tmp_path, script)


@pytest.mark.parametrize('disturb', [unchanged, killed])
def test_earlier_requests_earn_no_extra_calls_in_a_later_window(tmp_path, disturb):
    """Guard against budget saved in an earlier window adding to a later one's own."""

    async def script(world):
        world.window_s = LONG_WINDOW_S
        await start_all(world)
        await asyncio.sleep(1.2 * LONG_WINDOW_S)
        extras = Extras(world.backends['one'])
        await extras.calm(GATEWAYS)
        in_calm = extras.asked
        await asyncio.sleep(0.55 * LONG_WINDOW_S)
        begun = time.monotonic()
        await extras.burst(GATEWAYS)
        await disturb(world)
        await extras.burst(GATEWAYS, CALM - 10)
        assert time.monotonic() - begun < LONG_WINDOW_S
        requests = max(in_calm, extras.asked - in_calm)
        assert extras.extra <= RATIO * requests + CONSTANT

    run_script(tmp_path, script)
