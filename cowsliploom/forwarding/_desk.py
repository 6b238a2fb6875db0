"""What all requests of one entry VM share, and where they begin."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._budgets import BudgetRules, ServiceBudgets
from cowsliploom.forwarding._call_memory import CallMemory
from cowsliploom.forwarding._exchange import Exchange
from cowsliploom.forwarding._fleet import Fleet, calls_max
from cowsliploom.forwarding._latency import RecentLatency
from cowsliploom.forwarding._messages import CallerRequest, Outcome, ErrorReply
from cowsliploom.forwarding._pace import hedge_delay_ms
from cowsliploom.forwarding._relay_plan import (
    RelayShare,
    plan_far_relays,
    plan_relays,
)
from cowsliploom.forwarding._relayed import RelayedShare, share_route
from cowsliploom.forwarding._routes import FanOut, Route, RouteTable
from cowsliploom.forwarding._servers import Server, ServerRecord, ServerState
from cowsliploom.forwarding._weights import WeightedTurns
from cowsliploom.forwarding._work import Progress, SubRequest
from cowsliploom.members import Member

RETRY_AFTER_MS = 300.0  # a configuration is fetched within that, or not soon
RETRY_SPREAD = 0.5  # callers that are refused together come back apart
LATENCY_DEFAULT_SHARE = 0.3  # of the target, until there are samples
LATENESS_QUANTILE = 0.8
RELAY_SLOTS = 64  # a relay has no slots; it is never called full
SHARE_SHARERS = 12  # relays, a few in each data centre, that call a server
ROUTES_KEPT = 512  # latencies remembered; routes come and go


@dataclass(frozen=True, slots=True)
class _Basis:
    """Hold what a plan of shares was made from, besides its route."""

    members: tuple[Member, ...]
    layout: int
    closed_data_centres: frozenset[str]


@dataclass(frozen=True, slots=True)
class _Plan:
    """Remember how a route's shards are shared among members."""

    basis: _Basis
    shares: tuple[RelayShare, ...]


