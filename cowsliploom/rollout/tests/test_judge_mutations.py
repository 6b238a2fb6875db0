"""Mutations of the judge must be detected by the simulated moves."""

import pytest

from cowsliploom.rollout import MoveStatus
from cowsliploom.rollout.tests.move_simulation import MoveSimulation, fails, slows

RUN_MS = 60_000


@pytest.mark.parametrize(
    ('name', 'mutated'),
    [
        ('_move_trial.MOVE_ALPHA', 1000),
        ('_baseline_rates.ERROR_MARGIN', -0.05),
        ('_baseline_rates.BOUND_DEVIATIONS', -15),
    ],
)
def test_too_strict_judge_vetoes_good_versions(name, mutated, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.rollout.{name}', mutated)
    alike = fails(0.06)
    simulations = [
        MoveSimulation(seed=seed, new=alike, old=alike).run(RUN_MS) for seed in range(4)
    ]
    assert any(simulation.vetoed_ms <= RUN_MS for simulation in simulations)


@pytest.mark.parametrize(
    ('name', 'mutated', 'bad'),
    [
        ('_move_trial.MOVE_ALPHA', 1e-200, fails(0.3)),
        ('_baseline_rates.SLOW_MARGIN', 0.9, slows(3)),
        ('_sequential.E_VALUE_MAX', 100, fails(0.3)),
    ],
)
def test_too_lenient_judge_misses_bad_versions(name, mutated, bad, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.rollout.{name}', mutated)
    simulation = MoveSimulation(seed=1, new=bad).run(RUN_MS)
    assert simulation.store.state().status is not MoveStatus.ROLLED_BACK
