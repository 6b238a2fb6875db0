"""The budgets of extra calls, one for each service, under common rules."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._budget import MEMORY_RATIO, BudgetReport, ExtraBudget


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
        """Return how long an extra call counts."""
        return self.window_ms * MEMORY_RATIO


class ServiceBudgets:
    """Own the budgets of all services that were asked.

    Parameters
    ----------
    rules : BudgetRules
        Bounds of extra calls.

    Attributes
    ----------
    read_share : callable
        Returns the share of ``BudgetRules.extra`` that this entry VM may use, from 0
        to 1.

    Examples
    --------
    >>> budgets = ServiceBudgets(BudgetRules(ratio=0.2, extra=8, window_ms=10_000))
    >>> budgets.of_service('one').may_spend(0, budgets.constant_share)
    False
    """

    def __init__(self, rules: BudgetRules) -> None:
        self.rules = rules
        self.read_share: Callable[[], float] = float
        self._budgets: dict[str, ExtraBudget] = {}

    @property
    def constant_share(self) -> float:
        """Return the share of ``BudgetRules.extra`` that may be used now."""
        return self.read_share()

    def of_service(self, service: str) -> ExtraBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            rules = self.rules
            budget = ExtraBudget(rules.ratio, rules.extra, rules.window_ms)
            self._budgets[service] = budget
        return budget

    def change(self, rules: BudgetRules) -> None:
        """Take other bounds, for services that are known too."""
        self.rules = rules
        for budget in self._budgets.values():
            budget.change(rules.ratio, rules.extra)

    def reports(self, now_ms: float) -> list[BudgetReport]:
        """Return what was decided on extra calls since the last reports."""
        share = self.constant_share
        reports = (
            budget.report(service, now_ms, share)
            for service, budget in self._budgets.items()
        )
        return [report for report in reports if report is not None]
