"""Hedges for the last slow sub-requests of queries."""

from heapq import heappop, heappush

from cowsliploom.routing._context import Context
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._tracks import OpenQuery, ServiceTrack, Work

TAIL_RATIO = 0.25  # more open sub-requests than this are load, not stragglers
TAIL_MIN = 2  # small queries are in their tail from the start
AGAIN_MIN_MS = 1.0  # soonest second look where the budget was empty
DEFAULT_DELAY_MS = 50.0  # until the service has samples


class Hedging:
    """Own the times at which queries in their tail are looked at.

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
        self._looks: list[tuple[float, int, OpenQuery]] = []
        self._order = 0
        self._watched: set[str] = set()

    @property
    def due_ms(self) -> float | None:
        """Return the time of the next look, in milliseconds, if there is one."""
        return self._looks[0][0] if self._looks else None

    def watch(self, query: OpenQuery) -> None:
        """Look at a query from now on, if it is in its tail."""
        missing = len(query.open_works)
        if query.name in self._watched or query.is_closed:
            return
        if missing > max(TAIL_MIN, TAIL_RATIO * len(query.plan.shards)):
            return
        self._watched.add(query.name)
        times = [self._due_ms(work) for work in _unhedged(query)]
        self._look_at(query, min(times, default=query.deadline_ms))

    def run(self, now_ms: float) -> None:
        """Hedge what is due, the queries with fewest open sub-requests first."""
        due: list[OpenQuery] = []
        while self._looks and self._looks[0][0] <= now_ms:
            query = heappop(self._looks)[2]
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
        With an empty budget the delay doubles, so that the tokens that come in go
        to the slowest calls instead of the first ones past the quantile.
        """
        settings = self._context.settings
        quantile_ms = service.window.quantile(settings.hedge_quantile, DEFAULT_DELAY_MS)
        stretch = 2 - self._context.budget.fill_ratio
        return max(settings.hedge_floor_ms, quantile_ms * stretch)

    def _hedge(self, query: OpenQuery, now_ms: float) -> None:
        next_ms: list[float] = []
        for work in _unhedged(query):
            due_ms = self._due_ms(work)
            if due_ms > now_ms:
                next_ms.append(due_ms)
            elif not self._try_hedge(work, now_ms):
                next_ms.append(now_ms + _pause_ms(work))
        for waiting in _waiting(query):
            next_ms.append(now_ms + _pause_ms(waiting))
        if next_ms:
            self._look_at(query, min(next_ms))
            return
        self._watched.discard(query.name)

    def _try_hedge(self, work: Work, now_ms: float) -> bool:
        if not self._dispatcher.may_add_load(work, now_ms):
            return False
        return self._dispatcher.hedge(work, now_ms)

    def _look_at(self, query: OpenQuery, due_ms: float) -> None:
        self._order += 1
        heappush(self._looks, (due_ms, self._order, query))

    def _due_ms(self, work: Work) -> float:
        sent_ms = work.calls[0].sent_ms
        return sent_ms + self.delay_ms(work.service)


def _unhedged(query: OpenQuery) -> list[Work]:
    return [
        work
        for work in query.open_works.values()
        if not work.is_hedged and len(work.calls) == 1
    ]


def _waiting(query: OpenQuery) -> list[Work]:
    return [work for work in query.open_works.values() if not work.calls]


def _pause_ms(work: Work) -> float:
    return max(AGAIN_MIN_MS, work.service.typical_ms / 2)


def _count_open(query: OpenQuery) -> int:
    return len(query.open_works)
