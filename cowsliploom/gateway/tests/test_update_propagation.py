"""Updates reach every live member soon, also when other members fail."""

import asyncio
import time

import pytest

from cowsliploom.dataplane._sockets import bound_address, listening_socket
from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peer_calls import PeerCalls
from cowsliploom.gateway._peer_wire import PeerMessage, decode_updates
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._update_propagation import UpdatePropagation
from cowsliploom.gateway.tests.test_store_view import RecordingLog
from cowsliploom.members import (
    FAN_OUT,
    Batch,
    Census,
    LivenessRecord,
    Member,
    MembershipTable,
    MirrorItem,
    StoreMirror,
    chosen_watchers,
)

APPLY_MS = 3000


def make_propagation(mirror, send):
    """Return the propagation of a member that knows no others."""
    known = MembershipTable(Member('watcher', 'w:1', 'de'), (), 1)
    return UpdatePropagation(known, mirror, send, time.monotonic)


class Fleet:
    """Members that forward updates; those in ``silent`` never answer."""

    def __init__(self, count, silent=()):
        self.silent = set(silent)
        self.received = []
        self.sent_counts = {}
        self.addresses = [f'm{number}' for number in range(count)]
        self.mirror = StoreMirror()
        self.mirror.apply(Batch(9, (MirrorItem('k', b'x' * 100, 9),)))

    def propagation_of(self, sender):
        """Return the propagation of one member."""

        async def send(address, updates, forward_to):
            self.sent_counts[sender] = self.sent_counts.get(sender, 0) + 1
            await asyncio.sleep(0)
            if address in self.silent:
                return False
            self.received.append(address)
            if forward_to:
                await self.propagation_of(address).send(updates, forward_to)
            return True

        return make_propagation(self.mirror, send)


@pytest.mark.parametrize('count', [1, 2, 7, 22])
def test_fan_out_is_bounded_and_each_member_receives_once(count):
    fleet = Fleet(count)
    propagation = fleet.propagation_of('watcher')
    asyncio.run(propagation.send(propagation.encoded_since(1), fleet.addresses))
    assert sorted(fleet.received) == sorted(fleet.addresses)
    assert max(fleet.sent_counts.values()) <= FAN_OUT


@pytest.mark.parametrize('silent', [('m0',), ('m0', 'm1', 'm2'), ('m0', 'm3', 'm6')])
def test_silent_members_do_not_keep_updates_from_others(silent):
    fleet = Fleet(22, silent)
    propagation = fleet.propagation_of('watcher')
    asyncio.run(propagation.send(propagation.encoded_since(1), fleet.addresses))
    assert sorted(fleet.received) == sorted(set(fleet.addresses) - set(silent))


def test_updates_are_encoded_once_per_pair_of_revisions():
    fleet = Fleet(0)
    propagation = make_propagation(fleet.mirror, None)
    first = propagation.encoded_since(1)
    assert propagation.encoded_since(1) is first
    assert decode_updates(first).items[0].key == 'k'
    fleet.mirror.apply(Batch(12, (MirrorItem('l', b'y', 12),)))
    assert len(decode_updates(propagation.encoded_since(1)).items) == 2


class ManualClock:
    """A monotonic clock that is set by the test."""

    now_ms = 0

    def read(self):
        """Return the time."""
        return self.now_ms


def make_peers(own, other, clock):
    """Return the peers of a daemon that has just learned of one other."""
    dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
    known = MembershipTable(Member(own, f'{own}:1', 'de'), (), 1)
    known.record((LivenessRecord(Member(other, f'{other}:1', 'de'), 0),), 0)
    store_view = StoreView(dispatcher, RecordingLog(), APPLY_MS)
    store_view.apply(Batch(5, (MirrorItem('k', b'', 5),)), Provenance('store'), 0)
    peers = Peers(known, store_view, RecordingLog(), Metrics(), clock.read, APPLY_MS)
    peers.watcher_liveness.record(0, 0)
    return peers


@pytest.mark.parametrize(
    ('silent_ms', 'asks_watcher', 'watches'),
    [(500, False, False), (1000, True, False), (1900, True, True)],
)
def test_member_cut_off_from_watcher_watches_in_time_for_a_version(
    silent_ms, asks_watcher, watches
):
    """A VM cut off from its watcher received a version 6.3 s after it was written."""

    async def scenario():
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

    asyncio.run(scenario())


def test_exchanges_with_others_continue_while_the_watcher_is_silent():
    """All exchanges went to the suspect watcher until it was considered gone."""

    async def scenario():
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

    asyncio.run(scenario())


def test_resumed_member_watches_immediately():
    """The monotonic clock did not advance while a version was written."""

    async def scenario():
        peers = make_peers('own', 'watcher', ManualClock())
        peers.watcher_liveness.add_age(5000)
        assert peers.watches_store()

    asyncio.run(scenario())


def test_failed_call_is_logged_with_the_size_of_the_message():
    log = RecordingLog()
    calls = PeerCalls(log, Metrics(), ManualClock().read)
    message = PeerMessage('a', 'a:1', 'de', 5, 0, Census(0, ()))

    async def scenario():
        raw = listening_socket('127.0.0.1:0')
        address = bound_address(raw)
        raw.close()  # nothing listens there any more
        assert await calls.call(address, message) is None
        (line,) = log.lines
        assert line[:2] == ('members', 'unanswered')
        assert line[2]['peer'] == address
        assert line[2]['bytes'] > 0
        assert line[2]['reason'].startswith('connect')

    asyncio.run(scenario())
