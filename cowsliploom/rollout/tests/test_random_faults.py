"""Exposure and completion during randomly drawn faults, often two at once."""

import os
import random
from dataclasses import dataclass

import pytest

from cowsliploom.rollout.tests.exposure_simulation import ExposureSimulation
from cowsliploom.rollout.tests.move_simulation import good
from cowsliploom.rollout.tests.test_exposure import (
    BAD_VERSIONS,
    OLD_VERSION_FAULTS,
    PLATFORM_FAULTS,
    completion_failures,
    violations,
)

# Manual runs use 200 seeds.
SEEDS = range(2000, 2000 + int(os.environ.get('EXPOSURE_DRAWS', '20')))

# Steps delayed by the store shortened the last ones, which give the most evidence.
DELAYED_STEPS = (1005, 1061, 1114, 1130, 1147, 1189)

# An inconclusive test held the share, and calls were too few for a conclusive one.
INCONCLUSIVE = (1111, 2145)

# Old calls in the first evidence that a new judge received made few requests look many.
STALE_COUNTS = (2095, 2169, 2193)


@dataclass(frozen=True)
class FaultCase:
    """Case drawn from a seed; few requests and short moves are the hard ones."""

    seed: int
    new: str
    old: str
    platform_faults: tuple[str, ...]
    calls_per_s: float
    given_ms: float
    cold_ms: float

    def simulate(self, new):
        """Simulate the case with a new version."""
        injections = [PLATFORM_FAULTS[name]() for name in self.platform_faults]

        def inject_fault(simulation, since_ms):
            for inject in injections:
                inject(simulation, since_ms)

        return ExposureSimulation(
            seed=self.seed,
            calls_per_s=self.calls_per_s,
            finish_by_ms=self.given_ms,
            cold_ms=self.cold_ms,
            old=OLD_VERSION_FAULTS[self.old],
            new=new,
            inject_fault=inject_fault,
        ).simulate()


def draw_case(seed):
    """Draw a case from a seed."""
    rng = random.Random(seed)
    return FaultCase(
        seed,
        new=rng.choice(sorted(BAD_VERSIONS)),
        old=rng.choice(sorted(OLD_VERSION_FAULTS)),
        platform_faults=tuple(
            rng.sample(sorted(PLATFORM_FAULTS), rng.choice([0, 1, 1, 2]))
        ),
        calls_per_s=rng.choice([11, 13, 16, 20]),
        given_ms=rng.choice([12_000, 15_000, 20_000]),
        cold_ms=rng.choice([0, 0, 3000, 60_000]),
    )


@pytest.mark.parametrize('seed', (*DELAYED_STEPS, *INCONCLUSIVE, *STALE_COUNTS, *SEEDS))
def test_bad_version_is_contained_during_random_faults(seed):
    case = draw_case(seed)
    assert not violations(case.simulate(BAD_VERSIONS[case.new])), case


@pytest.mark.parametrize('seed', SEEDS)
def test_good_version_finishes_in_time_during_random_faults(seed):
    case = draw_case(seed)
    assert not completion_failures(case.simulate(good)), case
