"""Whole version moves, good and bad in each way, on several daemons."""

import pytest

from cowsliploom.rollout import SHARES, MoveStatus
from cowsliploom.rollout.tests.move_simulation import (
    GOSSIP_MS,
    Outcome,
    MoveSimulation,
    configuration,
    fails,
    fails_fast,
    later,
    on_route,
    on_server,
    slows,
    under_load,
)

MINUTE_MS = 60_000
STOP_MS = 3000

BAD = {
    'fails_always': fails(1),
    'fails_often': fails(0.3),
    'fails_at_times': fails(0.1),
    'fails_fast': fails_fast,
    'slows': slows(3),
    'slows_mildly': slows(2),
    'fails_later': later(20_000, fails(0.3)),
    'slows_later': later(20_000, slows(3)),
    'fails_under_load': under_load(0.35, fails(0.3)),
    'slows_under_load': under_load(0.35, slows(3)),
    'fails_on_one_route': on_route('briefing', fails(0.3)),
    'slows_on_one_route': on_route('briefing', slows(3)),
    'fails_after_the_move': later(60_000, fails(0.3)),
    'slows_after_the_move': later(60_000, slows(3)),
}
GOOD = {
    'plain': {},
    'low_traffic': {'calls_per_s': 2},
    'one_server': {'servers': 1},
    'long_cold': {'cold_ms': 30_000},
    'one_bad_server': {'new': on_server('v2-0', fails(0.5))},
    'both_fail_alike': {'new': fails(0.1), 'old': fails(0.1)},
    'both_slow_down': {
        'new': later(20_000, slows(4)),
        'old': lambda call: Outcome(slowdown=4 if call.now_ms > 21_000 else 1),
    },
    'faster': {'new': slows(0.5)},
}


@pytest.mark.parametrize('case', BAD)
def test_bad_version_is_taken_back(case):
    world = MoveSimulation(seed=3, new=BAD[case]).run(1.6 * MINUTE_MS)
    state = world.store.state()
    assert state.status is MoveStatus.ROLLED_BACK
    assert state.reason
    assert not any(world.shares)
    assert world.stopped_ms <= world.vetoed_ms + STOP_MS


@pytest.mark.parametrize('case', GOOD)
def test_good_version_is_done_in_time(case):
    world = MoveSimulation(seed=4, **GOOD[case]).run(1.5 * MINUTE_MS)
    assert world.store.state().status is MoveStatus.FINISHED
    assert world.finished_ms <= MINUTE_MS
    assert not any(rollout.vetoes() for rollout in world.rollouts)


@pytest.mark.parametrize('case', ['fails_often', 'slows'])
def test_bad_version_stops_with_store_out_and_controller_dead(case):
    world = MoveSimulation(seed=5, new=later(20_000, BAD[case])).run(20_000)
    share = max(world.shares)
    world.store.out = True
    world.dead.add(int(world.store.holder.removeprefix('entry-')[0]))
    live = [idx for idx in range(world.daemons) if idx not in world.dead]
    world.run(35_000)
    assert world.stopped_ms <= world.vetoed_ms + STOP_MS
    assert not any(world.shares[idx] for idx in live)
    assert share <= SHARES[5]
    world.store.out = False
    world.run(60_000)
    assert world.store.state().status is MoveStatus.ROLLED_BACK


def test_share_stays_while_the_store_is_out():
    world = MoveSimulation(seed=6).run(15_000)
    world.store.out = True
    world.run(16_000)
    frozen = list(world.shares)
    world.run(50_000)
    assert world.shares == frozen
    world.store.out = False
    world.run(52_000)
    assert max(world.shares) <= SHARES[SHARES.index(frozen[0]) + 1]


def test_move_goes_on_after_its_controller_died():
    world = MoveSimulation(seed=7).run(15_000)
    world.dead.add(int(world.store.holder.removeprefix('entry-')[0]))
    world.run(MINUTE_MS)
    assert world.store.state().status is MoveStatus.FINISHED
    assert world.store.token == 2


def test_cut_off_daemon_judges_by_itself():
    world = MoveSimulation(seed=8, daemons=2, new=later(20_000, fails(0.5))).run(15_000)
    world.cut.add(0)
    world.run(50_000)
    assert all(rollout.vetoes() for rollout in world.rollouts)
    assert not any(world.shares)


def test_next_generation_starts_anew_after_taking_back():
    world = MoveSimulation(seed=9, new=fails(0.5)).run(MINUTE_MS)
    assert world.store.state().status is MoveStatus.ROLLED_BACK
    world.new = fails(0)
    world.declare(configuration(2 * MINUTE_MS, generation=2))
    world.run(2 * MINUTE_MS)
    state = world.store.state()
    assert (state.generation, state.status) == (2, MoveStatus.FINISHED)


def test_taken_back_version_gets_no_new_share_from_a_late_fact():
    world = MoveSimulation(seed=10, new=fails(0.5)).run(MINUTE_MS)
    stale = world.store.values['move']
    assert not any(world.shares)
    world.run(world.now_ms + 10 * GOSSIP_MS)
    assert not any(world.shares)
    assert world.store.values['move'] == stale
