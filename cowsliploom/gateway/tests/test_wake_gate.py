"""A process that was paused asks for updates before it sends what waited."""

import asyncio
import dataclasses

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._forwarder import Forwarder
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._pauses import PauseDetector
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway._wake_gate import WAIT_MAX_MS, WakeGate
from cowsliploom.gateway.tests.test_forwarder_stopping import FakeHttpRequest
from cowsliploom.gateway.tests.test_store_view import RecordingLog, make_store_view
from cowsliploom.gateway.tests.test_update_propagation import ManualClock
from cowsliploom.members import Member

PAUSE_MS = 3500
REQUESTS = 8  # each server would get some of them
OTHER = Member('other', 'other:1', 'de')


@dataclasses.dataclass
class FakePeers:
    """Members that answer when the test says so."""

    clock: ManualClock
    members: tuple[Member, ...] = (OTHER,)
    asked: list[tuple[str, bool]] = dataclasses.field(default_factory=list)

    def __post_init__(self):
        self.answer = asyncio.get_running_loop().create_future()

    def now_ms(self):
        """Return the time."""
        return self.clock.now_ms

    def others(self):
        """Return the members."""
        return self.members

    async def exchange(self, address, wants_updates=False):
        """Record the question and wait for the answer."""
        self.asked.append((address, wants_updates))
        return await self.answer


class Scenario:
    """A forwarder whose clock for pauses is set by the test."""

    def __init__(self, members=(OTHER,)):
        self.clock = ManualClock()
        self.peers = FakePeers(self.clock, members)
        self.pauses = PauseDetector(self.clock.read)
        self.sent = []
        self.log = RecordingLog()
        self.pools = ServerPools(make_dispatcher())
        self.pools.send = lambda server, call: self.sent.append(server.name)
        self.pools.may_send = WakeGate(self.pauses, self.peers, self.log).may_send
        request_log = RequestLog(RecordingLog(), Metrics(), make_store_view())
        self.forwarder = Forwarder(self.pools, None, request_log)

    def ask(self, deadline_ms=5000):
        """Let a caller ask; return the request."""
        headers = (*FakeHttpRequest.headers, ('Deadline', str(deadline_ms)))
        request = FakeHttpRequest('/once/x', self.pools.now_ms(), headers=headers)
        self.disconnect = self.forwarder.handle(request)
        return request


async def let_run():
    """Let postponed calls ask again."""
    await asyncio.sleep(0.05)


@pytest.mark.parametrize('pause_ms', [0, 800, PAUSE_MS])
def test_calls_wait_for_updates_after_a_pause_only(pause_ms):
    """Requests that arrived during a freeze went to servers that had left."""

    async def play():
        scenario = Scenario()
        scenario.clock.now_ms = pause_ms
        scenario.ask()
        await let_run()
        is_paused = pause_ms == PAUSE_MS
        assert bool(scenario.sent) is not is_paused
        assert scenario.peers.asked == [('other:1', True)] * is_paused
        scenario.peers.answer.set_result(True)
        await let_run()
        assert len(scenario.sent) == 1

    asyncio.run(play())


def test_server_that_left_during_the_pause_gets_no_call():
    async def play():
        scenario = Scenario()
        scenario.clock.now_ms = PAUSE_MS
        for _ in range(REQUESTS):
            scenario.ask()
        fleet = scenario.pools.dispatcher.fleet
        servers = [server.record for server in fleet.serving('one')]
        gone = servers[0].name
        others = [record for record in servers if record.name != gone]
        fleet.update(others, scenario.pools.now_ms())
        scenario.peers.answer.set_result(True)
        await let_run()
        assert gone not in scenario.sent
        assert len(scenario.sent) == REQUESTS

    asyncio.run(play())


@pytest.mark.parametrize('members', [(OTHER,), ()])
def test_wait_ends_without_an_answer(members):
    async def play():
        scenario = Scenario(members)
        scenario.clock.now_ms = PAUSE_MS
        scenario.ask()
        await let_run()
        scenario.clock.now_ms += WAIT_MAX_MS
        await let_run()
        assert len(scenario.sent) == 1

    asyncio.run(play())


def test_request_that_waited_has_its_timeout():
    """The timer that postponed a request stood in for that of its deadline."""

    async def play():
        scenario = Scenario()
        scenario.clock.now_ms = PAUSE_MS
        request = scenario.ask(deadline_ms=200)
        scenario.peers.answer.set_result(True)
        await let_run()
        assert scenario.sent
        assert not request.statuses
        await asyncio.sleep(0.3)
        assert request.statuses == [504]

    asyncio.run(play())


def test_caller_that_leaves_meanwhile_costs_no_call():
    async def play():
        scenario = Scenario()
        scenario.clock.now_ms = PAUSE_MS
        scenario.ask()
        scenario.disconnect()
        scenario.peers.answer.set_result(True)
        await let_run()
        assert not scenario.sent
        assert not scenario.forwarder.open_requests

    asyncio.run(play())
