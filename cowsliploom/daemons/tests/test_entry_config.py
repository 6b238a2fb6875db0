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
    """Store whose watch blocks until its timeout, as the platform's does."""

    def watch(self, key, after_version, wait_ms):
        found = super().watch(key, after_version, wait_ms)
        if isinstance(found, Unchanged):
            threading.Event().wait(wait_ms / 1000)
        return found


class Offers:
    """Collect the messages that the watch offers."""

    def __init__(self):
        self.messages = []
        self.offered = threading.Event()

    def add(self, offer):
        self.messages.append(offer)
        if isinstance(offer, ConfigurationOffered):
            self.offered.set()

    def count(self, name):
        return sum(getattr(offer, 'name', '') == name for offer in self.messages)


@pytest.fixture
def store():
    return WaitingStore(SystemClock())


def run_watch(store, offers, live):
    scheduler = StoreWatchScheduler(ME.name, ME.data_centre, seed=1)
    watch = ConfigurationWatch(store, SystemClock(), scheduler, offers.add)
    watch.update_members(live)
    return watch


def test_watch_of_empty_store_waits_without_further_reads(store):
    offers = Offers()
    with run_watch(store, offers, (ME,)):
        assert offers.offered.wait(WAIT_S)
        threading.Event().wait(1)
        assert offers.count('store_reads') == 1
        assert offers.count('store_watches') <= 1


def test_reads_back_off_during_store_outage(store):
    store.faults = StoreFaults(StoreMode.DOWN)
    offers = Offers()
    with run_watch(store, offers, (ME,)):
        threading.Event().wait(2)
        assert 1 <= offers.count('store_reads') <= 25
        assert not offers.offered.is_set()
        store.faults = StoreFaults()
        assert offers.offered.wait(WAIT_S + 5)


def test_member_that_is_no_watcher_only_polls(store):
    offers = Offers()
    live = (ME, *OTHERS)
    assert ME.name not in chosen_watchers(live, ME.data_centre)
    with run_watch(store, offers, live):
        assert offers.offered.wait(WAIT_S)
        threading.Event().wait(0.5)
        assert offers.count('store_watches') == 0
        assert offers.count('store_reads') == 1
