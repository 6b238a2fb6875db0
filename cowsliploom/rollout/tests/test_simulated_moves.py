"""Complete version moves of good and bad versions with several daemons."""

import pytest

from cowsliploom.rollout import SHARES, MoveStatus
from cowsliploom.rollout.tests.move_simulation import (
    GOSSIP_MS,
    MoveSimulation,
    Outcome,
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

BAD_VERSIONS = {
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
GOOD_VERSIONS = {
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


@pytest.mark.parametrize('case', BAD_VERSIONS)
def test_bad_version_is_rolled_back(case):
    simulation = MoveSimulation(seed=3, new=BAD_VERSIONS[case]).run(1.6 * MINUTE_MS)
    state = simulation.store.state()
    assert state.status is MoveStatus.ROLLED_BACK
    assert state.reason
    assert not any(simulation.shares)
    assert simulation.stopped_ms <= simulation.vetoed_ms + STOP_MS


@pytest.mark.parametrize('case', GOOD_VERSIONS)
def test_good_version_finishes_in_time(case):
    simulation = MoveSimulation(seed=4, **GOOD_VERSIONS[case]).run(1.5 * MINUTE_MS)
    assert simulation.store.state().status is MoveStatus.FINISHED
    assert simulation.finished_ms <= MINUTE_MS
    assert not any(rollout.vetoes() for rollout in simulation.rollouts)


@pytest.mark.parametrize('case', ['fails_often', 'slows'])
def test_veto_stops_bad_version_without_store_or_controller(case):
    simulation = MoveSimulation(seed=5, new=later(20_000, BAD_VERSIONS[case])).run(
        20_000
    )
    share = max(simulation.shares)
    simulation.store.out = True
    simulation.dead.add(int(simulation.store.holder.removeprefix('entry-')[0]))
    live = [idx for idx in range(simulation.daemons) if idx not in simulation.dead]
    simulation.run(35_000)
    assert simulation.stopped_ms <= simulation.vetoed_ms + STOP_MS
    assert not any(simulation.shares[idx] for idx in live)
    assert share <= SHARES[5]
    simulation.store.out = False
    simulation.run(60_000)
    assert simulation.store.state().status is MoveStatus.ROLLED_BACK


def test_share_is_unchanged_during_store_outage():
    simulation = MoveSimulation(seed=6).run(15_000)
    simulation.store.out = True
    simulation.run(16_000)
    frozen = list(simulation.shares)
    simulation.run(50_000)
    assert simulation.shares == frozen
    simulation.store.out = False
    simulation.run(52_000)
    assert max(simulation.shares) <= SHARES[SHARES.index(frozen[0]) + 1]


def test_next_controller_finishes_move_after_a_crash():
    simulation = MoveSimulation(seed=7).run(15_000)
    simulation.dead.add(int(simulation.store.holder.removeprefix('entry-')[0]))
    simulation.run(MINUTE_MS)
    assert simulation.store.state().status is MoveStatus.FINISHED
    assert simulation.store.token == 2


def test_partitioned_daemon_raises_its_own_veto():
    simulation = MoveSimulation(seed=8, daemons=2, new=later(20_000, fails(0.5))).run(
        15_000
    )
    simulation.cut.add(0)
    simulation.run(50_000)
    assert all(rollout.vetoes() for rollout in simulation.rollouts)
    assert not any(simulation.shares)


def test_next_generation_restarts_after_roll_back():
    simulation = MoveSimulation(seed=9, new=fails(0.5)).run(MINUTE_MS)
    assert simulation.store.state().status is MoveStatus.ROLLED_BACK
    simulation.new = fails(0)
    simulation.declare(configuration(2 * MINUTE_MS, generation=2))
    simulation.run(2 * MINUTE_MS)
    state = simulation.store.state()
    assert (state.generation, state.status) == (2, MoveStatus.FINISHED)


def test_late_fact_does_not_restore_share_after_roll_back():
    simulation = MoveSimulation(seed=10, new=fails(0.5)).run(MINUTE_MS)
    stale = simulation.store.values['move']
    assert not any(simulation.shares)
    simulation.run(simulation.now_ms + 10 * GOSSIP_MS)
    assert not any(simulation.shares)
    assert simulation.store.values['move'] == stale
