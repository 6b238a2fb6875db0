"""Bad and good versions beside troubles that are drawn, often two at once."""

import os
import random
from dataclasses import dataclass

import pytest

from cowsliploom.rollout.tests.exposure_simulation import ExposureSimulation
from cowsliploom.rollout.tests.move_simulation import good
from cowsliploom.rollout.tests.test_exposure import (
    BAD,
    OLD_SERVERS,
    OTHER,
    broken,
    unfinished,
)

DRAWN = range(2000, 2000 + int(os.environ.get('EXPOSURE_DRAWS', '20')))  # 200 by hand

# Steps that the store held up made the last ones, which show most, short.
HELD_UP = (1005, 1061, 1114, 1130, 1147, 1189)

# A doubt held the share where it was, and too few calls came to settle it.
HELD_IN_DOUBT = (1111, 2145)

# Calls of long ago, first heard of by a new judge, made few requests look like many.
FIRST_HEARD = (2095, 2169, 2193)


@dataclass(frozen=True)
class Draw:
    """A case that a seed stands for; few requests and short times are the hard ones."""

    seed: int
    new: str
    old: str
    others: tuple[str, ...]
    calls_per_s: float
    given_ms: float
    cold_ms: float

    def play(self, new):
        """Play the case with a new version."""
        strikes = [OTHER[name]() for name in self.others]

        def strike(world, since_ms):
            for one in strikes:
                one(world, since_ms)

        return ExposureSimulation(
            seed=self.seed,
            calls_per_s=self.calls_per_s,
            finish_by_ms=self.given_ms,
            cold_ms=self.cold_ms,
            old=OLD_SERVERS[self.old],
            new=new,
            strike=strike,
        ).play()


def draw(seed):
    """Draw a case."""
    rng = random.Random(seed)
    return Draw(
        seed,
        new=rng.choice(sorted(BAD)),
        old=rng.choice(sorted(OLD_SERVERS)),
        others=tuple(rng.sample(sorted(OTHER), rng.choice([0, 1, 1, 2]))),
        calls_per_s=rng.choice([11, 13, 16, 20]),
        given_ms=rng.choice([12_000, 15_000, 20_000]),
        cold_ms=rng.choice([0, 0, 3000, 60_000]),
    )


@pytest.mark.parametrize('seed', (*HELD_UP, *HELD_IN_DOUBT, *FIRST_HEARD, *DRAWN))
def test_drawn_trouble_hides_no_bad_version(seed):
    case = draw(seed)
    assert not broken(case.play(BAD[case.new])), case


@pytest.mark.parametrize('seed', DRAWN)
def test_good_version_arrives_beside_drawn_trouble(seed):
    case = draw(seed)
    assert not unfinished(case.play(good)), case
