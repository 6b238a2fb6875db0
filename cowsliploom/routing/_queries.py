"""Queries, each with one pinned snapshot, many sub-requests and one answer."""

from dataclasses import replace
from heapq import heappop, heappush

from cowsliploom.protocol import Ran
from cowsliploom.routing._context import Context
from cowsliploom.routing._coverage import measure_coverage, merge_hits
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._fleet import Fleet
from cowsliploom.routing._messages import (
    AnswerQuery,
    QueryArrived,
    RefusalCause,
)
from cowsliploom.routing._outcomes import Outcomes
from cowsliploom.routing._planner import Planner
from cowsliploom.routing._settings import answer_deadline_ms
from cowsliploom.routing._snapshot_waits import SnapshotWaits
from cowsliploom.routing._tracks import Attempt, OpenQuery, WorkItem

NO_SERVICES: frozenset[str] = frozenset()
RESTARTS_MAX = 2  # after more restarts a query would be late


class Queries:
    """Track the open queries.

    Parameters
    ----------
    context : Context
        Shared settings, counters and commands.
    fleet : Fleet
        Servers and services.
    planner : Planner
        Pins snapshots.
    dispatcher : Dispatcher
        Sender of calls.
    outcomes : Outcomes
        Records call outcomes.
    """

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        planner: Planner,
        dispatcher: Dispatcher,
        outcomes: Outcomes,
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._planner = planner
        self._dispatcher = dispatcher
        self._outcomes = outcomes
        self._deadlines: list[tuple[float, int, OpenQuery]] = []
        self._order = 0
        self._waits = SnapshotWaits()
        self.open: dict[str, OpenQuery] = {}

    @property
    def due_ms(self) -> float | None:
        """Return the next deadline or end of a wait, in milliseconds, or None."""
        times = [deadline[0] for deadline in self._deadlines[:1]]
        if self._waits.due_ms is not None:
            times.append(self._waits.due_ms)
        return min(times, default=None)

    @property
    def idle(self) -> bool:
        """Return whether no query is open or held."""
        return not self.open and self._waits.due_ms is None

    def start(self, event: QueryArrived) -> None:
        """Admit a query, pin its snapshot and send its sub-requests."""
        search = self._fleet.catalog.searches.get(event.search)
        if search is None:
            self._refuse(event, RefusalCause.UNKNOWN_SEARCH)
            return
        plan = self._planner.pin(event.search, search, event.now_ms)
        if plan is None:
            is_held = self._planner.awaits_snapshot(search) and self._waits.hold(event)
            if not is_held:
                self._refuse(event, RefusalCause.NO_SNAPSHOT)
            return
        settings = self._context.settings
        deadline_ms = answer_deadline_ms(settings, event.now_ms, event.deadline_ms)
        left_ms = deadline_ms - event.now_ms
        if left_ms <= 0:
            self._refuse(event, RefusalCause.DEADLINE)
            return
        backlog = self._planner.estimate_backlog(search, left_ms, event.now_ms)
        if backlog.is_overload or len(self.open) >= settings.queries_max:
            self._refuse(event, RefusalCause.OVERLOADED, backlog.wait_ms)
            return
        query = OpenQuery(event, search, plan, deadline_ms)
        self._admit(query, backlog.late_services)

    def handle_caller_left(self, query_id: str, now_ms: float) -> None:
        """Close a query whose caller has disconnected."""
        self._waits.remove(query_id)
        query = self.open.get(query_id)
        if query is not None:
            self._close(query, now_ms)

    def resume(self, now_ms: float) -> tuple[str, ...]:
        """Resume waiting queries that can be complete; return those from hold."""
        for name in self._waits.waiting:
            query = self.open[name]
            if self._planner.is_complete(query.route, now_ms):
                self.restart(query, now_ms)
        ready = [
            event
            for event in self._waits.held
            if self._planner.is_complete(event.search, now_ms)
        ]
        for resumed in ready:
            self._waits.remove(resumed.query_id)
            self.start(replace(resumed, now_ms=now_ms))
        return tuple(admitted.query_id for admitted in ready)

    def fail_work(self, work: WorkItem, now_ms: float) -> None:
        """Give up a sub-request; its service will be missing in the answer."""
        query = work.parent
        if work.is_done or work.calls or not isinstance(query, OpenQuery):
            return
        if self._may_wait(query, work, now_ms):
            return
        self.finish_work(query, work, now_ms)

    def finish_work(self, query: OpenQuery, work: WorkItem, now_ms: float) -> None:
        """Close a sub-request; answer the query after the last one."""
        work.is_done = True
        query.open_items.pop(work.service.name, None)
        for call in tuple(work.calls):
            self._dispatcher.cancel(call, now_ms)
        if not query.open_items:
            self._answer(query, now_ms)

    def restart(self, query: OpenQuery, now_ms: float) -> bool:
        """Restart on a newer snapshot, if there is one and time is left."""
        if query.is_closed or query.restarts >= RESTARTS_MAX:
            return False
        plan = self._planner.pin(query.route, query.search, now_ms)
        slowest_ms = max(work.service.typical_ms for work in query.open_items.values())
        has_time = query.deadline_ms - now_ms >= 2 * slowest_ms
        is_newer = plan is not None and plan.snapshot > query.plan.snapshot
        if plan is None or not is_newer or not has_time:
            return False
        query.restarts += 1
        self._waits.remove(query.name)
        self._context.count('restarts')
        self._cancel_all(query, now_ms)
        query.plan = plan
        query.replies.clear()
        self._submit_all(query, now_ms)
        return True

    def expire(self, now_ms: float) -> None:
        """Answer queries past their deadline with the replies so far."""
        self._end_waits(now_ms)
        deadlines = self._deadlines
        while deadlines and (deadlines[0][0] <= now_ms or deadlines[0][2].is_closed):
            query = heappop(deadlines)[2]
            if not query.is_closed:
                self._answer(query, now_ms)

    def _end_waits(self, now_ms: float) -> None:
        """Continue without a newer snapshot after the wait has ended."""
        for work in self._waits.pop_ended_items(now_ms):
            query = work.parent
            if isinstance(query, OpenQuery) and not query.replies:
                self.restart(query, now_ms)
            self.fail_work(work, now_ms)
        for event in self._waits.pop_ended_held(now_ms):
            self._refuse(event, RefusalCause.NO_SNAPSHOT)

    def _may_wait(self, query: OpenQuery, work: WorkItem, now_ms: float) -> bool:
        """Keep a sub-request open if its service is switching snapshots."""
        left_ms = query.deadline_ms - now_ms
        has_time = left_ms >= 2 * work.service.typical_ms
        if not has_time or query.restarts >= RESTARTS_MAX:
            return False
        if not self._planner.has_dropped_snapshot(work):
            return False
        return self._waits.add(query, work, now_ms)

    def _admit(self, query: OpenQuery, skipped: frozenset[str]) -> None:
        event = query.event
        self.open[event.query_id] = query
        self._order += 1
        heappush(self._deadlines, (query.deadline_ms, self._order, query))
        self._submit_all(query, event.now_ms, skipped)

    def _submit_all(
        self, query: OpenQuery, now_ms: float, skipped: frozenset[str] = NO_SERVICES
    ) -> None:
        services = self._fleet.services
        names = [name for name, _ in query.plan.shards if name not in skipped]
        queried = [services[name] for name in names if name in services]
        urgency = query.search.urgency
        snapshot = query.plan.snapshot
        query.open_items = {
            service.name: WorkItem(service, query, urgency, query.deadline_ms, snapshot)
            for service in queried
        }
        for work in tuple(query.open_items.values()):
            self._dispatcher.submit(work, now_ms, Attempt.FIRST)

    def _answer(self, query: OpenQuery, now_ms: float) -> None:
        if query.is_closed:
            return
        self._close(query, now_ms)
        if not query.replies:
            self._refuse_empty(query, now_ms)
            return
        self._answer_from_replies(query)
        query.replies.clear()

    def _answer_from_replies(self, query: OpenQuery) -> None:
        coverage = measure_coverage(query.plan, query.replies)
        if coverage.missing_services:
            self._context.count('partial_answers')
        hits = merge_hits(query.replies.values(), query.search.hits_max)
        self._context.commands.append(
            AnswerQuery(query.name, query.plan.snapshot, coverage, hits)
        )

    def _refuse_empty(self, query: OpenQuery, now_ms: float) -> None:
        is_late = now_ms >= query.deadline_ms
        if not query.attempts:
            cause = RefusalCause.OVERLOADED if is_late else RefusalCause.NO_SERVER
            self._context.refuse(query.name, cause, 'route')
            return
        cause = RefusalCause.DEADLINE if is_late else RefusalCause.BACKEND
        self._context.refuse(query.name, cause, 'gather', Ran.UNKNOWN)

    def _close(self, query: OpenQuery, now_ms: float) -> None:
        query.is_closed = True
        self._waits.remove(query.name)
        self.open.pop(query.name, None)
        self._cancel_all(query, now_ms)

    def _cancel_all(self, query: OpenQuery, now_ms: float) -> None:
        items = tuple(query.open_items.values())
        query.open_items.clear()
        for work in items:
            work.is_done = True
            for call in tuple(work.calls):
                self._dispatcher.cancel(call, now_ms)

    def _refuse(
        self, event: QueryArrived, cause: RefusalCause, wait_ms: float = 0
    ) -> None:
        self._context.refuse(event.query_id, cause, 'admit', retry_after_ms=wait_ms)
