"""Backend servers and services, from configuration, reports and peers."""

from dataclasses import replace

from cowsliploom.protocol import HealthReport, LoadReport, ServerState
from cowsliploom.resources import Configuration
from cowsliploom.rollout import VersionShare
from cowsliploom.routing._budget import TokenBudget
from cowsliploom.routing._catalog import Catalog, CatalogServer, build_catalog
from cowsliploom.routing._choice import ReplicaChoice
from cowsliploom.routing._context import Context
from cowsliploom.routing._limiter import (
    Limiter,
    cap_limit,
    connection_share,
    fair_share,
)
from cowsliploom.routing._queue import UrgencyQueue
from cowsliploom.routing._replica import preference_factor
from cowsliploom.routing._shares import change_share
from cowsliploom.routing._snapshots import (
    SnapshotTable,
    apply_report,
    drop_unconfigured,
)
from cowsliploom.routing._tracks import Block, ServerTrack, ServiceTrack, WorkItem
from cowsliploom.routing._warmup import Cold, ColdCause, Warm, apply_reported_state

PROBES_FAILED_MAX = 3  # a single lost probe is weak evidence
PAST_INCARNATIONS_KEPT = 4  # distinguishes their late reports from a restart
REPORT_WEIGHT = 0.3  # smooths the load, which changes within milliseconds
INITIAL_LIMIT = 0.5  # paces calls to a server that others have warmed up


