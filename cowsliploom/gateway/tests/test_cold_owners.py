"""A cold server has one owner at most, also while members come and go."""

import asyncio

import pytest

from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway.tests.test_store_view import RecordingLog
from cowsliploom.gateway.tests.test_update_propagation import ManualClock
from cowsliploom.members import MembershipTable, Member, LivenessRecord

APPLY_MS = 3000
NAMES = tuple('abcdefg')
SERVERS = tuple(f'i-{number}' for number in range(20))


def member(name):
    """Return a member."""
    return Member(name, f'{name}:1', 'de')


def make_peers(name, clock, seeds):
    """Return the peers of a daemon that has just started."""
    desk = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
    known = MembershipTable(member(name), seeds, 1)
    store_view = StoreView(desk, RecordingLog(), APPLY_MS)
    return Peers(known, store_view, RecordingLog(), Metrics(), clock.read, APPLY_MS)


def hear(fleet, names):
    """Let members hear of some others, and look who is live."""
    for peers in fleet:
        sightings = [LivenessRecord(member(name), 0) for name in names]
        peers.known.record(sightings, peers.now_ms())
        peers._refresh_members()


def owners(fleet):
    """Return how many members own each server."""
    return {sum(peers.owns(server) for peers in fleet) for server in SERVERS}


def play(script, seeds=('a:1', 'b:1', 'c:1')):
    """Run a script on a fleet that has just started."""

    async def run():
        clock = ManualClock()
        script([make_peers(name, clock, seeds) for name in NAMES], clock)

    asyncio.run(run())


def test_each_server_has_one_owner_once_members_are_settled():
    def script(fleet, clock):
        hear(fleet, NAMES)
        clock.now_ms = 1000
        assert owners(fleet) == {1}

    play(script)


@pytest.mark.parametrize('now_ms', [0, 999, 5000])
def test_processes_that_know_nobody_yet_own_nothing(now_ms):
    """After a restart of all, each of them owned all cold servers."""

    def script(fleet, clock):
        hear(fleet, ())
        clock.now_ms = now_ms
        assert owners(fleet) == {0}

    play(script)


def test_a_member_without_others_owns_all():
    def script(fleet, clock):
        hear(fleet[:1], ())
        clock.now_ms = 1000
        assert owners(fleet[:1]) == {1}

    play(script, seeds=('a:1',))


def test_a_frozen_member_that_wakes_owns_nothing():
    """All others seemed gone to it, so it owned all servers."""

    def script(fleet, clock):
        hear(fleet, NAMES)
        clock.now_ms = 9000
        hear(fleet[1:], NAMES[1:])
        clock.now_ms = 10_000
        assert not any(fleet[0].owns(server) for server in SERVERS)
        assert owners(fleet[1:]) == {1}

    play(script)


@pytest.mark.parametrize(('held_ms', 'taken_over'), [(999, False), (1000, True)])
def test_who_takes_over_waits_until_the_former_owner_must_know(held_ms, taken_over):
    def script(fleet, clock):
        hear(fleet, NAMES)
        clock.now_ms = 4500
        hear(fleet[1:], NAMES[1:])
        clock.now_ms = 4500 + held_ms
        assert owners(fleet[1:]) == {int(taken_over)}

    play(script)
