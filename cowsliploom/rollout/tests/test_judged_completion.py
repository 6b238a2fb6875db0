"""No move completes before its version was judged at the share that it completes."""

import os
import random

import pytest

from cowsliploom.rollout import MoveStatus
from cowsliploom.rollout.tests.delayed_simulation import (
    DelayedSimulation,
    Disturbance,
    draw_disturbances,
)
from cowsliploom.rollout.tests.move_simulation import fails, good, slows, under_load

GIVEN_MS = 12_000
SEEDS = range(1, 1 + int(os.environ.get('JUDGED_SEEDS', '40')))
FULL_SHARE_MS = 10_100  # since the move's start; the full share is in force then
VERSIONS = {
    'good': good,
    'fails_at_full_share': under_load(0.9, fails(0.6)),
    'slows_at_full_share': under_load(0.9, slows(5)),
}


def simulate(new, disturbances, seed):
    """Simulate a move with many calls, for which few are needed to judge a version."""
    return DelayedSimulation(
        seed=seed,
        calls_per_s=200,
        finish_by_ms=GIVEN_MS,
        new=VERSIONS[new],
        cold_ms=0,
        disturbances=disturbances,
    ).simulate()


def assert_judged(simulation):
    """Fail if a move was completed unjudged, or to a version that is bad."""
    assert not simulation.unjudged
    state = simulation.store.state()
    if simulation.behaviour is good:
        assert state.status is MoveStatus.FINISHED
    else:
        assert state.status is MoveStatus.ROLLED_BACK


@pytest.mark.parametrize('at_ms', [1500, 4000, 6000, 8000, 9500])
@pytest.mark.parametrize('new', VERSIONS)
def test_frozen_controller_does_not_complete_unjudged(new, at_ms):
    """A woken controller took the overdue steps and completed a bad version."""
    frozen = Disturbance('freeze', 0, at_ms, 3500)
    assert_judged(simulate(new, [frozen], seed=1))


@pytest.mark.parametrize('kind', ['freeze', 'cut', 'kill', 'late'])
@pytest.mark.parametrize('daemon', [0, 1, 3])
@pytest.mark.parametrize('new', VERSIONS)
def test_disturbance_at_the_full_share_does_not_hide_a_bad_version(new, daemon, kind):
    disturbance = Disturbance(kind, daemon, FULL_SHARE_MS, 3000)
    assert_judged(simulate(new, [disturbance], seed=2))


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('new', VERSIONS)
def test_random_delays_do_not_complete_a_move_unjudged(new, seed):
    rng = random.Random(seed)
    disturbances = draw_disturbances(rng, daemons=5, given_ms=GIVEN_MS)
    assert_judged(simulate(new, disturbances, seed))
