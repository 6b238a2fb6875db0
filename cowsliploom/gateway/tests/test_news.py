"""News reach every member soon, whoever of them is silent."""

import asyncio
import time

import pytest

from cowsliploom.dataplane._sockets import bound_address, listening_socket
from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._news import News
from cowsliploom.gateway._peer_calls import PeerCalls
from cowsliploom.gateway._peer_wire import PeerMessage, decode_news
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway.tests.test_store_view import RecordingLog
from cowsliploom.members import (
    FAN_OUT,
    MembershipTable,
    Batch,
    Census,
    Member,
    MirrorItem,
    LivenessRecord,
    StoreMirror,
    chosen_watchers,
)

APPLY_MS = 3000


def make_news(mirror, tell):
    """Return the news of a member that knows nobody."""
    known = MembershipTable(Member('watcher', 'w:1', 'de'), (), 1)
    return News(known, mirror, tell, time.monotonic)


class Fleet:
    """Members that tell each other, some of them silent."""

    def __init__(self, count, silent=()):
        self.silent = set(silent)
        self.told = []
        self.tellers = {}
        self.addresses = [f'm{number}' for number in range(count)]
        self.mirror = StoreMirror()
        self.mirror.take(Batch(9, (MirrorItem('k', b'x' * 100, 9),)))

    def news_of(self, teller):
        """Return the news that one member tells."""

        async def tell(address, news, tell_on):
            self.tellers[teller] = self.tellers.get(teller, 0) + 1
            await asyncio.sleep(0)
            if address in self.silent:
                return False
            self.told.append(address)
            if tell_on:
                await self.news_of(address).tell(news, tell_on)
            return True

        return make_news(self.mirror, tell)


@pytest.mark.parametrize('count', [1, 2, 7, 22])
def test_a_watcher_tells_a_few_and_all_hear_once(count):
    fleet = Fleet(count)
    news = fleet.news_of('watcher')
    asyncio.run(news.tell(news.since(1), fleet.addresses))
    assert sorted(fleet.told) == sorted(fleet.addresses)
    assert max(fleet.tellers.values()) <= FAN_OUT


@pytest.mark.parametrize('silent', [('m0',), ('m0', 'm1', 'm2'), ('m0', 'm3', 'm6')])
def test_a_silent_member_costs_nobody_else_the_news(silent):
    fleet = Fleet(22, silent)
    news = fleet.news_of('watcher')
    asyncio.run(news.tell(news.since(1), fleet.addresses))
    assert sorted(fleet.told) == sorted(set(fleet.addresses) - set(silent))


def test_news_are_encoded_once_for_all_who_know_as_much():
    fleet = Fleet(0)
    news = make_news(fleet.mirror, None)
    first = news.since(1)
    assert news.since(1) is first
    assert decode_news(first).items[0].key == 'k'
    fleet.mirror.take(Batch(12, (MirrorItem('l', b'y', 12),)))
    assert len(decode_news(news.since(1)).items) == 2


class ManualClock:
    """A steady clock that is set by hand."""

    now_ms = 0

    def read(self):
        """Return the time."""
        return self.now_ms


def make_peers(own, other, clock):
    """Return the peers of a daemon that has just heard of one other."""
    desk = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
    known = MembershipTable(Member(own, f'{own}:1', 'de'), (), 1)
    known.record((LivenessRecord(Member(other, f'{other}:1', 'de'), 0),), 0)
    store_view = StoreView(desk, RecordingLog(), APPLY_MS)
    store_view.take(Batch(5, (MirrorItem('k', b'', 5),)), Provenance('store'), 0)
    peers = Peers(known, store_view, RecordingLog(), Metrics(), clock.read, APPLY_MS)
    peers.attendance.record(0, 0)
    return peers


@pytest.mark.parametrize(
    ('silent_ms', 'asks_watcher', 'watches'),
    [(500, False, False), (1000, True, False), (1900, True, True)],
)
def test_who_hears_of_no_watcher_watches_in_time_for_a_version(
    silent_ms, asks_watcher, watches
):
    """A machine cut off from its watcher had a version 6.3 s after its writing."""

    async def play():
        clock = ManualClock()
        (watcher,) = chosen_watchers(
            (Member('a', '', 'de'), Member('b', '', 'de')), 'de', 1
        )
        (own,) = {'a', 'b'} - {watcher}
        peers = make_peers(own, watcher, clock)
        clock.now_ms = silent_ms
        if asks_watcher:
            assert peers.partner() == f'{watcher}:1'
        assert peers.watches_store() is watches

    asyncio.run(play())


def test_members_stay_in_touch_while_their_watcher_is_silent():
    """All exchanges went to the watcher until it counted as gone."""

    async def play():
        clock = ManualClock()
        names = ('a', 'b', 'c')
        fleet = tuple(Member(name, f'{name}:1', 'de') for name in names)
        (watcher,) = chosen_watchers(fleet, 'de', 1)
        own, other = sorted(set(names) - {watcher})
        peers = make_peers(own, watcher, clock)
        peers.known.record((LivenessRecord(Member(other, f'{other}:1', 'de'), 0),), 0)
        clock.now_ms = 1000
        asked = [peers.partner() for _ in range(40)]
        assert 15 <= asked.count(f'{watcher}:1') < 40
        assert asked.count(f'{other}:1') > 4

    asyncio.run(play())


def test_a_machine_that_was_suspended_watches_at_once():
    """Its steady clock had left out the time in which a version was written."""

    async def play():
        peers = make_peers('own', 'watcher', ManualClock())
        peers.attendance.add_age(5000)
        assert peers.watches_store()

    asyncio.run(play())


def test_a_message_that_a_peer_does_not_take_is_told_with_its_size():
    log = RecordingLog()
    calls = PeerCalls(log, Metrics(), ManualClock().read)
    message = PeerMessage('a', 'a:1', 'de', 5, 0, Census(0, ()))

    async def play():
        raw = listening_socket('127.0.0.1:0')
        address = bound_address(raw)
        raw.close()  # nobody listens there any more
        assert await calls.ask(address, message) is None
        (line,) = log.lines
        assert line[:2] == ('members', 'unanswered')
        assert line[2]['peer'] == address
        assert line[2]['bytes'] > 0
        assert line[2]['reason'].startswith('connect')

    asyncio.run(play())
