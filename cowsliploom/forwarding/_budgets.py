"""The budgets of extra calls, one for each service, under common rules."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._budget import Allowance, BudgetReport, ExtraBudget

LATE_RATIO = 0.05  # of the window, by which an extra call may arrive after it was sent
SAVED_SHARE = 0.8  # of the constant, by all entry VMs
NEW_SHARE = 0.1  # given to new processes; all may start twice in a window
NEW_TOKENS_MAX = 1.2  # saved by a new process, so that it can pay for a call


@dataclass(frozen=True, slots=True)
class ConstantShare:
    """Tell an entry VM's share of the constant part.

    Parameters
    ----------
    share : float
        From 0 to 1, without unit; of what all together may save.
    is_settled : bool
        Whether the process is older than an extra call counts.
    """

    share: float = 0
    is_settled: bool = False


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """Bound the calls beyond the first of each request, for each service.

    Parameters
    ----------
    ratio : float
        Extra calls for each request.
    extra : float
        Extra calls beyond these, of all entry VMs together.
    window_ms : float
        Length of the sliding window.
    """

    ratio: float
    extra: float
    window_ms: float

    @property
    def memory_ms(self) -> float:
        """Return how long an extra call may count, from when it is sent."""
        return self.window_ms * (1 + LATE_RATIO)

    def allowance(self, constant: ConstantShare) -> Allowance:
        """Return what one entry VM may earn and save, for each service."""
        earned = self.ratio / (1 + LATE_RATIO)
        part = self.extra * constant.share
        saved_max = part * SAVED_SHARE
        if constant.is_settled:
            return Allowance(earned, saved_max, saved_max, is_settled=True)
        given = part * NEW_SHARE
        new_max = min(saved_max, max(given, NEW_TOKENS_MAX))
        return Allowance(earned, given, new_max, is_settled=False)


class ServiceBudgets:
    """Own the budgets of all services that were asked.

    Parameters
    ----------
    rules : BudgetRules
        Bounds of extra calls.

    Attributes
    ----------
    read_share : callable
        Returns the ``ConstantShare`` of this entry VM; the same object while it stays.

    Examples
    --------
    >>> budgets = ServiceBudgets(BudgetRules(ratio=0.2, extra=8, window_ms=10_000))
    >>> budgets.of_service('one').may_spend
    False
    >>> settled = ConstantShare(0.25, is_settled=True)
    >>> budgets.read_share = lambda: settled
    >>> budgets.of_service('two').may_spend
    True
    """

    def __init__(self, rules: BudgetRules) -> None:
        self._rules = rules
        self.read_share: Callable[[], ConstantShare] = ConstantShare
        self._share = ConstantShare()
        self._allowance = rules.allowance(self._share)
        self._budgets: dict[str, ExtraBudget] = {}

    @property
    def rules(self) -> BudgetRules:
        """Return the bounds."""
        return self._rules

    def allowance(self) -> Allowance:
        """Return what a budget may earn and save now."""
        share = self.read_share()
        if share is not self._share:
            self._share = share
            self._allowance = self._rules.allowance(share)
        return self._allowance

    def of_service(self, service: str) -> ExtraBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = ExtraBudget(self.allowance)
            self._budgets[service] = budget
        return budget

    def change(self, rules: BudgetRules) -> None:
        """Take other bounds, for services that are known too."""
        self._rules = rules
        self._allowance = rules.allowance(self._share)

    def reports(self) -> list[BudgetReport]:
        """Return what was decided on extra calls since the last reports."""
        reports = (budget.report(service) for service, budget in self._budgets.items())
        return [report for report in reports if report is not None]
