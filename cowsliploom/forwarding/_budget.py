"""A budget of extra calls that all entry VMs share, one for each service."""

from collections import deque
from dataclasses import dataclass


MEMORY_RATIO = 1.05  # calls count longer than the window, as they arrive later


class WindowCount:
    """Count events of the last ``window_ms``, in slices.

    Parameters
    ----------
    window_ms : float
        Length of the window, in milliseconds.
    slices : int
        Parts in which the window moves on. Default 100.
    """

    def __init__(self, window_ms: float, slices: int = 100) -> None:
        self.window_ms = window_ms
        self.slices = slices
        self._counts: deque[list[float]] = deque()
        self._sum: float = 0

    def add(self, now_ms: float, amount: float = 1) -> None:
        """Count an event."""
        slice_start = now_ms - now_ms % (self.window_ms / self.slices)
        if self._counts and self._counts[-1][0] >= slice_start:
            self._counts[-1][1] += amount
        else:
            self._counts.append([slice_start, amount])
        self._sum += amount

    def total(self, now_ms: float) -> float:
        """Return the number of events in the window."""
        oldest = now_ms - self.window_ms
        while self._counts and self._counts[0][0] < oldest:
            self._sum -= self._counts.popleft()[1]
        return self._sum


@dataclass(frozen=True, slots=True)
class BudgetReport:
    """Tell how a service's extra calls stand, and what was decided lately.

    Parameters
    ----------
    service : str
        Service that is asked.
    requests : float
        Requests for it in the window.
    spent : float
        Extra calls in the window.
    allowed : float
        Extra calls that the window may hold.
    sent, denied : int
        Extra calls sent, and works that were denied one, since the last report.
    """

    service: str
    requests: float
    spent: float
    allowed: float
    sent: int
    denied: int


class ExtraBudget:
    """Say whether one more call beyond a request's first may be sent.

    Parameters
    ----------
    ratio : float
        Extra calls for each request, in any window.
    extra : float
        Extra calls beyond these, of all entry VMs together.
    window_ms : float
        Length of the window.

    Notes
    -----
    Each entry VM pays for its extra calls with ``ratio`` of the requests that it has
    taken itself, and with its share of ``extra``. Requests and calls of one VM come and
    go together, so the sum keeps the bound as long as the shares do.

    Examples
    --------
    >>> budget = ExtraBudget(ratio=0.2, extra=8, window_ms=10_000)
    >>> budget.may_spend(now_ms=0, share=0.125)
    True
    >>> budget.spend(0)
    >>> budget.may_spend(now_ms=0, share=0.125)
    False
    """

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.requests = WindowCount(window_ms)
        self.spent = WindowCount(window_ms * MEMORY_RATIO)
        self.sent = 0
        self.denied = 0

    def change(self, ratio: float, extra: float) -> None:
        """Take other bounds; what was counted stays."""
        self.ratio = ratio
        self.extra = extra

    def earn(self, now_ms: float) -> None:
        """Count a request."""
        self.requests.add(now_ms)

    def spend(self, now_ms: float) -> None:
        """Count an extra call."""
        self.spent.add(now_ms)
        self.sent += 1

    def deny(self, now_ms: float, share: float) -> str:
        """Count a work that was denied an extra call; return the figures."""
        self.denied += 1
        spent = self.spent.total(now_ms)
        return f'extra calls used up: {spent:g} of {self.allowed(now_ms, share):.1f}'

    def allowed(self, now_ms: float, share: float) -> float:
        """Return how many extra calls the window may hold."""
        return self.ratio * self.requests.total(now_ms) + self.extra * share

    def left(self, now_ms: float, share: float) -> float:
        """Return how many extra calls may still be sent now."""
        return self.allowed(now_ms, share) - self.spent.total(now_ms)

    def may_spend(self, now_ms: float, share: float) -> bool:
        """Tell whether one more extra call may be sent."""
        return self.left(now_ms, share) >= 1

    def report(self, service: str, now_ms: float, share: float) -> BudgetReport | None:
        """Return what was decided since the last report; None for nothing."""
        if not (self.sent or self.denied):
            return None
        report = BudgetReport(
            service,
            self.requests.total(now_ms),
            self.spent.total(now_ms),
            round(self.allowed(now_ms, share), 1),
            self.sent,
            self.denied,
        )
        self.sent = 0
        self.denied = 0
        return report