class RequestDispatcher:
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
        self._budgets = ServiceBudgets(budget_rules)
        self.table = RouteTable()
        self.fleet = Fleet(seed, data_centre, owns)
        self._random = random.Random(seed)
        self._call_ids = itertools.count(1)
        self._latencies: dict[str, RecentLatency] = {}
        self.name = ''
        self.members: Callable[[], tuple[Member, ...]] = tuple
        self.is_current: Callable[[float], bool] = bool
        self._turns = WeightedTurns(self._random)
        self._relays: dict[str, Server] = {}
        self._plans: dict[str, _Plan] = {}
        self._lateness = RecentLatency(default_ms=0)
        self.calls = CallMemory()

    @property
    def budgets(self) -> ServiceBudgets:
        """Return the budgets of extra calls."""
        return self._budgets

    @property
    def lateness_ms(self) -> float:
        """Return how late this process usually comes to what is due."""
        return self._lateness.quantile(LATENESS_QUANTILE)

    def record_loop_lag(self, late_ms: float) -> None:
        """Note how late something that was due has been looked at."""
        self._lateness.add(max(0, late_ms))

    def apply_table(self, table: RouteTable) -> bool:
        """Take a table of a higher version; tell whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        self._plans = {}
        self._turns.keep(table.routes)
        return True

    def open(self, request: CallerRequest) -> Exchange | ErrorReply:
        """Return the exchange of a request, or why there is none."""
        if not self.table.version:
            return ErrorReply(
                Outcome.REFUSED,
                'no configuration yet',
                self.retry_after_ms(RETRY_AFTER_MS),
            )
        route = self.table.find(request.host, request.target)
        if route is None:
            return self._without_route(request.arrived_ms)
        works = self._works(route)
        for work in works:
            work.budget.earn()
        shares = self._shares(route, request.arrived_ms)
        return Exchange(self, request, route, works, shares)

    def open_share(
        self, request: CallerRequest, name: str, gather: FanOut, report_ms: float
    ) -> RelayedShare:
        """Return the share of another entry VM's query.

        Parameters
        ----------
        request : CallerRequest
            The request.
        name : str
            Name of its route.
        gather : Gather
            Shards of the share.
        report_ms : float
            When what has come is to be told.
        """
        route = share_route(name, gather, request.patience_ms)
        works = self._works(route, SHARE_SHARERS)
        return RelayedShare(self, request, route, works, report_ms)

    def relay(self, share: RelayShare, now_ms: float) -> Server:
        """Return the relay of a share, tracked like a server."""
        known = self._relays.get(share.relay.name)
        if known is None or known.record.address != share.relay.address:
            known = Server(
                _relay_record(share.relay), now_ms, self.fleet.on_health_change
            )
            self._relays[share.relay.name] = known
        return known

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

    def _without_route(self, now_ms: float) -> ErrorReply:
        """Say that there is no route only where a new one would be known.

        A caller takes that for final, while another entry VM may have the route.
        """
        if self.is_current(now_ms):
            return ErrorReply(Outcome.NO_ROUTE, 'no route for this host and path')
        return ErrorReply(
            Outcome.REFUSED,
            'no route, and the configuration may be out of date',
            self.retry_after_ms(RETRY_AFTER_MS),
        )

    def _shares(self, route: Route, now_ms: float) -> tuple[RelayShare, ...]:
        """Return the shares of relays that answer; the rest is asked directly."""
        members = self.members()
        if route.fan_out is None or not members:
            return ()
        basis = _Basis(members, self.fleet.layout, self.fleet.closed_data_centres)
        plan = self._plans.get(route.name)
        if plan is None or plan.basis != basis:
            plan = _Plan(basis, self._plan(route.fan_out.shards, members))
            self._plans[route.name] = plan
        silence_ms = hedge_delay_ms(route, self.latency(route))
        return tuple(
            share for share in plan.shares if self._answers(share, now_ms, silence_ms)
        )

    def _answers(self, share: RelayShare, now_ms: float, silence_ms: float) -> bool:
        """Tell whether a relay says what it does; lost shares cost extra calls."""
        relay = self.relay(share, now_ms)
        is_unheard = relay.is_unheard(now_ms, silence_ms)
        return not (is_unheard or relay.is_resting(now_ms))

    def _plan(
        self, shards: tuple[str, ...], members: tuple[Member, ...]
    ) -> tuple[RelayShare, ...]:
        own = self.fleet.data_centre
        places = {shard: self.fleet.places(shard) for shard in shards}
        near = tuple(shard for shard, found in places.items() if own in found)
        far = {shard: found for shard, found in places.items() if own not in found}
        near_members = tuple(one for one in members if one.data_centre == own)
        far_members = tuple(one for one in members if one.data_centre != own)
        return (
            *plan_relays(near, near_members),
            *plan_far_relays(far, far_members, self.name),
        )

    def _works(self, route: Route, sharers: int = 0) -> tuple[SubRequest, ...]:
        progress = Progress()
        if route.fan_out is not None:
            shards = route.fan_out.shards
            return tuple(self._work(shard, progress, sharers) for shard in shards)
        return (self._work(self._turns.next_service(route), progress, sharers),)

    def _work(self, service: str, progress: Progress, sharers: int) -> SubRequest:
        budget = self._budgets.of_service(service)
        rules_of_service = self.table.rules(service)
        sharers = sharers or self.fleet.sharers
        allowed = calls_max(rules_of_service.connections_max, sharers)
        return SubRequest(service, budget, allowed, progress)


def _relay_record(member: Member) -> ServerRecord:
    return ServerRecord(
        name=member.name,
        service='relay',
        address=member.address,
        data_centre=member.data_centre,
        version='',
        slots=RELAY_SLOTS,
        state=ServerState.READY,
        cold_ms=0,
        sequence=0,
    )
