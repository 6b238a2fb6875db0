"""Dispatch of requests, with the state that all requests of one entry VM share."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._access import AccessControl
from cowsliploom.forwarding._budgets import BudgetRules, ServiceBudgets
from cowsliploom.forwarding._call_history import CallHistory
from cowsliploom.forwarding._exchange import Exchange
from cowsliploom.forwarding._fleet import Fleet, calls_max
from cowsliploom.forwarding._latency import RecentLatency
from cowsliploom.forwarding._messages import CallerRequest, ErrorReply
from cowsliploom.forwarding._relay_plan import (
    PlannedShare,
    RelayShare,
    plan_relays,
    plan_remote_relays,
)
from cowsliploom.forwarding._relayed import RelayedShare, share_route
from cowsliploom.forwarding._routes import FanOut, Route, RouteTable
from cowsliploom.forwarding._schedule import hedge_delay_ms
from cowsliploom.forwarding._servers import Server, ServerRecord, ServerState
from cowsliploom.forwarding._sub_request import SubRequest, SubRequestCounts
from cowsliploom.forwarding._weights import WeightedRoundRobin
from cowsliploom.members import Member

RETRY_SPREAD = 0.5  # spreads the retries of callers that are refused together
LATENCY_DEFAULT_SHARE = 0.3  # of the target latency, until there are samples
LOOP_LAG_QUANTILE = 0.8
REPORT_LAG_QUANTILE = 0.8
RELAY_SLOTS = 64  # relays have no slots and never count as full
RELAYS_PER_SERVER = 12  # that call one server, a few in each data centre
ROUTES_KEPT = 512  # bounds the latency samples kept, as routes are added and removed


@dataclass(frozen=True, slots=True)
class _PlanInputs:
    """State from which a relay plan was computed, besides its route."""

    members: tuple[Member, ...]
    layout_version: int
    closed_data_centres: frozenset[str]


@dataclass(frozen=True, slots=True)
class _RelayPlan:
    """Assignment of a route's shards to relays."""

    inputs: _PlanInputs
    shares: tuple[PlannedShare, ...]