class Fleet:
    """State of all servers and services.

    Parameters
    ----------
    context : Context
        Shared settings and identity.
    choice : ReplicaChoice
        Holder of the snapshot table.
    """

    def __init__(self, context: Context, choice: ReplicaChoice) -> None:
        self._context = context
        self._choice = choice
        self._entries = 1
        self._started_ms: float | None = None
        self._owned: frozenset[str] = frozenset()
        self._listed_leaving: frozenset[str] = frozenset()
        self._shares: tuple[VersionShare, ...] = ()
        self.catalog = Catalog()
        self.servers: dict[str, ServerTrack] = {}
        self.services: dict[str, ServiceTrack] = {}
        self.generation = 0

    @property
    def table(self) -> SnapshotTable:
        """Return the snapshot table."""
        return self._choice.table

    def configure(self, configuration: Configuration, now_ms: float) -> None:
        """Apply a configuration unless its revision is older than the current one."""
        catalog = build_catalog(configuration)
        if catalog.revision < self.catalog.revision:
            return
        if self._started_ms is None:
            self._started_ms = now_ms
        self.catalog = catalog
        self.generation += 1
        known = self.servers
        self.servers = {
            name: self._track_server(known.get(name), server, now_ms)
            for name, server in catalog.servers.items()
        }
        for track in known.values():
            is_gone = self.servers.get(track.name) is not track
            track.block(Block.GONE, is_gone)
        self.services = {name: self._track_service(name) for name in catalog.services}
        self._choice.table = drop_unconfigured(
            self._choice.table, catalog.servers, catalog.services
        )
        self.update_shares(self._shares)
        self.update_entry_count(self._entries)

    def update_entry_count(self, entries: int) -> None:
        """Divide slots and connections by a new number of entry VMs."""
        self._entries = max(1, entries)
        allowance = self._context.settings.queue_allowance
        for server in self.servers.values():
            slots = server.server.slots
            connections = self.connection_allowance(server.name)
            before = server.share
            server.connections = connections
            server.share = fair_share(slots, allowance, self._entries)
            server.ceiling = min(max(server.share, slots), connections)
            initial_limit = min(max(1, server.share), connections)
            if server.limiter.limit >= before:
                server.limiter = replace(server.limiter, limit=initial_limit)
            server.limiter = cap_limit(server.limiter, initial_limit)

    def update_owned(self, servers: frozenset[str]) -> None:
        """Set the servers whose cold start this entry VM owns."""
        self._owned = servers
        self.generation += 1
        for server in self.servers.values():
            server.is_owned = server.name in servers

    def update_leaving(self, servers: frozenset[str]) -> None:
        """Set the servers that the platform lists as leaving."""
        self._listed_leaving = servers
        self.generation += 1
        for server in self.servers.values():
            server.block(Block.LISTED_LEAVING, server.name in servers)

    def update_shares(self, shares: tuple[VersionShare, ...]) -> None:
        """Set the traffic shares of all version moves."""
        self._shares = shares
        by_service = {share.service: share for share in shares}
        for service in self.services.values():
            share = by_service.get(service.name)
            if share is None:
                service.move = None
                continue
            service.move = change_share(service.move, share.to_version, share.share)

    def apply_health_report(self, report: HealthReport, now_ms: float) -> None:
        """Apply a health report; ignore one of a past incarnation."""
        server = self.servers.get(report.server)
        if server is None or report.incarnation in server.past_incarnations:
            return
        table = apply_report(self._choice.table, report)
        if table is not self._choice.table:
            self._choice.table = table
            self.generation += 1
        server.probes_failed = 0
        self.apply_reported_state(
            server, report.incarnation, report.version, report.state, now_ms
        )
        self.record_contact(server, now_ms)

    def apply_load_report(self, report: LoadReport, now_ms: float) -> None:
        """Apply a load report, which can only lower limits, and only while fresh.

        Notes
        -----
        It lowers the limit down to the fair share but never below: a delayed or
        wrong report must not take a server out of use.
        """
        server = self.servers.get(report.server)
        if server is None:
            return
        others_busy = max(0, report.busy - server.in_flight)
        change = others_busy - server.reported_busy
        server.reported_busy += change * REPORT_WEIGHT
        server.reported_ms = now_ms
        spare = report.slots + self._context.settings.queue_allowance
        server.reported_ceiling = max(1, server.share, spare - server.reported_busy)
        server.reported_cold = report.cold_allowance
        server.connections_max = report.connections_max

    def apply_warm_servers(self, names: frozenset[str]) -> None:
        """Mark servers warm that their owners have reported as warm."""
        for name in names:
            server = self.servers.get(name)
            if server is None or server.is_owned:
                continue
            if isinstance(server.warmth, Cold) and server.warmth.reports_live:
                self.mark_warm(server)

    def apply_reported_state(
        self,
        server: ServerTrack,
        incarnation: str,
        version: str,
        state: ServerState,
        now_ms: float,
    ) -> None:
        """Apply the state that a server reports in replies, refusals and health."""
        if incarnation in server.past_incarnations:
            return
        if incarnation != server.incarnation:
            self._apply_incarnation(server, incarnation, state, now_ms)
        if version:
            server.version = version
        is_leaving = state is ServerState.LEAVING
        if is_leaving and Block.LEAVING not in server.blocks:
            server.blocks.add(Block.LEAVING)
            self.generation += 1
        warmth = server.warmth
        if isinstance(warmth, Warm) and state is not ServerState.COLD:
            return
        hold_ms = self._context.settings.cold_hold_ms
        after = apply_reported_state(warmth, state, now_ms, hold_ms, server.is_owned)
        if isinstance(after, Warm):
            self.mark_warm(server)
        elif isinstance(warmth, Warm):
            self.mark_cold(server, ColdCause.REPORTED, now_ms)
        else:
            server.warmth = after

    def mark_cold(self, server: ServerTrack, cause: ColdCause, now_ms: float) -> None:
        """Mark a server as cold, with the minimum allowance."""
        reports_live = cause is not ColdCause.REPORTED
        if not server.is_cold:
            self._context.count('cold_turns')
        server.warmth = Cold(cause, now_ms, reports_live)
        self.generation += 1

    def record_contact(self, server: ServerTrack, now_ms: float) -> None:
        """Record a response; after refused connections it indicates a restart."""
        if server.refused_connections > 1:
            self.mark_cold(server, ColdCause.CONNECTIONS, now_ms)
        server.refused_connections = 0

    def record_failed_probe(self, name: str, now_ms: float) -> None:
        """Record a failed probe, which counts only without recent local calls."""
        server = self.servers.get(name)
        if server is None:
            return
        server.probes_failed += 1
        is_silent = server.view.updated_ms < now_ms - PROBES_FAILED_MAX * 1000
        if server.probes_failed >= PROBES_FAILED_MAX and is_silent:
            server.failures = max(1, server.failures)

    def connection_allowance(self, name: str) -> int:
        """Return how many connections may be open to a server, at least 1."""
        server = self.servers.get(name)
        if server is None:
            return 1
        accepted = server.server.connections_max
        if server.connections_max:
            accepted = min(accepted, server.connections_max)
        headroom = self._context.settings.connection_headroom_ratio
        return connection_share(accepted, headroom, self._entries)

    def mark_warm(self, server: ServerTrack) -> None:
        """Mark a server as warm; pace calls to one that other entry VMs warmed up."""
        initial_limit = max(1, server.share) if server.is_owned else INITIAL_LIMIT
        server.warmth = Warm()
        server.limiter = Limiter(initial_limit)
        self.generation += 1

    def _apply_incarnation(
        self, server: ServerTrack, incarnation: str, state: ServerState, now_ms: float
    ) -> None:
        past = (*server.past_incarnations, server.incarnation)
        server.past_incarnations = tuple(filter(None, past))[-PAST_INCARNATIONS_KEPT:]
        server.incarnation = incarnation
        server.blocks.discard(Block.LEAVING)
        server.failures = 0
        server.down_until_ms = 0
        started_ms = self._started_ms or 0
        at_start = now_ms - started_ms <= self._context.settings.start_grace_ms
        is_first = not server.is_known
        server.is_known = True
        self.generation += 1
        if is_first and at_start and state is ServerState.LIVE:
            server.warmth = Warm()
            return
        cause = ColdCause.UNKNOWN if is_first else ColdCause.INCARNATION
        self.mark_cold(server, cause, now_ms)

    def _track_server(
        self, known: ServerTrack | None, server: CatalogServer, now_ms: float
    ) -> ServerTrack:
        is_out = server.spec.data_centre in self.catalog.data_centres_out
        if known is None or known.server.spec.address != server.spec.address:
            known = ServerTrack(
                server.spec.name,
                server,
                server.spec.version,
                server.spec.data_centre == self._context.data_centre,
                Cold(ColdCause.UNKNOWN, now_ms),
                Limiter(1),
            )
        elif Block.OUT in known.blocks and not is_out:
            self.mark_cold(known, ColdCause.RETURNED, now_ms)
        if known.server.spec.version != server.spec.version:
            known.version = server.spec.version
        known.server = server
        known.block(Block.OUT, is_out)
        known.is_owned = known.name in self._owned
        known.block(Block.LISTED_LEAVING, known.name in self._listed_leaving)
        return known

    def _track_service(self, name: str) -> ServiceTrack:
        settings = self._context.settings
        names = self.catalog.services[name]
        track = self.services.get(name)
        if track is None:
            queue: UrgencyQueue[WorkItem] = UrgencyQueue(settings.queue_max)
            budget = TokenBudget(settings.service_extra_ratio)
            track = ServiceTrack(name, queue, budget)
        track.servers = tuple(self.servers[server] for server in names)
        for server in track.servers:
            server.preference = preference_factor(
                self._context.name, server.name, names
            )
        return track
