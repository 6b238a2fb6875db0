"""Token bucket for extra calls to one service, at one entry VM.

Extra calls are all calls of a request to a service beyond the first.
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Allowance:
    """Token limits of one service at one entry VM.

    Parameters
    ----------
    earned : float
        Tokens that each request earns.
    initial : float
        Tokens of a new budget.
    tokens_max : float
        Maximum number of saved tokens.
    is_settled : bool
        Whether extra calls of an earlier process on this VM are out of the window.
    """

    earned: float
    initial: float
    tokens_max: float
    is_settled: bool


@dataclass(frozen=True, slots=True)
class BudgetReport:
    """Use of a service's extra-call budget since the last report.

    Parameters
    ----------
    service : str
        Service that is called.
    requests : int
        Requests to it since the last report.
    sent, denied : int
        Extra calls sent, and sub-requests denied one, since the last report.
    tokens, tokens_max : float
        Tokens available now, and their maximum.
    """

    service: str
    requests: int
    sent: int
    denied: int
    tokens: float
    tokens_max: float


class ExtraBudget:
    """Token bucket that decides whether an extra call may be sent.

    Parameters
    ----------
    read_allowance : callable
        Returns the current ``Allowance``; the same object until it changes.

    Notes
    -----
    An extra call is paid with tokens that earlier requests at this VM earned. In any
    period, all VMs together thus send at most as many extra calls as its requests earn,
    plus tokens saved when it began, plus the initial tokens of new processes. Tokens of
    a lost process are lost.

    Examples
    --------
    >>> allowance = Allowance(earned=0.5, initial=0, tokens_max=2, is_settled=True)
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
        self._tokens = self._allowance.initial
        self._requests = 0
        self._sent = 0
        self._denied = 0

    @property
    def tokens(self) -> float:
        """Number of extra calls that may be sent now."""
        allowance = self._read_allowance()
        if allowance is not self._allowance:
            self._apply_allowance(allowance)
        return self._tokens

    @property
    def may_spend(self) -> bool:
        """Whether one more extra call may be sent."""
        return self.tokens >= 1

    def earn(self) -> None:
        """Count a request and add its tokens."""
        tokens = self.tokens + self._allowance.earned
        self._tokens = min(tokens, self._allowance.tokens_max)
        self._requests += 1

    def spend(self) -> None:
        """Count an extra call and remove its token."""
        self._tokens -= 1
        self._sent += 1

    def deny(self) -> str:
        """Count a sub-request that was denied an extra call; return the reason."""
        self._denied += 1
        saved = f'{self.tokens:.1f} of {self._allowance.tokens_max:.1f} saved'
        return f'extra calls used up: {saved}, {self._allowance.earned:.2f} a request'

    def report(self, service: str) -> BudgetReport | None:
        """Return the use since the last report, or None if there was none."""
        requests, sent, denied = self._requests, self._sent, self._denied
        if not (sent or denied):
            return None
        self._requests = 0
        self._sent = 0
        self._denied = 0
        tokens = round(self.tokens, 1)
        tokens_max = round(self._allowance.tokens_max, 1)
        return BudgetReport(service, requests, sent, denied, tokens, tokens_max)

    def _apply_allowance(self, allowance: Allowance) -> None:
        known = self._allowance
        if allowance.is_settled and not known.is_settled:
            # Grant the increase of the maximum immediately: the process could save up
            # to the old maximum before it was settled.
            self._tokens += max(0, allowance.tokens_max - known.tokens_max)
        self._tokens = min(self._tokens, allowance.tokens_max)
        self._allowance = allowance
