"""Only an outage of the store itself keeps registrations that were removed."""

import asyncio
import random
from dataclasses import dataclass

import pytest

from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._expiry_hold import HEARTBEAT_MS, ExpiryHold, StoreOutage
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._store_watch import StoreWatch
from cowsliploom.gateway.tests.test_store_view import (
    PEER,
    STORE,
    RecordingLog,
    make_store_view,
    server,
)
from cowsliploom.gateway.tests.test_update_propagation import ManualClock
from cowsliploom.members import (
    Batch,
    LivenessRecord,
    Member,
    MembershipTable,
    Removal,
)
from cowsliploom.platform import StoreUnanswered

APPLY_MS = 3000
TICK_MS = 250
WATCH_GAP_MAX_MS = 1450  # a watch waits 750 ms and is given up 700 ms later
HEARD_LAG_MS = 500
SHORTEST_OUTAGE_MS = 3 * HEARTBEAT_MS  # in which a registration surely expires


def confirmed(gaps_ms, until_ms):
    """Return a hold that has heard answers of the store at some intervals."""
    hold = ExpiryHold()
    at_ms = 0
    while at_ms < until_ms:
        hold.confirmations.add(at_ms)
        at_ms += next(gaps_ms)
    return hold


@pytest.mark.parametrize('seed', range(200))
def test_no_claim_is_believed_while_the_store_answers_others(seed):
    """A VM that woke or came back told all others of an outage that was its own."""
    rng = random.Random(seed)
    now_ms = rng.uniform(5000, 100_000)
    gaps_ms = iter(lambda: rng.uniform(1, WATCH_GAP_MAX_MS), None)
    hold = confirmed(gaps_ms, now_ms - HEARD_LAG_MS)
    for _ in range(20):
        recovered_ms = now_ms - rng.choice((0, rng.uniform(0, 2300)))
        lost_ms = recovered_ms - rng.choice((100, rng.uniform(0, 60_000)))
        assert not hold.note(StoreOutage(lost_ms, recovered_ms))


@pytest.mark.parametrize('seed', range(100))
def test_outage_in_which_registrations_expire_is_believed(seed):
    rng = random.Random(seed)
    down_ms = rng.uniform(5000, 20_000)
    gaps_ms = iter(lambda: rng.uniform(1, WATCH_GAP_MAX_MS), None)
    hold = confirmed(gaps_ms, down_ms)
    recovered_ms = down_ms + SHORTEST_OUTAGE_MS + rng.uniform(0, 60_000)
    lost_ms = down_ms + rng.uniform(0, WATCH_GAP_MAX_MS)
    hold.confirmations.add(recovered_ms + rng.uniform(0, 300))
    assert hold.note(StoreOutage(lost_ms, recovered_ms))


@pytest.mark.parametrize(
    ('lost_ms', 'recovered_ms'),
    [(9000, 9100), (5000, 9000), (8000, 8900)],
    ids=['woken', 'cut-off-for-long', 'cut-off-shortly'],
)
def test_removal_is_believed_beside_a_vm_that_was_away(lost_ms, recovered_ms):
    """Guard against servers that were used 2.3 s longer as another VM had frozen."""
    store_view = make_store_view()
    store_view.apply(Batch(6, (server('a', 5), server('b', 6))), STORE, 0)
    for at_ms in range(700, 9800, 700):
        store_view.confirm(6, STORE, at_ms)
    store_view.note_outage(StoreOutage(lost_ms, recovered_ms), 'woken')
    store_view.apply(Batch(8, (), (Removal('servers/a', 8),)), PEER, 9900)
    assert len(store_view.dispatcher.fleet) == 1


@dataclass
class ScriptedStore:
    """A store that answers lists while it is reached, and no watch otherwise."""

    is_reached: bool = True

    async def list_prefix(self, prefix, timeout_ms):
        """Return the contents, if the store is reached."""
        if not self.is_reached:
            return StoreUnanswered('store.list', 'store', 'refused')
        return Batch(6, (server('a', 5), server('b', 6)), is_whole=True)

    async def watch(self, prefix, after, wait_ms, timeout_ms):
        """Return no change, if the store is reached."""
        if not self.is_reached:
            return StoreUnanswered('store.watch', 'store', 'no answer in time')
        return Batch(6, since=6)


class WatchScenario:
    """A VM that watches the store; time passes as the test says."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = ScriptedStore()
        dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
        self.store_view = StoreView(dispatcher, RecordingLog(), APPLY_MS)
        self.known = MembershipTable(Member('own', 'own:1', 'de'), (), 1)
        self.peers = Peers(
            self.known,
            self.store_view,
            RecordingLog(),
            Metrics(),
            self.clock.read,
            APPLY_MS,
        )
        self.watch = StoreWatch(
            self.store, self.store_view, RecordingLog(), self.peers, 1
        )

    async def poll(self):
        """Ask the store once."""
        await self.watch._poll()

    async def run(self, for_ms, hears_others=True):
        """Let time pass while the process runs and asks the store."""
        end_ms = self.clock.now_ms + for_ms
        while self.clock.now_ms < end_ms:
            self.clock.now_ms += TICK_MS
            self.watch.pauses.tick()
            if hears_others:
                self.hear()
            await self.poll()

    def hear(self):
        """Receive a message of another member."""
        self.known.heard_ms = self.clock.now_ms
        other = LivenessRecord(Member('other', 'other:1', 'de'), 0)
        self.known.record((other,), self.clock.now_ms)
        self.peers._refresh_members()

    def freeze(self, for_ms):
        """Let time pass while the process does not run."""
        self.clock.now_ms += for_ms


def is_held(scenario):
    """Return whether a removal now would be held."""
    return scenario.store_view.expiry_hold.until_ms > scenario.clock.now_ms


@pytest.mark.parametrize('freezes_ms', [(1200,), (3500,), (3500, 3500), (900, 2000)])
@pytest.mark.parametrize('between_ms', [250, 1000])
def test_pause_of_this_process_is_not_taken_for_an_outage(freezes_ms, between_ms):
    """Each wake-up was taken for an outage of the store."""

    async def play():
        scenario = WatchScenario()
        await scenario.run(2000)
        for freeze_ms in freezes_ms:
            scenario.store.is_reached = False
            scenario.freeze(freeze_ms)
            await scenario.poll()
            scenario.clock.now_ms += 100
            scenario.store.is_reached = True
            await scenario.poll()
            assert not is_held(scenario)
            await scenario.run(between_ms)
            assert not is_held(scenario)

    asyncio.run(play())


@pytest.mark.parametrize('hears_others', [True, False])
def test_outage_counts_only_if_others_were_heard_meanwhile(hears_others):
    async def play():
        scenario = WatchScenario()
        await scenario.run(2000)
        scenario.store.is_reached = False
        await scenario.run(SHORTEST_OUTAGE_MS, hears_others)
        scenario.store.is_reached = True
        await scenario.poll()
        assert is_held(scenario) is hears_others

    asyncio.run(play())
