"""Limits on the extra load of hedges and retries."""

from cowsliploom.routing._budget import earn, spend
from cowsliploom.routing._context import Context
from cowsliploom.routing._tracks import ServiceTrack, WorkItem

OVERLOAD_MS = 1000.0  # sheds block hedges and retries no longer than this
SHED_RATIO_MAX = 0.04  # above one shed call in 25, hedges and retries stop
WAITING_PER_SERVER = 2  # one slow call can delay this many without overload


class ExtraLoad:
    """Manage the budgets shared by hedges and retries.

    Parameters
    ----------
    context : Context
        Holds the budget over all services.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def earn(self, service: ServiceTrack) -> None:
        """Add budget for a first attempt that was sent."""
        context = self._context
        if not context.budget.is_full:
            context.budget = earn(context.budget, 1)
        if not service.budget.is_full:
            service.budget = earn(service.budget, 1)

    def spend(self, service: ServiceTrack) -> None:
        """Spend budget on one hedge or retry."""
        self._context.budget = spend(self._context.budget)
        service.budget = spend(service.budget)

    def may_spend(self, work: WorkItem, now_ms: float) -> bool:
        """Return whether budget and time left allow a hedge or retry."""
        service = work.service
        return (
            self._context.budget.may_spend
            and service.budget.may_spend
            and work.deadline_ms - now_ms >= service.typical_ms
        )

    def is_overloaded(self, service: ServiceTrack, now_ms: float) -> bool:
        """Return whether a queue has built up or servers shed calls."""
        waiting_max = WAITING_PER_SERVER * len(service.servers)
        return len(service.queue) > waiting_max or self.is_shedding(service, now_ms)

    def is_shedding(self, service: ServiceTrack, now_ms: float) -> bool:
        """Return whether servers of the service have recently shed calls."""
        was_shed = now_ms - service.shed_ms < OVERLOAD_MS
        return was_shed and service.shed_ratio > SHED_RATIO_MAX
