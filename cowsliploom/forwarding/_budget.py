"""Tokens for calls beyond the first of a request, for one service at one entry VM."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Allowance:
    """Bound the tokens of one service at one entry VM.

    Parameters
    ----------
    earned : float
        Tokens that each request earns.
    given : float
        Tokens that a new budget begins with.
    tokens_max : float
        Tokens that may be saved.
    is_settled : bool
        Whether nothing counts any more that an earlier process on this VM has spent.
    """

    earned: float
    given: float
    tokens_max: float
    is_settled: bool


@dataclass(frozen=True, slots=True)
class BudgetReport:
    """Tell how a service's extra calls stand, and what was decided lately.

    Parameters
    ----------
    service : str
        Service that is asked.
    requests : int
        Requests for it since the last report.
    sent, denied : int
        Extra calls sent, and works that were denied one, since the last report.
    tokens, tokens_max : float
        Extra calls that may be sent now, and that may be saved.
    """

    service: str
    requests: int
    sent: int
    denied: int
    tokens: float
    tokens_max: float


class ExtraBudget:
    """Say whether one more call beyond a request's first may be sent.

    Parameters
    ----------
    read_allowance : callable
        Returns the ``Allowance`` that holds now; the same object while none changes.

    Notes
    -----
    An extra call is paid with what requests at this VM have earned before. So all VMs
    together send in any span no more than its own requests earn, all had saved when it
    began, and new processes were given. What a lost process had saved is lost.

    Examples
    --------
    >>> allowance = Allowance(earned=0.5, given=0, tokens_max=2, is_settled=True)
    >>> budget = ExtraBudget(lambda: allowance)
    >>> budget.earn()
    >>> budget.may_spend
    False
    >>> budget.earn()
    >>> budget.may_spend
    True
    """

    def __init__(self, read_allowance: Callable[[], Allowance]) -> None:
        self._read_allowance = read_allowance
        self._allowance = read_allowance()
        self._tokens = self._allowance.given
        self._requests = 0
        self._sent = 0
        self._denied = 0

    @property
    def tokens(self) -> float:
        """Return how many extra calls may be sent now."""
        allowance = self._read_allowance()
        if allowance is not self._allowance:
            self._take(allowance)
        return self._tokens

    @property
    def may_spend(self) -> bool:
        """Tell whether one more extra call may be sent."""
        return self.tokens >= 1

    def earn(self) -> None:
        """Count a request."""
        tokens = self.tokens + self._allowance.earned
        self._tokens = min(tokens, self._allowance.tokens_max)
        self._requests += 1

    def spend(self) -> None:
        """Count an extra call."""
        self._tokens -= 1
        self._sent += 1

    def deny(self) -> str:
        """Count a work that was denied an extra call; return the figures."""
        self._denied += 1
        saved = f'{self.tokens:.1f} of {self._allowance.tokens_max:.1f} saved'
        return f'extra calls used up: {saved}, {self._allowance.earned:.2f} a request'

    def report(self, service: str) -> BudgetReport | None:
        """Return what was decided since the last report; None for nothing."""
        requests, sent, denied = self._requests, self._sent, self._denied
        if not (sent or denied):
            return None
        self._requests = 0
        self._sent = 0
        self._denied = 0
        tokens = round(self.tokens, 1)
        tokens_max = round(self._allowance.tokens_max, 1)
        return BudgetReport(service, requests, sent, denied, tokens, tokens_max)

    def _take(self, allowance: Allowance) -> None:
        known = self._allowance
        if allowance.is_settled and not known.is_settled:
            # What may be saved from now on is there at once; the rest was there before.
            self._tokens += max(0, allowance.tokens_max - known.tokens_max)
        self._tokens = min(self._tokens, allowance.tokens_max)
        self._allowance = allowance
