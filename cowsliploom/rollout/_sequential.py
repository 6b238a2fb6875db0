"""Sequential test on a rate of bad calls that may be looked at any time."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from cowsliploom.rollout._criteria import HORIZON_BLOCKS

EXCESSES = (0.05, 0.2, 0.5, 0.9)  # alternatives, as parts of the way up to rate 1
E_VALUE_MAX = 1e60  # keeps products finite; far above any threshold


@dataclass(frozen=True, slots=True)
class Block:
    """Hold calls, the bad ones among them, and the rate up to which bad is fine."""

    calls: int
    bad: int
    allowed_rate: float


@dataclass(frozen=True, slots=True)
class EProcess:
    """Hold the evidence that a rate of bad calls is above its allowed bound.

    Parameters
    ----------
    wealths : tuple of float
        One bet for each alternative rate in ``EXCESSES``.
    blocks : int
        Blocks of calls seen.

    Notes
    -----
    For each alternative the likelihood ratio against the allowed rate is mixed
    over all blocks at which the rate may have gone up, with weights that sum to
    one. While the true rate stays at or below the allowed one, the chance that
    ``e_value`` ever reaches ``1 / alpha`` is at most ``alpha`` (Ville's
    inequality), however often one looks. The allowed rate may differ from block
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
        """Return the evidence; 1 / alpha is enough at level alpha."""
        return sum(self.wealths) / len(self.wealths)

    def advance(
        self, blocks: Iterable[Block], horizon_blocks: int = HORIZON_BLOCKS
    ) -> 'EProcess':
        """Return the evidence after calls that were seen at the same time."""
        seen = tuple(blocks)
        started = _start_weight(self.blocks + 1, horizon_blocks)
        wealths = tuple(
            min(E_VALUE_MAX, (wealth + started) * _ratio(seen, excess))
            for wealth, excess in zip(self.wealths, EXCESSES, strict=True)
        )
        return EProcess(wealths, self.blocks + 1)


def _start_weight(block: int, horizon_blocks: int) -> float:
    """Return the prior weight of a change right before ``block``, from 1 on."""
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
