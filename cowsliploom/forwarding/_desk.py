"""What all requests of one entry VM share, and where they begin."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._budget import ExtraBudget
from cowsliploom.forwarding._exchange import Exchange
from cowsliploom.forwarding._fleet import Fleet, calls_max
from cowsliploom.forwarding._latency import RecentLatency
from cowsliploom.forwarding._messages import CallerRequest, Outcome, TurnAway
from cowsliploom.forwarding._routes import Route, RouteTable
from cowsliploom.forwarding._weights import WeightedTurns
from cowsliploom.forwarding._work import Progress, Work

RETRY_SPREAD = 0.5  # callers that are refused together come back apart
LATENCY_DEFAULT_SHARE = 0.3  # of the target, until there are samples
LATENESS_QUANTILE = 0.8
ROUTES_KEPT = 512  # latencies remembered; routes come and go


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


class ForwardingDesk:
    """Own the route table, the fleet and the budgets.

    Parameters
    ----------
    budget_rules : BudgetRules
        Bounds of extra calls.
    seed : int
        Seed for ties and spreads.
    data_centre : str
        Where this entry VM stands.
    owns : callable
        Tells whether this entry VM owns a cold server.
    """

    def __init__(
        self,
        budget_rules: BudgetRules,
        seed: int,
        data_centre: str,
        owns: Callable[[str], bool],
    ) -> None:
        self.budget_rules = budget_rules
        self.table = RouteTable()
        self.fleet = Fleet(seed, data_centre, owns)
        self._random = random.Random(seed)
        self._call_ids = itertools.count(1)
        self._budgets: dict[str, ExtraBudget] = {}
        self._latencies: dict[str, RecentLatency] = {}
        self._turns = WeightedTurns(self._random)
        self._lateness = RecentLatency(default_ms=0)

    @property
    def lateness_ms(self) -> float:
        """Return how late this process usually comes to what is due."""
        return self._lateness.quantile(LATENESS_QUANTILE)

    def note_lateness(self, late_ms: float) -> None:
        """Note how late something that was due has been looked at."""
        self._lateness.add(max(0, late_ms))

    def take_table(self, table: RouteTable) -> bool:
        """Take a table of a higher version; tell whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        self._turns.keep(table.routes)
        return True

    def open(self, request: CallerRequest) -> Exchange | TurnAway:
        """Return the exchange of a request, or why there is none."""
        if not self.table.version:
            return TurnAway(
                Outcome.REFUSED, 'no configuration yet', self.retry_after_ms(300)
            )
        route = self.table.find(request.host, request.target)
        if route is None:
            return TurnAway(Outcome.NO_ROUTE, 'no route for this host and path')
        return Exchange(self, request, route, self._works(route))

    def next_call_id(self) -> int:
        """Return an id that no call had."""
        return next(self._call_ids)

    def latency(self, route: Route) -> RecentLatency:
        """Return the recent latency of a route's calls."""
        known = self._latencies.get(route.name)
        if known is None:
            if len(self._latencies) >= ROUTES_KEPT:
                self._latencies.pop(next(iter(self._latencies)))
            known = RecentLatency(route.target_ms * LATENCY_DEFAULT_SHARE)
            self._latencies[route.name] = known
        return known

    def retry_after_ms(self, usual_ms: float) -> float:
        """Return a time to come back that spreads callers."""
        return usual_ms * self._random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)

    def _works(self, route: Route) -> tuple[Work, ...]:
        progress = Progress()
        if route.gather is not None:
            shards = route.gather.shards
            return tuple(self._work(shard, progress) for shard in shards)
        return (self._work(self._turns.next_service(route), progress),)

    def _work(self, service: str, progress: Progress) -> Work:
        budget = self._budgets.get(service)
        if budget is None:
            rules = self.budget_rules
            budget = ExtraBudget(rules.ratio, rules.extra, rules.window_ms)
            self._budgets[service] = budget
        rules_of_service = self.table.rules(service)
        allowed = calls_max(rules_of_service.connections_max, self.fleet.sharers)
        return Work(service, budget, allowed, progress)