class RequestDispatcher:
    """Open an exchange for each request; own route table, fleet and budgets.

    Parameters
    ----------
    budget_rules : BudgetRules
        Limits on extra calls.
    seed : int
        Seed for tie-breaking and jitter.
    data_centre : str
        Data centre of this entry VM.
    owns : callable
        Returns whether this entry VM owns a cold server.
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
        self.access = AccessControl(self.retry_after_ms)
        self._round_robin = WeightedRoundRobin(self._random)
        self._relays: dict[str, Server] = {}
        self._plans: dict[str, _RelayPlan] = {}
        self._loop_lag = RecentLatency(default_ms=0)
        self._report_lag = RecentLatency(default_ms=0)
        self.calls = CallHistory()

    @property
    def budgets(self) -> ServiceBudgets:
        """Budgets of extra calls, by service."""
        return self._budgets

    @property
    def loop_lag_ms(self) -> float:
        """Typical delay between a timer's due time and its handling."""
        return self._loop_lag.quantile(LOOP_LAG_QUANTILE)

    def record_loop_lag(self, lag_ms: float) -> None:
        """Record by how much a timer was handled late."""
        self._loop_lag.add(max(0, lag_ms))

    @property
    def report_lag_ms(self) -> float:
        """Typical delay between a report's due time at the relay and its arrival."""
        return self._report_lag.quantile(REPORT_LAG_QUANTILE)

    def record_report_lag(self, lag_ms: float) -> None:
        """Record by how much a relay's first report arrived after it was due."""
        self._report_lag.add(lag_ms)

    def apply_table(self, table: RouteTable) -> bool:
        """Apply a table if its version is higher; return whether it was applied."""
        if table.version <= self.table.version:
            return False
        self.table = table
        self._plans = {}
        self._round_robin.retain(table.routes)
        return True

    def open(self, request: CallerRequest) -> Exchange | ErrorReply:
        """Return the exchange of a request, or an error reply if there is none."""
        admission = self.access.admit(self.table, request)
        if isinstance(admission, ErrorReply):
            return admission
        route, workspace = admission.route, admission.workspace
        sub_requests = self._sub_requests(route)
        for sub_request in sub_requests:
            sub_request.budget.earn()
        shares = self.relay_shares(route, request.arrived_ms)
        return Exchange(
            self,
            request,
            route,
            sub_requests,
            shares,
            reply_policy=None,
            workspace=workspace,
        )

    def open_share(
        self, request: CallerRequest, name: str, fan_out: FanOut, report_ms: float
    ) -> RelayedShare:
        """Return the share of another entry VM's query that this one relays.

        Parameters
        ----------
        request : CallerRequest
            The request.
        name : str
            Name of its route.
        fan_out : FanOut
            Shards of the share.
        report_ms : float
            When the answers received so far are reported.
        """
        route = share_route(name, fan_out, request.patience_ms)
        sub_requests = self._sub_requests(route, RELAYS_PER_SERVER)
        return RelayedShare(self, request, route, sub_requests, report_ms)

    def relay(self, share: RelayShare, now_ms: float) -> Server:
        """Return the relay of a share, tracked like a backend server."""
        return self._relay_of(share.relay, now_ms)

    def next_call_id(self) -> int:
        """Return an unused call id."""
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

    def retry_after_ms(self, base_ms: float) -> float:
        """Return a randomised retry delay, so that callers do not retry together."""
        return base_ms * self._random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)

    def relay_shares(self, route: Route, now_ms: float) -> tuple[RelayShare, ...]:
        """Return the shares of responsive relays; other shards are called directly."""
        members = self.members()
        if route.fan_out is None or not members:
            return ()
        inputs = _PlanInputs(
            members, self.fleet.layout_version, self.fleet.closed_data_centres
        )
        plan = self._plans.get(route.name)
        if plan is None or plan.inputs != inputs:
            plan = _RelayPlan(inputs, self._make_plan(route.fan_out.shards, members))
            self._plans[route.name] = plan
        silence_ms = hedge_delay_ms(route, self.latency(route))
        chosen = (
            self._responsive_share(planned, now_ms, silence_ms)
            for planned in plan.shares
        )
        return tuple(share for share in chosen if share is not None)

    def _responsive_share(
        self, planned: PlannedShare, now_ms: float, silence_ms: float
    ) -> RelayShare | None:
        """Return the share of the first relay that responds, or None.

        Shares lost in a relay cost extra calls.
        """
        for member in planned.relays:
            relay = self._relay_of(member, now_ms)
            lacks_response = relay.lacks_response(now_ms, silence_ms)
            if not (lacks_response or relay.is_ejected(now_ms)):
                return RelayShare(member, planned.shards)
        return None

    def _make_plan(
        self, shards: tuple[str, ...], members: tuple[Member, ...]
    ) -> tuple[PlannedShare, ...]:
        own = self.fleet.data_centre
        data_centres = {shard: self.fleet.data_centres_of(shard) for shard in shards}
        local = tuple(shard for shard, found in data_centres.items() if own in found)
        remote = {
            shard: found for shard, found in data_centres.items() if own not in found
        }
        local_members = tuple(one for one in members if one.data_centre == own)
        remote_members = tuple(one for one in members if one.data_centre != own)
        return (
            *plan_relays(local, local_members, shards),
            *plan_remote_relays(remote, remote_members, self.name, shards),
        )

    def _relay_of(self, member: Member, now_ms: float) -> Server:
        known = self._relays.get(member.name)
        if known is None or known.record.address != member.address:
            known = Server(_relay_record(member), now_ms, self.fleet.on_health_change)
            self._relays[member.name] = known
        return known

    def _sub_requests(self, route: Route, sharers: int = 0) -> tuple[SubRequest, ...]:
        counts = SubRequestCounts()
        if route.fan_out is not None:
            shards = route.fan_out.shards
            return tuple(self._sub_request(shard, counts, sharers) for shard in shards)
        return (
            self._sub_request(self._round_robin.next_service(route), counts, sharers),
        )

    def _sub_request(
        self, service: str, counts: SubRequestCounts, sharers: int
    ) -> SubRequest:
        budget = self._budgets.of_service(service)
        rules_of_service = self.table.rules(service)
        sharers = sharers or self.fleet.sharers
        allowed = calls_max(rules_of_service.connections_max, sharers)
        return SubRequest(service, budget, allowed, counts, sharers)


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
