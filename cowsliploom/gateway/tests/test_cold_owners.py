"""A cold server has at most one owner, also while the membership changes."""

import asyncio

import pytest

from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway.tests.test_store_view import RecordingLog
from cowsliploom.gateway.tests.test_update_propagation import ManualClock
from cowsliploom.members import LivenessRecord, Member, MembershipTable

APPLY_MS = 3000
NAMES = tuple('abcdefg')
SERVERS = tuple(f'i-{number}' for number in range(20))


def member(name):
    """Return a member with a name."""
    return Member(name, f'{name}:1', 'de')


def make_peers(name, clock, seeds):
    """Return the ``Peers`` of a newly started daemon."""
    dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
    known = MembershipTable(member(name), seeds, 1)
    store_view = StoreView(dispatcher, RecordingLog(), APPLY_MS)
    return Peers(known, store_view, RecordingLog(), Metrics(), clock.read, APPLY_MS)


def receive_records(fleet, names):
    """Give members liveness records of others, and update their live members."""
    for peers in fleet:
        records = [LivenessRecord(member(name), 0) for name in names]
        peers.known.record(records, peers.now_ms())
        peers._refresh_members()


def owners(fleet):
    """Return the set of the numbers of owners over all servers."""
    return {sum(peers.owns(server) for peers in fleet) for server in SERVERS}


def run_script(script, seeds=('a:1', 'b:1', 'c:1')):
    """Run a script on a newly started fleet."""

    async def run():
        clock = ManualClock()
        script([make_peers(name, clock, seeds) for name in NAMES], clock)

    asyncio.run(run())


def test_each_server_has_one_owner_once_membership_is_settled():
    def script(fleet, clock):
        receive_records(fleet, NAMES)
        clock.now_ms = 1000
        assert owners(fleet) == {1}

    run_script(script)


@pytest.mark.parametrize('now_ms', [0, 999, 5000])
def test_processes_without_known_members_own_nothing(now_ms):
    """Guard against each process owning all cold servers after a full restart."""

    def script(fleet, clock):
        receive_records(fleet, ())
        clock.now_ms = now_ms
        assert owners(fleet) == {0}

    run_script(script)


def test_single_member_owns_all_servers():
    def script(fleet, clock):
        receive_records(fleet[:1], ())
        clock.now_ms = 1000
        assert owners(fleet[:1]) == {1}

    run_script(script, seeds=('a:1',))


def test_member_that_resumes_after_freeze_owns_nothing():
    """Guard against a resumed member that sees no live members owning all servers."""

    def script(fleet, clock):
        receive_records(fleet, NAMES)
        clock.now_ms = 9000
        receive_records(fleet[1:], NAMES[1:])
        clock.now_ms = 10_000
        assert not any(fleet[0].owns(server) for server in SERVERS)
        assert owners(fleet[1:]) == {1}

    run_script(script)


@pytest.mark.parametrize(('held_ms', 'is_taken_over'), [(999, False), (1000, True)])
def test_new_owner_takes_over_after_the_hold_time(held_ms, is_taken_over):
    """The hold time lets the former owner learn of the change first."""

    def script(fleet, clock):
        receive_records(fleet, NAMES)
        clock.now_ms = 4500
        receive_records(fleet[1:], NAMES[1:])
        clock.now_ms = 4500 + held_ms
        assert owners(fleet[1:]) == {int(is_taken_over)}

    run_script(script)


def test_member_whose_clock_stood_still_owns_nothing_for_the_hold_time():
    """Guard against two owners after a suspension that the clock leaves out."""

    def script(fleet, clock):
        receive_records(fleet, NAMES)
        clock.now_ms = 1000
        fleet[0].resume()
        assert not any(fleet[0].owns(server) for server in SERVERS)
        clock.now_ms = 2000
        assert owners(fleet) == {1}

    run_script(script)
