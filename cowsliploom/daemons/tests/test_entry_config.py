import threading

import pytest

from cowsliploom.adapters import SystemClock
from cowsliploom.coordination import Member, StoreWatchScheduler, chosen_watchers
from cowsliploom.daemons._entry_config import ConfigurationWatch
from cowsliploom.daemons._entry_messages import ConfigurationOffered
from cowsliploom.ports import Unchanged
from cowsliploom.standins import MemoryStore, StoreFaults, StoreMode

ME = Member('entry-0', '', 'de')
OTHERS = tuple(Member(f'entry-{number}', '', 'de') for number in range(1, 9))
WAIT_S = 5


class WaitingStore(MemoryStore):
    """Let a watch wait as the platform's does."""

    def watch(self, key, after_version, wait_ms):
        found = super().watch(key, after_version, wait_ms)
        if isinstance(found, Unchanged):
            threading.Event().wait(wait_ms / 1000)
        return found


class Offers:
    """Collect what the watch offers."""

    def __init__(self):
        self.seen = []
        self.offered = threading.Event()

    def take(self, offer):
        self.seen.append(offer)
        if isinstance(offer, ConfigurationOffered):
            self.offered.set()

    def count(self, name):
        return sum(getattr(offer, 'name', '') == name for offer in self.seen)


@pytest.fixture
def store():
    return WaitingStore(SystemClock())


def run_watch(store, offers, live):
    plan = StoreWatchScheduler(ME.name, ME.data_centre, seed=1)
    watch = ConfigurationWatch(store, SystemClock(), plan, offers.take)
    watch.members_changed(live)
    return watch


def test_watcher_of_an_empty_store_waits_instead_of_asking_again(store):
    offers = Offers()
    with run_watch(store, offers, (ME,)):
        assert offers.offered.wait(WAIT_S)
        threading.Event().wait(1)
        assert offers.count('store_reads') == 1
        assert offers.count('store_watches') <= 1


def test_outage_is_met_with_growing_pauses(store):
    store.faults = StoreFaults(StoreMode.DOWN)
    offers = Offers()
    with run_watch(store, offers, (ME,)):
        threading.Event().wait(2)
        assert 1 <= offers.count('store_reads') <= 25
        assert not offers.offered.is_set()
        store.faults = StoreFaults()
        assert offers.offered.wait(WAIT_S + 5)


def test_others_poll_and_hold_no_watch(store):
    offers = Offers()
    live = (ME, *OTHERS)
    assert ME.name not in chosen_watchers(live, ME.data_centre)
    with run_watch(store, offers, live):
        assert offers.offered.wait(WAIT_S)
        threading.Event().wait(0.5)
        assert offers.count('store_watches') == 0
        assert offers.count('store_reads') == 1
