"""Extra-call budgets by service, under common rules."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._budget import Allowance, BudgetReport, ExtraBudget

# Share of the window by which an extra call may arrive after it was sent.
ARRIVAL_LAG_RATIO = 0.05
SETTLED_SHARE = 0.8  # of the constant part, saved by all entry VMs together
NEW_SHARE = 0.1  # initial tokens of new processes; all may start twice in a window
NEW_TOKENS_MAX = 1.2  # saved by a new process; enough for one extra call


@dataclass(frozen=True, slots=True)
class ConstantShare:
    """An entry VM's share of the constant part of the budget.

    Parameters
    ----------
    share : float
        Share, from 0 to 1, of what all entry VMs together may save.
    is_settled : bool
        Whether the process has run for longer than an extra call is counted.
    """

    share: float = 0
    is_settled: bool = False


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """Limits on extra calls, for each service.

    Parameters
    ----------
    ratio : float
        Extra calls for each request.
    extra : float
        Constant part: further extra calls of all entry VMs together.
    window_ms : float
        Length of the sliding window.
    """

    ratio: float
    extra: float
    window_ms: float

    @property
    def memory_ms(self) -> float:
        """For how long an extra call counts, from when it is sent."""
        return self.window_ms * (1 + ARRIVAL_LAG_RATIO)

    def allowance(self, constant: ConstantShare) -> Allowance:
        """Return the token limits of one entry VM, for each service."""
        earned = self.ratio / (1 + ARRIVAL_LAG_RATIO)
        constant_part = self.extra * constant.share
        saved_max = constant_part * SETTLED_SHARE
        if constant.is_settled:
            return Allowance(earned, saved_max, saved_max, is_settled=True)
        initial = constant_part * NEW_SHARE
        new_max = min(saved_max, max(initial, NEW_TOKENS_MAX))
        return Allowance(earned, initial, new_max, is_settled=False)


class ServiceBudgets:
    """Extra-call budgets of all services that were called.

    Parameters
    ----------
    rules : BudgetRules
        Limits on extra calls.

    Attributes
    ----------
    read_share : callable
        Returns the ``ConstantShare`` of this entry VM; the same object until it
        changes.

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
        """Limits on extra calls."""
        return self._rules

    def allowance(self) -> Allowance:
        """Return the current token limits of a budget."""
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
        """Change the limits, also of services that already have a budget."""
        self._rules = rules
        self._allowance = rules.allowance(self._share)

    def reports(self) -> list[BudgetReport]:
        """Return the use of each budget since the last reports."""
        reports = (budget.report(service) for service, budget in self._budgets.items())
        return [report for report in reports if report is not None]
