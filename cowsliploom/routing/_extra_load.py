"""Conditions under which hedges and retries may add load."""

from cowsliploom.routing._budget import earn, spend
from cowsliploom.routing._context import Context
from cowsliploom.routing._tracks import ServiceTrack, Work

OVERLOAD_MS = 1000.0  # sheds bar hedges and retries no longer than this
SHED_RATIO_MAX = 0.04  # one shed call in twenty-five bars hedges and retries
WAITING_PER_SERVER = 2  # one slow call can hold up so many without any overload


class ExtraLoad:
    """Own the budgets that hedges and retries share.

    Parameters
    ----------
    context : Context
        Holder of the budget over all services.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def earn(self, service: ServiceTrack) -> None:
        """Earn budget for a first attempt that is sent."""
        context = self._context
        if not context.budget.is_full:
            context.budget = earn(context.budget, 1)
        if not service.budget.is_full:
            service.budget = earn(service.budget, 1)

    def spend(self, service: ServiceTrack) -> None:
        """Pay for one hedge or retry."""
        self._context.budget = spend(self._context.budget)
        service.budget = spend(service.budget)

    def may_spend(self, work: Work, now_ms: float) -> bool:
        """Tell whether budget and time left allow a hedge or retry."""
        service = work.service
        return (
            self._context.budget.may_spend
            and service.budget.may_spend
            and work.deadline_ms - now_ms >= service.typical_ms
        )

    def is_overloaded(self, service: ServiceTrack, now_ms: float) -> bool:
        """Tell whether a queue has built up or servers shed calls."""
        waiting_max = WAITING_PER_SERVER * len(service.servers)
        return len(service.queue) > waiting_max or self.is_shedding(service, now_ms)

    def is_shedding(self, service: ServiceTrack, now_ms: float) -> bool:
        """Tell whether servers of the service have shed calls just now."""
        was_shed = now_ms - service.shed_ms < OVERLOAD_MS
        return was_shed and service.shed_ratio > SHED_RATIO_MAX
