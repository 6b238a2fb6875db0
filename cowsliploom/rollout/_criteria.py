"""How much it takes to hold a new version back, and to take it back."""

import math
from dataclasses import dataclass

from cowsliploom.rollout._moves import BadKind

HORIZON_BLOCKS = 16_384  # a change this late is found as fast as an early one
CLEAR_WAIT_MS = 2000.0  # a version goes when this passes without an explanation


@dataclass(frozen=True, slots=True)
class Strictness:
    """Say what is held against a version, and how much of it is enough.

    Parameters
    ----------
    kinds : tuple of BadKind
        Ways of being bad that are tested. Default: those told by comparing the new
        version with the old one.
    false_veto_ratio : float
        Chance of taking a good version back, as a multiple of the usual one.
    horizon_blocks : int
        Blocks of calls after which a version that turns bad is found more slowly.
    clear_wait_ms : float
        Time that is waited to tell a bad server from a bad version.
    doubt_e_value : float
        Evidence from which a version gets no greater share until it is cleared.
    failed_rate_max, slow_rate_max : float
        Rates of failed and of slow answers that are allowed whatever the old version
        does at the time.
    """

    kinds: tuple[BadKind, ...] = (BadKind.ERRORS, BadKind.SLOW, BadKind.COLD_ERRORS)
    false_veto_ratio: float = 1
    horizon_blocks: int = HORIZON_BLOCKS
    clear_wait_ms: float = CLEAR_WAIT_MS
    doubt_e_value: float = math.inf
    failed_rate_max: float = 1
    slow_rate_max: float = 1

    @property
    def counts_answers(self) -> bool:
        """Tell whether answers are counted by themselves, beside the comparison."""
        return BadKind.SLOW_ANSWERS in self.kinds


COMPARING = Strictness()

# A bad version may give few bad answers, whatever else is in trouble, and a wrongly
# taken back one costs less than a bad one that is completed.
COUNTING = Strictness(
    kinds=tuple(BadKind),
    false_veto_ratio=100,
    horizon_blocks=64,
    clear_wait_ms=500,
    doubt_e_value=3,
    failed_rate_max=0.03,
    slow_rate_max=0.12,
)
