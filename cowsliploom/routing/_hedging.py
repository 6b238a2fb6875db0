"""Hedging of the last outstanding sub-requests of a query."""

from heapq import heappop, heappush

from cowsliploom.routing._context import Context
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._tracks import OpenQuery, ServiceTrack, WorkItem

TAIL_RATIO = 0.25  # a larger open part indicates load, not stragglers
TAIL_MIN = 2  # so that queries of few services can be hedged too
RESEND_RATIO = 1.5  # hedge delays before a call is resent to the same server
HEDGES_MAX = 2  # about one hedge in 20 is itself a straggler
QUEUED_CHECK_MS = 5.0  # a queued sub-request may have been sent by then
RECHECK_MIN_MS = 1.0  # minimum delay before a failed hedge is tried again
DEFAULT_DELAY_MS = 50.0  # for a service without enough samples


class Hedging:
    """Schedule hedging checks for queries with few open sub-requests.

    Parameters
    ----------
    context : Context
        Shared settings and budget.
    dispatcher : Dispatcher
        Sender of calls.
    """

    def __init__(self, context: Context, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._checks: list[tuple[float, int, OpenQuery]] = []
        self._order = 0
        self._watched: set[str] = set()

    @property
    def due_ms(self) -> float | None:
        """Return the time of the next check, in milliseconds, or None."""
        return self._checks[0][0] if self._checks else None

    def watch(self, query: OpenQuery) -> None:
        """Schedule checks for a query once few of its sub-requests are open."""
        missing = len(query.open_items)
        if query.name in self._watched or query.is_closed:
            return
        if missing > max(TAIL_MIN, TAIL_RATIO * len(query.plan.shards)):
            return
        self._watched.add(query.name)
        times = [self._due_ms(work) for work in _unhedged(query)]
        self._schedule_check(query, min(times, default=query.deadline_ms))

    def run(self, now_ms: float) -> None:
        """Run the due checks, for queries with fewest open sub-requests first."""
        due: list[OpenQuery] = []
        while self._checks and self._checks[0][0] <= now_ms:
            query = heappop(self._checks)[2]
            if query.is_closed:
                self._watched.discard(query.name)
            else:
                due.append(query)
        for query in sorted(due, key=_count_open):
            self._hedge(query, now_ms)

    def delay_ms(self, service: ServiceTrack) -> float:
        """Return how long a call may take before it is hedged, in milliseconds.

        Notes
        -----
        A quantile alone would hedge a fixed part of the calls even if latencies
        vary little. The multiple of the median prevents this, which saves budget
        for stragglers.
        """
        settings = self._context.settings
        quantile_ms = service.window.quantile(settings.hedge_quantile, DEFAULT_DELAY_MS)
        median_ms = service.window.quantile(0.5, DEFAULT_DELAY_MS)
        slow_ms = max(quantile_ms, median_ms * settings.hedge_median_ratio)
        return max(settings.hedge_floor_ms, slow_ms)

    def _hedge(self, query: OpenQuery, now_ms: float) -> None:
        next_ms: list[float] = []
        for work in _unhedged(query):
            due_ms = self._due_ms(work)
            if due_ms > now_ms:
                next_ms.append(due_ms)
            elif self._try_hedge(work, now_ms):
                next_ms.append(self._due_ms(work))
            else:
                next_ms.append(now_ms + _recheck_ms(work, now_ms))
        if any(not waiting.calls for waiting in query.open_items.values()):
            next_ms.append(now_ms + QUEUED_CHECK_MS)
        if next_ms:
            self._schedule_check(query, min(next_ms))
            return
        self._watched.discard(query.name)

    def _try_hedge(self, work: WorkItem, now_ms: float) -> bool:
        dispatcher = self._dispatcher
        if not dispatcher.extra.may_spend(work, now_ms):
            return False
        if dispatcher.hedge(work, now_ms):
            return True
        waited_ms = now_ms - work.calls[-1].sent_ms
        if waited_ms < self.delay_ms(work.service) * RESEND_RATIO:
            return False
        return dispatcher.resend(work, now_ms)

    def _schedule_check(self, query: OpenQuery, due_ms: float) -> None:
        self._order += 1
        heappush(self._checks, (due_ms, self._order, query))

    def _due_ms(self, work: WorkItem) -> float:
        sent_ms = work.calls[-1].sent_ms
        return sent_ms + self.delay_ms(work.service)


def _unhedged(query: OpenQuery) -> list[WorkItem]:
    return [
        work
        for work in query.open_items.values()
        if work.calls and work.hedges < HEDGES_MAX
    ]


def _recheck_ms(work: WorkItem, now_ms: float) -> float:
    """Return the time to the next check, which grows with the age of the call.

    Notes
    -----
    If the budget is too small for all, tokens thus go to queries that can still be
    answered in time instead of those that have waited longest.
    """
    return max(RECHECK_MIN_MS, (now_ms - work.calls[-1].sent_ms) / 2)


def _count_open(query: OpenQuery) -> int:
    return len(query.open_items)
