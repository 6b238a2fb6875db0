"""Ownership in simulated time: at most one owner, and recovery after faults."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowsliploom.coordination import (
    LeaveRequested,
    Node,
    Ownership,
    rank_names,
)
from cowsliploom.coordination.tests.fleet_loop import FleetLoop, start_fleet
from cowsliploom.coordination.tests.ownership_checker import OwnershipChecker
from cowsliploom.members import rendezvous_score

SERVERS = tuple((f'server-{number}', 'de') for number in range(8))
FAULTS_MAX = 8
SETTLE_MS = 40_000


def judged(places, seed=1, servers=SERVERS, rates=None, **options):
    loop = start_fleet(FleetLoop(seed, **options), places, rates)
    judge = OwnershipChecker(loop, servers)
    loop.run_until(judge.all_owned, SETTLE_MS)
    return loop, judge


def play_fault(loop, judge, fault):
    """Inject one fault of a given duration."""
    kind, number, span_ms = fault
    names = sorted(loop.vms)
    name = names[number % len(names)]
    match kind:
        case 'freeze':
            loop.freeze(name)
            loop.at(span_ms, loop.resume, name)
        case 'restart':
            if not loop.vms[name].is_frozen:
                restart(loop, judge, name, span_ms)
        case 'leave':
            if not loop.vms[name].is_frozen:
                loop.feed(name, LeaveRequested)
                restart(loop, judge, name, span_ms)
        case 'lonely':
            partner = names[(number + 1) % len(names)]
            loop.cut([name], [partner])
            loop.at(span_ms, loop.heal)
        case 'partition':
            own = [vm_name for vm_name in names if place(loop, vm_name) == 'de']
            loop.cut(own, [vm_name for vm_name in names if vm_name not in own])
            loop.at(span_ms, loop.heal)


def place(loop, name):
    return loop.vms[name].me.data_centre


def restart(loop, judge, name, span_ms):
    data_centre = place(loop, name)
    loop.kill(name)

    def begin():
        if loop.vms[name].is_dead:
            rate = loop.random.uniform(0.99, 1.01)
            loop.start(name, data_centre, rate, seeds=loop.listed())
            judge.watch(name)

    loop.at(span_ms, begin)


faults = st.lists(
    st.tuples(
        st.integers(200, 6000),
        st.sampled_from(['freeze', 'restart', 'leave', 'lonely', 'partition']),
        st.integers(0, 7),
        st.integers(100, 25_000),
    ),
    max_size=FAULTS_MAX,
)


def play_faults(seed, drawn, **options):
    rates = [random.Random(seed + turn).uniform(0.99, 1.01) for turn in range(5)]
    places = ('de', 'de', 'de', 'gogledd', 'gogledd')
    loop, judge = judged(places, seed, rates=rates, **options)
    for wait_ms, *fault in drawn:
        loop.run(wait_ms)
        play_fault(loop, judge, fault)
    loop.run(30_000)
    loop.heal()
    for name in loop.vms:
        loop.resume(name)
    loop.list_all()
    return loop, judge


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 10_000), faults, st.sampled_from([0, 0.02]))
def test_two_owners_never_overlap_and_one_returns(seed, drawn, loss):
    loop, judge = play_faults(seed, drawn, loss=loss)
    loop.run_until(judge.all_owned, SETTLE_MS)
    assert not judge.overlaps
    loop.run_until(lambda: owns_as_elected(loop, judge), SETTLE_MS)


def owns_as_elected(loop, judge):
    """Compare the owners with the result of one central election."""
    names = [name for name in loop.vms if place(loop, name) == 'de']
    return all(
        judge.owners(server)
        == {max((rendezvous_score(server, name), name) for name in names)[1]}
        for server, _ in SERVERS
    )


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 10_000))
def test_quiet_fleet_owns_as_a_central_election(seed):
    places = ('de',) * 5 + ('gogledd',) * 2
    loop, judge = judged(places, seed)
    assert owns_as_elected(loop, judge)


@pytest.mark.parametrize('gap_ms', [0, 500, 3000, 12_000])
def test_rolling_restart_has_no_overlapping_owners(gap_ms):
    loop, judge = judged(('de',) * 4)
    for number in range(4):
        restart(loop, judge, f'vm-{number}', 300)
        loop.run(300 + gap_ms)
    loop.run_until(judge.all_owned, SETTLE_MS)
    assert not judge.overlaps


@pytest.mark.parametrize('down_ms', [100, 5000, 60_000])
def test_simultaneous_restart_has_no_overlapping_owners(down_ms):
    loop, judge = judged(('de',) * 4 + ('gogledd',) * 3)
    for name in tuple(loop.vms):
        restart(loop, judge, name, down_ms)
    loop.run(down_ms + 100)
    loop.list_all()
    loop.run_until(judge.all_owned, SETTLE_MS)
    assert not judge.overlaps


def test_restart_of_large_data_centre_has_no_overlapping_owners():
    """Views must agree within the hold-off even if all members are new."""
    loop = start_fleet(FleetLoop(1), ('de',) * 150)
    judge = OwnershipChecker(loop, SERVERS[:4])
    loop.run(30_000)
    assert not judge.overlaps
    assert judge.all_owned()


@pytest.mark.parametrize('frozen_ms', [1000, 2400, 5000, 60_000])
def test_resumed_owner_owns_nothing_that_others_may_own(frozen_ms):
    loop, judge = judged(('de',) * 3)
    for name in ('vm-0', 'vm-1', 'vm-2'):
        loop.freeze(name)
        loop.run(frozen_ms)
        vm = loop.vms[name]
        now_ms = vm.local_ms(loop.now_ms)
        if frozen_ms >= loop.settings.quiet_ms:
            assert not any(vm.node.owns(server, now_ms) for server, _ in SERVERS)
        loop.resume(name)
        loop.run_until(judge.all_owned, SETTLE_MS)
    assert not judge.overlaps


def test_lone_member_frozen_while_another_joins_does_not_act_on_resume():
    loop, judge = judged(('de',))
    loop.freeze('vm-0')
    loop.start('vm-1', 'de', seeds=loop.listed())
    judge.watch('vm-1')
    loop.run_until(lambda: judge.owners('server-0') == {'vm-1'}, SETTLE_MS)
    loop.resume('vm-0')
    loop.run_until(lambda: judge.all_owned(), SETTLE_MS)
    assert not judge.overlaps


def test_new_member_without_list_or_peer_owns_nothing():
    loop = FleetLoop(1)
    loop.start('vm-0', 'de')
    judge = OwnershipChecker(loop, SERVERS)
    loop.run(SETTLE_MS)
    assert judge.owners('server-0') == set()


def test_survivor_of_two_takes_over_without_the_store():
    loop, judge = judged(('de', 'de'))
    loop.kill('vm-0')
    loop.run_until(judge.all_owned, 20_000)
    assert not judge.overlaps


def test_servers_of_empty_data_centre_are_owned_by_one_other():
    places = ('gogledd',) * 2 + ('canolbarth',) * 2
    loop, judge = judged(places)
    chosen = rank_names(SERVERS[0][0], ('gogledd', 'canolbarth'), 1)[0]
    owners = judge.owners(SERVERS[0][0])
    assert {place(loop, owner) for owner in owners} == {chosen}
    loop.start('vm-9', 'de', seeds=loop.listed())
    judge.watch('vm-9')
    loop.run_until(lambda: judge.owners(SERVERS[0][0]) == {'vm-9'}, SETTLE_MS)
    assert not judge.overlaps


def test_partitioned_data_centre_keeps_its_servers():
    loop, judge = judged(('de', 'de', 'gogledd', 'gogledd'))
    loop.cut(['vm-0', 'vm-1'], ['vm-2', 'vm-3'])
    for _ in range(60):
        loop.run(1000)
        assert judge.all_owned()
        assert all(place(loop, name) == 'de' for name in judge.owners('server-0'))
    assert not judge.overlaps


def test_split_inside_data_centre_elects_two_owners():
    """Without a store, dead members can't be distinguished from partitioned ones."""
    loop, judge = judged(('de',) * 4)
    loop.cut(['vm-0', 'vm-1'], ['vm-2', 'vm-3'])
    loop.run(60_000)
    assert judge.overlaps


