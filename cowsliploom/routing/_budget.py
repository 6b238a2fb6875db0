"""Budget that hedges and retries share."""

from dataclasses import dataclass

BURST_TOKENS = 10  # a short burst of slow replies may pass before the budget refills


@dataclass(frozen=True, slots=True)
class TokenBudget:
    """Limit extra sub-requests to a share of the first attempts.

    Parameters
    ----------
    refill_ratio : float
        Tokens earned by each first attempt.
    tokens : float
        Tokens at hand; one pays for one hedge or retry.

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
        """Tell whether the budget holds all that it can."""
        return self.tokens >= BURST_TOKENS

    @property
    def may_spend(self) -> bool:
        """Tell whether one more extra sub-request may be sent."""
        return self.tokens >= 1


def earn(budget: TokenBudget, sent: int) -> TokenBudget:
    """Add the tokens that ``sent`` first attempts earn, up to the burst."""
    tokens = min(BURST_TOKENS, budget.tokens + sent * budget.refill_ratio)
    return TokenBudget(budget.refill_ratio, tokens)


def spend(budget: TokenBudget) -> TokenBudget:
    """Take one token for a hedge or a retry."""
    return TokenBudget(budget.refill_ratio, budget.tokens - 1)
