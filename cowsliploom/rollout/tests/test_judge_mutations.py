"""Faults put into the judge on purpose are caught by the played moves."""

import pytest

from cowsliploom.rollout import MoveStatus
from cowsliploom.rollout.tests.move_simulation import MoveSimulation, fails, slows

RUN_MS = 60_000


@pytest.mark.parametrize(
    ('name', 'broken'),
    [
        ('_move_trial.MOVE_ALPHA', 1000),
        ('_baseline_rates.ERROR_MARGIN', -0.05),
        ('_baseline_rates.BOUND_DEVIATIONS', -15),
    ],
)
def test_judge_that_errs_takes_good_versions_back(name, broken, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.rollout.{name}', broken)
    alike = fails(0.06)
    worlds = [
        MoveSimulation(seed=seed, new=alike, old=alike).run(RUN_MS) for seed in range(4)
    ]
    assert any(world.vetoed_ms <= RUN_MS for world in worlds)


@pytest.mark.parametrize(
    ('name', 'broken', 'bad'),
    [
        ('_move_trial.MOVE_ALPHA', 1e-200, fails(0.3)),
        ('_baseline_rates.SLOW_MARGIN', 0.9, slows(3)),
        ('_sequential.E_VALUE_MAX', 100, fails(0.3)),
    ],
)
def test_judge_that_is_blind_lets_bad_versions_through(name, broken, bad, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.rollout.{name}', broken)
    world = MoveSimulation(seed=1, new=bad).run(RUN_MS)
    assert world.store.state().status is not MoveStatus.ROLLED_BACK
