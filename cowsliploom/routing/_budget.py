"""Token budget shared by hedges and retries."""

from dataclasses import dataclass

BURST_TOKENS = 10  # covers a short burst of slow replies


@dataclass(frozen=True, slots=True)
class TokenBudget:
    """Limit on extra sub-requests, as a ratio of first attempts.

    Parameters
    ----------
    refill_ratio : float
        Tokens earned by each first attempt.
    tokens : float
        Available tokens; each hedge or retry costs one.

    Examples
    --------
    >>> budget = TokenBudget(refill_ratio=0.05, tokens=0)
    >>> earn(budget, sent=40).tokens
    2.0
    """

    refill_ratio: float
    tokens: float = 1

    @property
    def is_full(self) -> bool:
        """Return whether the budget is at its maximum."""
        return self.tokens >= BURST_TOKENS

    @property
    def may_spend(self) -> bool:
        """Return whether one more extra sub-request may be sent."""
        return self.tokens >= 1


def earn(budget: TokenBudget, sent: int) -> TokenBudget:
    """Add the tokens earned by ``sent`` first attempts, up to ``BURST_TOKENS``."""
    tokens = min(BURST_TOKENS, budget.tokens + sent * budget.refill_ratio)
    return TokenBudget(budget.refill_ratio, tokens)


def spend(budget: TokenBudget) -> TokenBudget:
    """Spend one token on a hedge or a retry."""
    return TokenBudget(budget.refill_ratio, budget.tokens - 1)
