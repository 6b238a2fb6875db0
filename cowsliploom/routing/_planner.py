"""Query plans: the snapshot to pin, and the expected queueing time."""

from dataclasses import dataclass
from functools import partial

from cowsliploom.resources import SearchSpec
from cowsliploom.routing._admission import fits_time_left
from cowsliploom.routing._choice import ReplicaChoice
from cowsliploom.routing._context import Context
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._fleet import Fleet
from cowsliploom.routing._snapshots import Plan, drop_snapshot, pin_snapshot
from cowsliploom.routing._tracks import ServerTrack, WorkItem

PLAN_FRESH_MS = 100  # the end of a back-off does not change the generation
HEALTHY_LATE_RATIO = 0.12  # a higher ratio of late healthy services is overload
LATE_RATIO = 0.5  # an answer that lacks more services has little use


@dataclass(frozen=True, slots=True)
class Backlog:
    """Expected queueing of a new query.

    Parameters
    ----------
    late_services : frozenset of str
        Services that would reply too late.
    wait_ms : float
        Longest expected queueing time at these services, in milliseconds.
    is_overload : bool
        Whether the query should be refused.
    """

    late_services: frozenset[str] = frozenset()
    wait_ms: float = 0
    is_overload: bool = False


class Planner:
    """Pin snapshots and estimate queueing times for queries.

    Parameters
    ----------
    context : Context
        Shared settings.
    fleet : Fleet
        Servers and services.
    choice : ReplicaChoice
        Replica selection, with the snapshot table.
    dispatcher : Dispatcher
        Owner of the queues.
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
        """Return the plan with the pinned snapshot, cached while nothing changes."""
        generation = self._fleet.generation
        known = self._plans.get(route)
        if known and known[0] == generation and now_ms - known[1] < PLAN_FRESH_MS:
            return known[2]
        can_answer = partial(self._can_answer, now_ms)
        plan = pin_snapshot(self._choice.table, search.services, can_answer)
        self._plans[route] = (generation, now_ms, plan)
        return plan

    def drop_snapshot(self, server: ServerTrack, snapshot: int) -> None:
        """Record that a server no longer answers from a snapshot."""
        table = self._choice.table
        self._choice.table = drop_snapshot(table, server.name, snapshot)
        self._fleet.generation += 1

    def may_serve(self, work: WorkItem, now_ms: float) -> bool:
        """Return whether an untried server may answer from the pinned snapshot."""
        service = work.service
        return self._choice.may_serve(service, work.snapshot, now_ms, work.tried)

    def is_complete(self, route: str, now_ms: float) -> bool:
        """Return whether a search can now be answered with full coverage."""
        search = self._fleet.catalog.searches.get(route)
        if search is None:
            return False
        plan = self.pin(route, search, now_ms)
        return plan is not None and plan.is_complete

    def has_dropped_snapshot(self, work: WorkItem) -> bool:
        """Return whether a server of the service has dropped the pinned snapshot."""
        snapshot = work.snapshot
        if snapshot is None:
            return False
        table = self._choice.table
        names = [server.name for server in work.service.servers]
        return any(table.has_dropped(name, snapshot) for name in names)

    def awaits_snapshot(self, search: SearchSpec) -> bool:
        """Return whether a server has dropped all snapshots and a new one is due."""
        table = self._choice.table
        services = self._fleet.services
        tracks = (services[name] for name in search.services if name in services)
        return any(
            table.has_dropped_all(server.name)
            for track in tracks
            for server in track.servers
        )

    def estimate_backlog(
        self, search: SearchSpec, left_ms: float, now_ms: float
    ) -> Backlog:
        """Estimate which services would reply too late to a new query.

        Notes
        -----
        If healthy services are late, the overall load is too high, and queries
        are refused so that admitted ones keep full coverage. A late service with
        lost or cold servers is a local bottleneck: queries continue without it,
        unless most services are late.
        """
        late: set[str] = set()
        healthy = 0
        longest_ms = float()
        queried = frozenset(search.services)
        for service in self._dispatcher.backlogged.values():
            wait_ms = self._dispatcher.wait_ms(service, search.urgency)
            in_time = fits_time_left(wait_ms, service.typical_ms, left_ms)
            if in_time or service.name not in queried:
                continue
            late.add(service.name)
            longest_ms = max(longest_ms, wait_ms)
            healthy += not service.is_impaired(now_ms)
        is_overload = (
            healthy > len(queried) * HEALTHY_LATE_RATIO
            or len(late) > len(queried) * LATE_RATIO
        )
        return Backlog(frozenset(late), longest_ms, is_overload)

    def _can_answer(self, now_ms: float, service: str, snapshot: int) -> bool:
        track = self._fleet.services.get(service)
        return track is not None and self._choice.can_answer(track, snapshot, now_ms)
