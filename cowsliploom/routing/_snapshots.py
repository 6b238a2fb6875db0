"""Snapshots held by the servers, and choice of the snapshot that a query pins."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field, replace

from cowsliploom.protocol import DocRange, HealthReport, SnapshotInfo

SNAPSHOTS_KEPT = 8  # per service; no query still pins an older one

CanAnswer = Callable[[str, int], bool]
Shard = tuple[str, tuple[DocRange, ...]]
ShardMap = Mapping[int, SnapshotInfo]


@dataclass(frozen=True, slots=True)
class Holding:
    """Snapshots held by one server in one incarnation.

    Parameters
    ----------
    incarnation : str
        Incarnation that reported the snapshots.
    snapshots : frozenset of int
        Snapshots that the server can answer from.
    dropped : frozenset of int
        Snapshots that this incarnation refused as gone; a late report does not
        restore them.
    """

    incarnation: str = ''
    snapshots: frozenset[int] = frozenset()
    dropped: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class SnapshotTable:
    """Snapshots and shard maps that backend servers have reported.

    Parameters
    ----------
    holdings : mapping of str to Holding
        Snapshots by server.
    shards : mapping of str to mapping of int to SnapshotInfo
        Shard map by service and snapshot; kept when a server is lost.
    """

    holdings: Mapping[str, Holding] = field(default_factory=dict)
    shards: Mapping[str, ShardMap] = field(default_factory=dict)

    def holds(self, server: str, snapshot: int) -> bool:
        """Return whether a server can answer from a snapshot."""
        holding = self.holdings.get(server)
        return holding is not None and snapshot in holding.snapshots

    def has_dropped_all(self, server: str) -> bool:
        """Return whether a server has dropped all snapshots that it reported."""
        holding = self.holdings.get(server)
        return holding is not None and bool(holding.dropped) and not holding.snapshots

    def has_dropped(self, server: str, snapshot: int) -> bool:
        """Return whether a server has dropped a snapshot that it held before."""
        holding = self.holdings.get(server)
        return holding is not None and snapshot in holding.dropped


@dataclass(frozen=True, slots=True)
class Plan:
    """Snapshot pinned by a query, and the shards to search.

    Parameters
    ----------
    snapshot : int
        Snapshot that every reply must come from.
    total_docs : int
        Documents in the whole index at the snapshot.
    shards : tuple of (str, tuple of DocRange)
        Services to query, each with the documents of its shard.
    is_complete : bool, default=False
        Whether every document had a usable server when it was pinned.
    """

    snapshot: int
    total_docs: int
    shards: tuple[Shard, ...]
    is_complete: bool = False


def apply_report(table: SnapshotTable, report: HealthReport) -> SnapshotTable:
    """Apply a server's health report to the table.

    Returns
    -------
    SnapshotTable
        The same object if the report changes nothing.
    """
    known = table.holdings.get(report.server, Holding())
    reported = frozenset(info.snapshot for info in report.snapshots)
    dropped = known.dropped if known.incarnation == report.incarnation else frozenset()
    holding = Holding(report.incarnation, reported - dropped, dropped)
    shards = _merge_shards(table.shards, report.snapshots)
    if holding == known and shards is table.shards:
        return table
    return SnapshotTable({**table.holdings, report.server: holding}, shards)


def drop_unconfigured(
    table: SnapshotTable, servers: Collection[str], services: Collection[str]
) -> SnapshotTable:
    """Remove servers and services that are no longer configured."""
    return SnapshotTable(
        {name: held for name, held in table.holdings.items() if name in servers},
        {name: shard for name, shard in table.shards.items() if name in services},
    )


def drop_snapshot(table: SnapshotTable, server: str, snapshot: int) -> SnapshotTable:
    """Record that a server no longer answers from a snapshot."""
    known = table.holdings.get(server, Holding())
    if snapshot in known.dropped:
        return table
    holding = replace(
        known,
        snapshots=known.snapshots - {snapshot},
        dropped=known.dropped | {snapshot},
    )
    return replace(table, holdings={**table.holdings, server: holding})


def pin_snapshot(
    table: SnapshotTable, services: tuple[str, ...], can_answer: CanAnswer
) -> Plan | None:
    """Choose the newest snapshot that every service can answer from.

    Parameters
    ----------
    table : SnapshotTable
        Reported snapshots.
    services : tuple of str
        Services of the search.
    can_answer : callable
        Returns whether a service has a usable server that holds a snapshot.

    Returns
    -------
    Plan or None
        Plan with the best coverage, and the newest snapshot among equals; None
        if no service can answer from any.
    """
    best: Plan | None = None
    best_ratio = float()
    for snapshot in _list_snapshots(table, services):
        plan = _plan_snapshot(table, services, snapshot)
        covered = _count_reachable(plan, can_answer)
        ratio = covered / max(plan.total_docs, 1)
        if ratio > best_ratio:
            best = replace(plan, is_complete=ratio >= 1)
            best_ratio = ratio
        if best_ratio >= 1:
            break
    return best


def _merge_shards(
    shards: Mapping[str, ShardMap], infos: tuple[SnapshotInfo, ...]
) -> Mapping[str, ShardMap]:
    for info in infos:
        known = shards.get(info.service, {})
        merged_info = _merge_infos(known.get(info.snapshot), info)
        if known.get(info.snapshot) == merged_info:
            continue
        kept = sorted({*known, info.snapshot})[-SNAPSHOTS_KEPT:]
        if info.snapshot not in kept:
            continue
        merged = {**known, info.snapshot: merged_info}
        shards = {
            **shards,
            info.service: {snapshot: merged[snapshot] for snapshot in kept},
        }
    return shards


def _merge_infos(known: SnapshotInfo | None, info: SnapshotInfo) -> SnapshotInfo:
    """Merge two reports of one shard, as replicas may hold different parts."""
    if known is None or known == info:
        return info
    ranges = known.ranges
    if info.ranges != ranges:
        ranges = tuple(dict.fromkeys((*ranges, *info.ranges)))
    total_docs = max(known.total_docs, info.total_docs)
    return replace(known, ranges=ranges, total_docs=total_docs)


def _list_snapshots(table: SnapshotTable, services: tuple[str, ...]) -> tuple[int, ...]:
    found: set[int] = set()
    for service in services:
        found.update(table.shards.get(service, ()))
    return tuple(sorted(found, reverse=True))


def _plan_snapshot(
    table: SnapshotTable, services: tuple[str, ...], snapshot: int
) -> Plan:
    shards: list[Shard] = []
    total_docs = 0
    for service in services:
        info = table.shards.get(service, {}).get(snapshot)
        shards.append((service, info.ranges if info else ()))
        total_docs = max(total_docs, info.total_docs if info else 0)
    return Plan(snapshot, total_docs, tuple(shards))


def _count_reachable(plan: Plan, can_answer: CanAnswer) -> int:
    return sum(
        span.end - span.first
        for service, ranges in plan.shards
        if ranges and can_answer(service, plan.snapshot)
        for span in ranges
    )
