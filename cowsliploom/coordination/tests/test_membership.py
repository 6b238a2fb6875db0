"""Membership in simulated time: join, detection, refutation, leave, partitions."""

import pytest

from cowsliploom.coordination import (
    Frame,
    FrameKind,
    LeaveRequested,
    Member,
    MembersChanged,
    Membership,
    MembershipSettings,
    MemberUpdate,
    PeerAnswered,
    PeerCalled,
    SeedsListed,
    Superseded,
    Ticked,
    check_membership_settings,
)
from cowsliploom.coordination.tests.fleet_loop import FleetLoop, start_fleet

WALES = ('gogledd',) * 3 + ('canolbarth',) * 3 + ('de',) * 2
SEMENANJUNG = ('a', 'a', 'b', 'b', 'c', 'c', 'd')


def views_agree(loop):
    names = frozenset(name for name, vm in loop.vms.items() if vm.is_running)
    return all(view == names for view in loop.live_views().values())


def start_converged_fleet(places, seed=1, **options):
    loop = start_fleet(FleetLoop(seed, **options), places)
    loop.run_until(lambda: views_agree(loop), 20_000)
    return loop


@pytest.mark.parametrize('places', [WALES, SEMENANJUNG, ('de',) * 30, ('de',)])
@pytest.mark.parametrize('loss', [0, 0.05])
def test_members_join_through_seeds(places, loss):
    start_converged_fleet(places, loss=loss)


@pytest.mark.parametrize(('size', 'bound_ms'), [(2, 6000), (5, 6000), (40, 7500)])
def test_killed_member_is_removed_by_all_within_bound(size, bound_ms):
    loop = start_converged_fleet(('de',) * size)
    loop.run(5000)
    loop.kill('vm-1')
    assert loop.run_until(lambda: views_agree(loop), bound_ms) > 2000


def test_views_agree_soon_after_simultaneous_start():
    loop = start_fleet(FleetLoop(1), ('de',) * 150)
    bound_ms = loop.settings.dissemination_ms
    loop.run_until(lambda: views_agree(loop), bound_ms)


def test_members_with_equal_views_send_no_updates():
    loop = start_fleet(FleetLoop(1), ('de',) * 150)
    loop.run(15_000)
    carried = []
    loop.on_frame = lambda vm, content: carried.append(len(content.updates))
    loop.run(3000)
    assert not any(carried)


def test_unresponsive_listed_members_are_tried_at_the_low_rate():
    loop = start_converged_fleet(('de',) * 3)
    unresponsive = tuple(
        Member(f'ghost-{number}', 'nowhere', 'de') for number in range(4)
    )
    loop.list_seeds('vm-0', (*loop.listed(), *unresponsive))
    loop.run(10_000)
    loop.counts.clear()
    loop.run(30_000)
    probes = 3 * 30_000 / loop.settings.probe_interval_ms
    assert loop.counts['calls'] <= probes * 1.15


def test_leaving_member_is_removed_within_a_second():
    loop = start_converged_fleet(WALES)
    loop.run(5000)
    loop.feed('vm-0', LeaveRequested)
    loop.kill('vm-0')
    own = ('vm-1', 'vm-2')
    assert (
        loop.run_until(
            lambda: all('vm-0' not in loop.live_views()[name] for name in own), 2000
        )
        <= 1000
    )
    loop.run_until(lambda: views_agree(loop), 5000)


@pytest.mark.parametrize('frozen_ms', [500, 1500, 2500])
def test_freeze_shorter_than_suspicion_removes_no_member(frozen_ms):
    loop = start_converged_fleet(('de',) * 8)
    all_names = frozenset(loop.vms)
    for turn in range(6):
        name = f'vm-{turn}'
        loop.freeze(name)
        loop.run(frozen_ms)
        loop.resume(name)
        loop.run(3000)
        assert set(loop.live_views().values()) == {all_names}


def test_frozen_member_is_removed_then_refutes_by_higher_incarnation():
    loop = start_converged_fleet(('de',) * 6)
    before = loop.vms['vm-2'].me.incarnation
    loop.freeze('vm-2')
    loop.run_until(lambda: views_agree(loop), 8000)
    loop.resume('vm-2')
    loop.run_until(lambda: views_agree(loop), 8000)
    assert loop.vms['vm-2'].me.incarnation > before


def test_simultaneous_freeze_of_all_members_removes_none():
    loop = start_converged_fleet(('de',) * 6)
    all_names = frozenset(loop.vms)
    for name in all_names:
        loop.freeze(name)
    loop.run(60_000)
    for name in all_names:
        loop.resume(name)
    for _ in range(60):
        loop.run(100)
        assert set(loop.live_views().values()) == {all_names}


