"""Extra calls of all gateways together keep their bound, whatever single ones do."""

import asyncio
import signal
import time
from collections import Counter

import pytest

from tests.processes.gateway_world import HOST_PREFIX, START_S, ask, play

pytestmark = pytest.mark.processes

GATEWAYS = (2, 3, 4, 5)
SEED = f'{HOST_PREFIX}.2:18102'
WINDOW_S = 9  # longer than what a test does once the gateways serve
SETTLED_S = 1.2 * WINDOW_S
RATIO = 0.2
CONSTANT = 50
BURST = 12
CALM = 60  # requests of each gateway that need no second call
LONG_WINDOW_S = 12
SILENT_S = 4.6  # by then a member that says nothing doesn't count as live


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
    """Send requests to a server that rejects all, and count what arrives."""

    def __init__(self, backend):
        self.backend = backend
        self.backend.faults.sheds = True
        self.asked = 0

    async def calm(self, numbers, count=CALM):
        """Let requests come that need no second call."""
        self.backend.faults.sheds = False
        await self.burst(numbers, count)
        self.backend.faults.sheds = True

    async def burst(self, numbers, count=BURST):
        """Let requests come to gateways, at each one after the other."""
        await asyncio.gather(*(self._ask_some(number, count) for number in numbers))

    async def _ask_some(self, number, count):
        for _ in range(count):
            self.asked += 1
            name = f'x-{self.asked}'
            await ask(f'{HOST_PREFIX}.{number}:18100', '/single/x', request_id=name)

    @property
    def extra(self):
        """Return the arrivals beyond the first of each request."""
        counts = Counter(one['request-id'] for one in self.backend.received)
        return sum(counts.values()) - len(counts)

    @property
    def allowed(self):
        """Return the bound in a window that holds all requests."""
        return RATIO * self.asked + CONSTANT


async def nothing(world):
    """Leave the gateways alone."""


async def killed(world):
    """Kill all gateways and start them again."""
    for number in GATEWAYS:
        world.processes[number].kill()
        await world.processes[number].wait()
    await start_all(world)


async def stopped(world):
    """Stop all gateways in order and start them again."""
    for number in GATEWAYS:
        world.processes[number].send_signal(signal.SIGTERM)
    for number in GATEWAYS:
        await world.processes[number].wait()
    await start_all(world)


async def frozen(world):
    """Freeze all but one until that one no longer counts them as live."""
    for number in GATEWAYS[1:]:
        world.processes[number].send_signal(signal.SIGSTOP)
    await asyncio.sleep(SILENT_S)


CASES = {
    'nothing': (nothing, GATEWAYS, BURST),
    'killed': (killed, GATEWAYS, BURST),
    'stopped': (stopped, GATEWAYS, BURST),
    'frozen': (frozen, GATEWAYS[:1], 3 * BURST),
}


@pytest.mark.parametrize('case', CASES)
def test_extra_calls_of_all_gateways_keep_their_sum(tmp_path, case):
    """Those that are gone had spent their parts; others took the parts anew."""
    befall, again, count = CASES[case]

    async def script(world):
        world.window_s = WINDOW_S
        await start_all(world)
        await asyncio.sleep(SETTLED_S)
        extras = Extras(world.backends['one'])
        begun = time.monotonic()
        await extras.burst(GATEWAYS)
        assert extras.extra > RATIO * extras.asked  # the constant is used too
        await befall(world)
        await extras.burst(again, count)
        assert time.monotonic() - begun < WINDOW_S
        assert extras.extra <= extras.allowed

    play(tmp_path, script)


@pytest.mark.parametrize('befall', [nothing, killed])
def test_requests_of_a_calm_pay_for_nothing_in_a_later_window(tmp_path, befall):
    """Their part was spent in the window of the requests that pay for it again."""

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
        await befall(world)
        await extras.burst(GATEWAYS, CALM - 10)
        assert time.monotonic() - begun < LONG_WINDOW_S
        requests = max(in_calm, extras.asked - in_calm)
        assert extras.extra <= RATIO * requests + CONSTANT

    play(tmp_path, script)
