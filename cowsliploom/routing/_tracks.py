"""Mutable state of servers, services, queries, runs and calls.

The records are owned by the router's task. They are mutable because a query to many
shards changes some of them at every reply, and copying them each time would cost
more than the call. The values inside them are frozen.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from cowsliploom.protocol import SearchReply
from cowsliploom.resources import SearchSpec
from cowsliploom.routing._admission import Departures, WaitEstimate
from cowsliploom.routing._budget import TokenBudget
from cowsliploom.routing._catalog import CatalogServer
from cowsliploom.routing._latency import LatencyWindow
from cowsliploom.routing._limiter import Limiter
from cowsliploom.routing._messages import QueryArrived, RunArrived
from cowsliploom.routing._queue import UrgencyQueue
from cowsliploom.routing._shares import ShareCounter
from cowsliploom.routing._snapshots import Plan
from cowsliploom.routing._view import ServerView
from cowsliploom.routing._warmup import Cold, Warmth, cold_allowance

TYPICAL_MS = 10  # default median latency of a service without enough samples
NEVER_MS = -math.inf
RUN_ROUTE = 'run'


class Attempt(StrEnum):
    """Reason for sending a call; the value names its counter."""

    FIRST = 'sub_requests'
    HEDGE = 'hedges'
    RETRY = 'retries'
    REROUTE = 'reroutes'
    REQUEUE = 'requeues'


class Block(StrEnum):
    """Reason why a server gets no new work."""

    OUT = 'out'
    LEAVING = 'leaving'
    LISTED_LEAVING = 'listed_leaving'
    GONE = 'gone'


@dataclass(slots=True, eq=False)
class ServerTrack:
    """State of one backend server.

    Parameters
    ----------
    name : str
        Name of the server.
    server : CatalogServer
        Configuration of the server.
    version : str
        Version that the server last reported, or the configured one.
    local : bool
        Whether the server is in the data centre of the entry VM.
    warmth : Warm or Cold
        Warm-up state.
    limiter : Limiter
        Adaptive concurrency limit.
    """

    name: str
    server: CatalogServer
    version: str
    local: bool
    warmth: Warmth
    limiter: Limiter
    share: float = 1
    ceiling: float = 1
    connections: int = 1
    preference: float = 1
    view: ServerView = ServerView()
    in_flight: int = 0
    sent_ms: float = NEVER_MS
    incarnation: str = ''
    past_incarnations: tuple[str, ...] = ()
    is_known: bool = False
    blocks: set[Block] = field(default_factory=set)
    is_owned: bool = False
    failures: int = 0
    refused_connections: int = 0
    probes_failed: int = 0
    down_until_ms: float = NEVER_MS
    paused_until_ms: float = NEVER_MS
    retired_ms: float = NEVER_MS
    reported_ms: float = NEVER_MS
    reported_ceiling: float = 1
    reported_busy: float = 0
    reported_cold: int = 0
    connections_max: int = 0

    @property
    def is_cold(self) -> bool:
        """Return whether the server is considered cold."""
        return isinstance(self.warmth, Cold)

    def block(self, reason: Block, is_blocked: bool) -> None:
        """Set or clear one reason to send no new work."""
        if is_blocked:
            self.blocks.add(reason)
        else:
            self.blocks.discard(reason)

    def is_reachable(self, now_ms: float) -> bool:
        """Return whether the server may get work when it has room."""
        if self.blocks or now_ms < self.down_until_ms:
            return False
        return self.is_owned or not isinstance(self.warmth, Cold)

    def has_room(
        self, now_ms: float, typical_ms: float, fresh_ms: float, spare: int = 0
    ) -> bool:
        """Return whether a reachable server has room for one more call now.

        Parameters
        ----------
        now_ms, typical_ms, fresh_ms : float
            Current time, median latency of the service and maximum age of a fresh
            load report, in milliseconds.
        spare : int, default=0
            Calls allowed beyond the adaptive limit; hedges, which are few, use one.
        """
        in_flight = self.in_flight
        if in_flight >= self.connections:
            return False
        if now_ms < self.paused_until_ms or (self.failures and in_flight):
            return False  # after failures, one call at a time probes the server
        is_fresh = now_ms - self.reported_ms <= fresh_ms
        warmth = self.warmth
        if isinstance(warmth, Cold):
            reported = self.reported_cold if is_fresh else None
            return in_flight < cold_allowance(warmth, self.is_owned, reported)
        if is_fresh and in_flight >= self.reported_ceiling:
            return False
        since_ms = now_ms - self.sent_ms
        if self.limiter.allows(in_flight, since_ms, typical_ms):
            return True
        whole = int(self.limiter.limit)
        return spare > 0 and whole > 0 and in_flight < whole + spare


@dataclass(slots=True, eq=False)
class ServiceTrack:
    """State of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    queue : UrgencyQueue
        Requests waiting for a server with room.
    budget : TokenBudget
        Budget of extra sub-requests to the service.
    """

    name: str
    queue: UrgencyQueue['WorkItem']
    budget: TokenBudget
    servers: tuple[ServerTrack, ...] = ()
    window: LatencyWindow = LatencyWindow()
    move: ShareCounter | None = None
    estimates: dict[int, WaitEstimate] = field(default_factory=dict)
    departures: Departures = Departures()
    shed_ms: float = NEVER_MS
    shed_ratio: float = 0

    @property
    def typical_ms(self) -> float:
        """Return the service's median latency, in milliseconds."""
        return self.window.quantile(0.5, TYPICAL_MS)

    def is_impaired(self, now_ms: float) -> bool:
        """Return whether a server of the service gets no work or reduced work."""
        return any(
            server.is_cold or server.failures or not server.is_reachable(now_ms)
            for server in self.servers
        )