def test_partition_between_data_centres_removes_no_member_and_is_reported():
    loop = start_converged_fleet(WALES)
    here = [f'vm-{number}' for number in range(3)]
    away = [f'vm-{number}' for number in range(3, 8)]
    loop.cut(here, away)
    loop.run(60_000)
    assert views_agree(loop)
    changes = [
        event
        for _, event in loop.vms['vm-0'].events
        if isinstance(event, MembersChanged)
    ]
    assert changes[-1].unreachable == ('canolbarth', 'de')
    loop.heal()
    loop.run(10_000)
    _, last = loop.vms['vm-0'].events[-1]
    assert not last.unreachable


def test_partition_within_data_centre_heals_without_platform_list():
    loop = start_converged_fleet(('de',) * 6)
    loop.cut(['vm-0', 'vm-1'], ['vm-2', 'vm-3', 'vm-4', 'vm-5'])
    loop.run(20_000)
    assert loop.live_views()['vm-0'] == {'vm-0', 'vm-1'}
    loop.heal()
    loop.run_until(lambda: views_agree(loop), 20_000)


def test_cut_between_two_members_is_covered_by_indirect_probes():
    loop = start_converged_fleet(('de',) * 6)
    all_names = frozenset(loop.vms)
    loop.cut(['vm-0'], ['vm-1'])
    for _ in range(40):
        loop.run(500)
        assert set(loop.live_views().values()) == {all_names}


def test_restarted_member_is_known_by_its_new_incarnation():
    loop = start_converged_fleet(('de',) * 5)
    old = loop.vms['vm-3'].me
    loop.kill('vm-3')
    loop.start('vm-3', 'de', seeds=loop.listed())
    new = loop.vms['vm-3'].me
    loop.run(3000)
    for vm in loop.vms.values():
        known = {update.member for update in vm.node.membership.live_updates()}
        assert new in known
        assert old not in known


def test_stale_platform_list_restores_no_dead_member():
    loop = start_converged_fleet(('de',) * 5)
    stale = loop.listed()
    loop.kill('vm-4')
    loop.run_until(lambda: views_agree(loop), 8000)
    for name in loop.running():
        loop.list_seeds(name, stale)
    for _ in range(20):
        loop.run(500)
        assert views_agree(loop)


def test_empty_data_centre_is_pruned_only_by_platform_list():
    loop = start_converged_fleet(WALES)
    for name in ('vm-6', 'vm-7'):
        loop.kill(name)
    loop.run(30_000)
    assert 'vm-6' in loop.live_views()['vm-0']
    loop.list_all()
    loop.run(5000)
    assert views_agree(loop)


def test_large_data_centre_is_known_to_others_by_a_sample():
    loop = start_fleet(FleetLoop(3), ('big',) * 30 + ('small',) * 2)
    loop.run(20_000)
    view = loop.live_views()['vm-31']
    assert len(view) == 2 + loop.settings.sample_max
    loop.kill(next(name for name in view if name not in {'vm-30', 'vm-31'}))
    loop.run(20_000)
    view = loop.live_views()['vm-31']
    assert len(view) == 2 + loop.settings.sample_max
    assert view <= set(loop.running())


def test_answer_to_a_closed_call_is_ignored():
    own = Member('vm-1', 'one', 'de', 1)
    membership = Membership(own, MembershipSettings(), seed=1)
    other = Membership(Member('vm-2', 'two', 'de', 1), MembershipSettings(), seed=2)
    membership.step(SeedsListed(0, (Member('vm-2', 'two', 'de'),)))
    call = membership.step(Ticked(0))[0]
    answer = other.step(PeerCalled(0, 9, call.frame))[0]
    membership.step(Ticked(5000))
    assert not membership.step(PeerAnswered(5000, call.call_id, answer.frame))
    assert membership.size() == 1


def test_process_superseded_under_its_name_stops():
    old = Membership(Member('vm-1', 'old', 'de', 1), MembershipSettings(), seed=1)
    new = Member('vm-1', 'new', 'de', 9)
    peer = Member('vm-2', 'two', 'de', 1)
    frame = Frame(FrameKind.PROBE, peer, updates=(MemberUpdate(new),))
    assert Superseded(new) in old.step(PeerCalled(0, 1, frame))
    assert not old.step(Ticked(500))


@pytest.mark.parametrize(
    ('name', 'invalid'), [('probe_interval_ms', 0), ('rings', -1), ('quiet_ms', -5)]
)
def test_invalid_setting_is_reported_with_its_value(name, invalid):
    settings = MembershipSettings(**{name: invalid})
    with pytest.raises(ValueError, match=f'{name}={invalid}, expected'):
        check_membership_settings(settings)
