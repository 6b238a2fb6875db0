"""False alarm rate and detection speed of the sequential test."""

import random

import pytest

from cowsliploom.rollout import Block, EProcess

ALPHA = 0.05


def e_values(rng: random.Random, rate: float, blocks: int, calls: int = 5):
    """Yield the e-value after each block."""
    process = EProcess()
    for _ in range(blocks):
        bad = sum(rng.random() < rate for _ in range(calls))
        process = process.advance([Block(calls, bad, 0.1)])
        yield process.e_value


@pytest.mark.parametrize('rate', [0.01, 0.05, 0.1])
def test_false_alarm_rate_is_bounded_at_every_block(rate):
    rng = random.Random(1)
    trials = 300
    false_alarms = sum(
        max(e_values(rng, rate, blocks=400)) >= 1 / ALPHA for _ in range(trials)
    )
    assert false_alarms <= ALPHA * trials


@pytest.mark.parametrize(('rate', 'blocks'), [(1, 3), (0.5, 12), (0.3, 40), (0.2, 150)])
def test_increased_rate_is_detected(rate, blocks):
    rng = random.Random(2)
    detected = sum(max(e_values(rng, rate, blocks)) >= 1 / ALPHA for _ in range(50))
    assert detected >= 45


def test_late_change_is_detected_quickly():
    process = EProcess()
    for _ in range(2000):
        process = process.advance([Block(5, 0, 0.1)])
    blocks = 0
    while process.e_value < 1 / ALPHA:
        process = process.advance([Block(5, 4, 0.1)])
        blocks += 1
    assert blocks <= 4


def test_e_value_stays_finite():
    process = EProcess()
    for _ in range(1000):
        process = process.advance([Block(1000, 1000, 0.01)])
    assert process.e_value < float('inf')