@dataclass(slots=True, eq=False)
class OpenQuery:
    """Open query.

    Parameters
    ----------
    event : QueryArrived
        Query of the caller.
    search : SearchSpec
        Search configuration at arrival.
    plan : Plan
        Pinned snapshot.
    deadline_ms : float
        Time at which the query is answered with the replies so far.
    """

    event: QueryArrived
    search: SearchSpec
    plan: Plan
    deadline_ms: float
    attempts: int = 0
    restarts: int = 0
    has_waited: bool = False
    is_closed: bool = False
    open_items: dict[str, 'WorkItem'] = field(default_factory=dict)
    replies: dict[str, SearchReply] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return the id of the query."""
        return self.event.query_id

    @property
    def route(self) -> str:
        """Return the search name, used as the route in samples."""
        return self.event.search


@dataclass(slots=True, eq=False)
class OpenRun:
    """Open non-idempotent request."""

    event: RunArrived
    deadline_ms: float
    attempts: int = 0

    @property
    def name(self) -> str:
        """Return the id of the request."""
        return self.event.run_id

    @property
    def route(self) -> str:
        """Return the common route of non-idempotent requests in samples."""
        return RUN_ROUTE


@dataclass(slots=True, eq=False)
class WorkItem:
    """Sub-request or run to be answered by a server.

    Parameters
    ----------
    service : ServiceTrack
        Service to call.
    parent : OpenQuery or OpenRun
        Query or run that it belongs to.
    urgency : int
        1 (least urgent) to 9 (most urgent).
    deadline_ms : float
        Time by which a reply is needed.
    snapshot : int or None
        Pinned snapshot; None for a run.
    """

    service: ServiceTrack
    parent: OpenQuery | OpenRun
    urgency: int
    deadline_ms: float
    snapshot: int | None = None
    attempt: Attempt = Attempt.FIRST
    tried: tuple[str, ...] = ()
    calls: list['Call'] = field(default_factory=list)
    hedges: int = 0
    sheds: int = 0
    is_done: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """One attempt of a sub-request or run."""

    call_id: str
    work: WorkItem
    server: ServerTrack
    sent_ms: float
    is_cold: bool
