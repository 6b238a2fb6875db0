"""Anytime-valid sequential test on a rate of bad calls."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from cowsliploom.rollout._criteria import HORIZON_BLOCKS

EXCESSES = (0.05, 0.2, 0.5, 0.9)  # alternatives: fractions from the allowed rate to 1
E_VALUE_MAX = 1e60  # keeps products finite; far above any threshold


@dataclass(frozen=True, slots=True)
class Block:
    """Hold the calls of a block, the bad ones among them, and the allowed rate."""

    calls: int
    bad: int
    allowed_rate: float


@dataclass(frozen=True, slots=True)
class EProcess:
    """Hold the evidence that the rate of bad calls is above the allowed rate.

    Parameters
    ----------
    wealths : tuple of float
        Betting wealth for each alternative rate in ``EXCESSES``.
    blocks : int
        Blocks of calls so far.

    Notes
    -----
    For each alternative the likelihood ratio against the allowed rate is mixed
    over all blocks at which the rate may have increased, with weights that sum to
    one. While the true rate stays at or below the allowed one, the probability that
    ``e_value`` ever reaches ``1 / alpha`` is at most ``alpha`` (Ville's
    inequality), however often it is examined. The allowed rate may differ from block
    to block as long as it doesn't depend on the calls that it is applied to.

    References
    ----------
    I. Waudby-Smith and A. Ramdas, "Estimating means of bounded random variables
    by betting", Journal of the Royal Statistical Society B, 2024.
    J. Shin, A. Ramdas and A. Rinaldo, "E-detectors: a nonparametric framework for
    sequential change detection", New England Journal of Statistics in Data
    Science, 2024.

    Examples
    --------
    >>> from cowsliploom.rollout import Block, EProcess
    >>> good = EProcess().advance([Block(calls=100, bad=1, allowed_rate=0.05)])
    >>> bad = EProcess().advance([Block(calls=100, bad=40, allowed_rate=0.05)])
    >>> good.e_value < 1 < bad.e_value
    True
    """

    wealths: tuple[float, ...] = (0, 0, 0, 0)
    blocks: int = 0

    @property
    def e_value(self) -> float:
        """Return the evidence; ``1 / alpha`` is significant at level ``alpha``."""
        return sum(self.wealths) / len(self.wealths)

    def advance(
        self, blocks: Iterable[Block], horizon_blocks: int = HORIZON_BLOCKS
    ) -> 'EProcess':
        """Return the evidence after the simultaneous calls of some blocks."""
        simultaneous = tuple(blocks)
        start_weight = _start_weight(self.blocks + 1, horizon_blocks)
        wealths = tuple(
            min(E_VALUE_MAX, (wealth + start_weight) * _ratio(simultaneous, excess))
            for wealth, excess in zip(self.wealths, EXCESSES, strict=True)
        )
        return EProcess(wealths, self.blocks + 1)


def _start_weight(block: int, horizon_blocks: int) -> float:
    """Return the prior weight of a change right before ``block``, counted from 1."""
    early = 1 / (block * (block + 1))
    late = 1 / horizon_blocks if block <= horizon_blocks else 0
    return (early + late) / 2


def _ratio(blocks: tuple[Block, ...], excess: float) -> float:
    log_ratio = sum(_log_ratio(block, excess) for block in blocks)
    return math.exp(min(log_ratio, math.log(E_VALUE_MAX)))


def _log_ratio(block: Block, excess: float) -> float:
    allowed = block.allowed_rate
    rate = allowed + (1 - allowed) * excess
    good = block.calls - block.bad
    log_bad = block.bad * math.log(rate / allowed)
    return log_bad + good * math.log((1 - rate) / (1 - allowed))