def test_split_shorter_than_hold_off_has_no_overlapping_owners():
    loop, judge = judged(('de',) * 4)
    loop.cut(['vm-0', 'vm-1'], ['vm-2', 'vm-3'])
    loop.run(loop.settings.hold_off_ms)
    loop.heal()
    loop.run_until(judge.all_owned, SETTLE_MS)
    assert not judge.overlaps


class _OwnershipThatNeverGivesUp(Ownership):
    def _has_recent_contact(self, now_ms):
        return not self.has_left


class _OwnershipThatNeverWaits(Ownership):
    def owns(self, server, now_ms):
        return self.elected_owner(
            server
        ) == self.self_name and self._has_recent_contact(now_ms)


class _OwnershipWithoutHoldOffAfterGap(Ownership):
    def _record_contact(self, contact_ms, now_ms=None):
        self._contact_ms = contact_ms


def node_type(ownership_type):
    class FaultyNode(Node):  # noqa: WPS431 - one node type for each fault
        def __init__(self, self_member, membership_settings, seed):
            super().__init__(self_member, membership_settings, seed)
            self.ownership = ownership_type(
                self_member.name, self_member.data_centre, membership_settings
            )

    return FaultyNode


FREEZE_THEN_RESTART = [
    (1000, 'freeze', 0, 20_000),
    (30_000, 'restart', 1, 300),
    (500, 'freeze', 2, 9000),
]


@pytest.mark.parametrize(
    'ownership_type',
    [
        _OwnershipThatNeverGivesUp,
        _OwnershipThatNeverWaits,
        _OwnershipWithoutHoldOffAfterGap,
    ],
)
def test_seeded_ownership_fault_is_detected(ownership_type):
    found = 0
    for seed in range(5):
        _, judge = play_faults(
            seed, FREEZE_THEN_RESTART, node_type=node_type(ownership_type)
        )
        found += len(judge.overlaps)
    assert found


def test_same_faults_cause_no_overlap_without_seeded_fault():
    for seed in range(5):
        _, judge = play_faults(seed, FREEZE_THEN_RESTART)
        assert not judge.overlaps


class _OwnershipWithoutReelection(Ownership):
    def _elect_after(self, now_ms, joined, gone):
        super()._elect_after(now_ms, joined, frozenset())


def test_central_election_detects_a_seeded_fault():
    loop, judge = judged(('de',) * 4, node_type=node_type(_OwnershipWithoutReelection))
    loop.kill('vm-0')
    loop.vms.pop('vm-0')
    loop.run(SETTLE_MS)
    assert not owns_as_elected(loop, judge)
    healthy, healthy_judge = judged(('de',) * 4)
    healthy.kill('vm-0')
    healthy.vms.pop('vm-0')
    healthy.run(SETTLE_MS)
    assert owns_as_elected(healthy, healthy_judge)
