"""Criteria for holding the share of a new version and for rolling it back."""

import math
from dataclasses import dataclass

from cowsliploom.rollout._moves import DefectKind

HORIZON_BLOCKS = 16_384  # a change up to this block is found as fast as an early one
ATTRIBUTION_WAIT_MS = 2000.0  # after this an unattributed defect is the version's


# Kinds tested against fixed rates. The comparing ones may stay undecided for good once
# the old version gets no more calls.
ANSWER_KINDS = (DefectKind.FAILED_ANSWERS, DefectKind.SLOW_ANSWERS)


@dataclass(frozen=True, slots=True)
class VetoCriteria:
    """Define which defects are tested and how much evidence is enough.

    Parameters
    ----------
    kinds : tuple of DefectKind
        Kinds of defects that are tested. Default: those found by comparing the new
        version with the old one.
    false_veto_ratio : float
        Probability of rolling back a good version, as a multiple of the default one.
    horizon_blocks : int
        Blocks of calls after which a version that turns bad is found more slowly.
    attribution_wait_ms : float
        Time to wait for calls that distinguish a bad server from a bad version.
    inconclusive_e_value : float
        Evidence from which the share isn't raised until the version is cleared.
    unproven_e_value : float
        Evidence by the answers from which the move doesn't finish until the version is
        cleared.
    failed_rate_max, slow_rate_max : float
        Allowed rates of failed and of slow answers, whatever the old version does at
        the time.
    """

    kinds: tuple[DefectKind, ...] = (
        DefectKind.ERRORS,
        DefectKind.SLOW,
        DefectKind.COLD_ERRORS,
    )
    false_veto_ratio: float = 1
    horizon_blocks: int = HORIZON_BLOCKS
    attribution_wait_ms: float = ATTRIBUTION_WAIT_MS
    inconclusive_e_value: float = math.inf
    unproven_e_value: float = math.inf
    failed_rate_max: float = 1
    slow_rate_max: float = 1

    @property
    def counts_answers(self) -> bool:
        """Return whether answers are also counted against fixed rates."""
        return DefectKind.SLOW_ANSWERS in self.kinds


DEFAULT_CRITERIA = VetoCriteria()

# A bad version may give only few bad answers, whatever else fails, and rolling back a
# good version costs less than completing a move to a bad one.
CAUTIOUS_CRITERIA = VetoCriteria(
    kinds=tuple(DefectKind),
    false_veto_ratio=100,
    horizon_blocks=64,
    attribution_wait_ms=500,
    inconclusive_e_value=3,
    unproven_e_value=0.5,
    failed_rate_max=0.03,
    slow_rate_max=0.12,
)
