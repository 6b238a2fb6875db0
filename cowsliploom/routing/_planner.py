"""Plans of queries: the snapshot to pin, and the wait to expect."""

from functools import partial

from cowsliploom.resources import SearchSpec
from cowsliploom.routing._admission import fits
from cowsliploom.routing._choice import ReplicaChoice
from cowsliploom.routing._context import Context
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._fleet import Fleet
from cowsliploom.routing._snapshots import Plan, drop_snapshot, pin_snapshot
from cowsliploom.routing._tracks import ServerTrack, Work

PLAN_FRESH_MS = 100  # servers come back by time alone, too
OVERLOADED_RATIO = 0.12  # a query that would miss more of its services is refused


class Planner:
    """Pin snapshots and estimate waits for the queries.

    Parameters
    ----------
    context : Context
        Shared settings.
    fleet : Fleet
        Servers and services.
    choice : ReplicaChoice
        Holder of the snapshot table.
    dispatcher : Dispatcher
        Holder of the queues.
    """

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        choice: ReplicaChoice,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._choice = choice
        self._dispatcher = dispatcher
        self._plans: dict[str, tuple[int, float, Plan | None]] = {}

    def pin(self, route: str, search: SearchSpec, now_ms: float) -> Plan | None:
        """Pin the snapshot, from the last plan while nothing has changed."""
        generation = self._fleet.generation
        known = self._plans.get(route)
        if known and known[0] == generation and now_ms - known[1] < PLAN_FRESH_MS:
            return known[2]
        can_answer = partial(self._can_answer, now_ms)
        plan = pin_snapshot(self._choice.table, search.services, can_answer)
        self._plans[route] = (generation, now_ms, plan)
        return plan

    def drop_snapshot(self, server: ServerTrack, snapshot: int) -> None:
        """Note that a server no longer answers from a snapshot."""
        table = self._choice.table
        self._choice.table = drop_snapshot(table, server.name, snapshot)
        self._fleet.generation += 1

    def may_serve(self, work: Work, now_ms: float) -> bool:
        """Tell whether an untried server may answer from the pinned snapshot."""
        service = work.service
        return self._choice.may_serve(service, work.snapshot, now_ms, work.tried)

    def overload_wait_ms(self, search: SearchSpec, left_ms: float) -> float | None:
        """Return the longest wait if too many services are overloaded, else None."""
        late = 0
        longest_ms = float()
        asked = frozenset(search.services)
        for service in self._dispatcher.backlogged.values():
            if service.name not in asked:
                continue
            wait_ms = self._dispatcher.wait_ms(service, search.urgency)
            longest_ms = max(longest_ms, wait_ms)
            late += not fits(wait_ms, service.typical_ms, left_ms)
        return longest_ms if late > len(asked) * OVERLOADED_RATIO else None

    def _can_answer(self, now_ms: float, service: str, snapshot: int) -> bool:
        track = self._fleet.services.get(service)
        return track is not None and self._choice.may_serve(track, snapshot, now_ms)
