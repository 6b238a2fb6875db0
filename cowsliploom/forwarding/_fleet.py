"""Registry of the backend servers that an entry VM knows, and server selection."""

import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

from cowsliploom.forwarding._moves import VersionSplit, VersionSplits
from cowsliploom.forwarding._servers import (
    Server,
    ServerHealthChange,
    ServerRecord,
    ignore_health_change,
)

CONNECTIONS_SHARE = 0.85  # the rest is reserved for replaced and silent connections
# A remote server must be this much faster, as traffic between data centres costs.
REMOTE_COST_RATIO = 2.0
COST_JITTER = 0.1  # keeps entry VMs from all choosing the same server
COLD_INTERVAL_MS = 500.0  # between requests that an owner sends to its cold server


@dataclass(frozen=True, slots=True)
class ServerChange:
    """Notice that a server was added, changed state or was removed."""

    name: str
    what: str
    service: str = ''


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Inputs that bound the choice of a server for one call.

    Parameters
    ----------
    median_ms : float
        Median latency of calls of this kind, over all servers.
    calls_max : int
        Calls that this entry VM may have open at one server.
    """

    median_ms: float
    calls_max: int


class Fleet:
    """Register the backend servers and choose one for each call.

    Parameters
    ----------
    seed : int
        Seed of the generator for cost jitter.
    data_centre : str
        Data centre of this entry VM.
    owns : callable
        Returns whether this entry VM owns a server while it is cold.

    Attributes
    ----------
    layout_version : int
        Increases when the servers, their states or the version splits change.
    """

    def __init__(
        self, seed: int, data_centre: str, owns: Callable[[str], bool]
    ) -> None:
        self.data_centre = data_centre
        self.on_health_change: Callable[[ServerHealthChange], None] = (
            ignore_health_change
        )
        self.owns = owns
        self.sharers = 1
        self.layout_version = 0
        self.closed_data_centres: frozenset[str] = frozenset()
        self._random = random.Random(seed)
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}
        self._cold_sent_ms: dict[str, float] = {}
        self._splits = VersionSplits()

    def __len__(self) -> int:
        """Return the number of registered servers."""
        return len(self._servers)

    def __iter__(self) -> Iterator[Server]:
        """Iterate over all servers."""
        return iter(self._servers.values())

    def get(self, name: str) -> Server | None:
        """Return a server by the name of its incarnation."""
        return self._servers.get(name)

    def serving(self, service: str) -> list[Server]:
        """Return the servers of a service."""
        return self._by_service.get(service, [])

    def update(
        self, records: Iterable[ServerRecord], now_ms: float
    ) -> list[ServerChange]:
        """Apply the complete set of registrations and return the changes."""
        registered = {record.name: record for record in records}
        changes = [
            self._remove(name) for name in list(self._servers) if name not in registered
        ]
        for record in registered.values():
            change = self._apply_record(record, now_ms)
            if change is not None:
                changes.append(change)
        self.layout_version += bool(changes)
        return changes

    def split(self, service: str, split: VersionSplit | None) -> None:
        """Split a service's requests between versions; None ends the split."""
        self.layout_version += self._splits.split(service, split)

    def block_versions(self, service: str, versions: frozenset[str]) -> bool:
        """Set the blocked versions of a service; return whether they changed."""
        is_new = self._splits.block_versions(service, versions)
        self.layout_version += is_new
        return is_new

    def data_centres_of(self, service: str) -> frozenset[str]:
        """Return the data centres with a usable server of a service."""
        return frozenset(
            server.record.data_centre for server in self._usable(service, ())
        )

    def choose(
        self,
        service: str,
        tried: Iterable[str],
        now_ms: float,
        limits: CallLimits,
        request_id: str = '',
    ) -> Server | None:
        """Return the server for one more call, or None if none has capacity.

        Parameters
        ----------
        service : str
            Service to call.
        tried : iterable of str
            Servers that were already tried.
        now_ms : float
            Time of this entry VM's monotonic clock.
        limits : CallLimits
            Median latency, and limit on open calls at one server.
        request_id : str
            Selects the version during a version move.
        """
        for group in self._candidate_groups(service, tried, request_id):
            chosen = self._choose_among(group, now_ms, limits)
            if chosen is not None:
                return chosen
        return None

    def has_usable(
        self, service: str, tried: Iterable[str], request_id: str = ''
    ) -> bool:
        """Return whether a server may be called, now or once it has capacity."""
        return any(self._candidate_groups(service, tried, request_id))

    def _choose_among(
        self, usable: Sequence[Server], now_ms: float, limits: CallLimits
    ) -> Server | None:
        warm = [server for server in usable if not server.is_cold(now_ms)]
        with_capacity = [
            server
            for server in warm
            if len(server.open_calls) < limits.calls_max
            and now_ms >= server.full_until_ms
        ]
        not_ejected = [
            server for server in with_capacity if not server.is_ejected(now_ms)
        ]
        chosen = self._lowest_cost(
            not_ejected or with_capacity, now_ms, limits.median_ms
        )
        if chosen is None and not warm:
            return self._choose_cold(usable, now_ms)
        return chosen

    def _candidate_groups(
        self, service: str, tried: Iterable[str], request_id: str
    ) -> tuple[Sequence[Server], ...]:
        usable = self._usable(service, tried)
        return self._splits.candidate_groups(service, usable, request_id)

    def _usable(self, service: str, tried: Iterable[str]) -> list[Server]:
        closed = self.closed_data_centres
        servers = self._by_service.get(service, ())
        return [
            server
            for server in self._splits.allowed(service, servers)
            if server.accepts_requests
            and server.name not in tried
            and server.record.data_centre not in closed
        ]

    def _lowest_cost(
        self, servers: list[Server], now_ms: float, median_ms: float
    ) -> Server | None:
        if len(servers) < 2:
            return servers[0] if servers else None
        return min(servers, key=lambda server: self._cost(server, now_ms, median_ms))

    def _cost(self, server: Server, now_ms: float, median_ms: float) -> float:
        cost = server.expected_ms(now_ms, median_ms)
        if server.record.data_centre != self.data_centre:
            cost *= REMOTE_COST_RATIO
        return cost * self._random.uniform(1 - COST_JITTER, 1 + COST_JITTER)

    def _choose_cold(self, servers: Sequence[Server], now_ms: float) -> Server | None:
        """Return a cold server that this entry VM owns and has not called recently."""
        for server in servers:
            last_ms = self._cold_sent_ms.get(server.name, -COLD_INTERVAL_MS)
            if now_ms - last_ms >= COLD_INTERVAL_MS and self.owns(server.name):
                self._cold_sent_ms[server.name] = now_ms
                return server
        return None

    def _notify(self, change: ServerHealthChange) -> None:
        self.on_health_change(change)

    def _apply_record(self, record: ServerRecord, now_ms: float) -> ServerChange | None:
        known = self._servers.get(record.name)
        if known is not None and not _is_restarted(known.record, record):
            if known.record == record:
                return None
            state = known.record.state
            known.update_record(record, now_ms)
            if state is record.state:
                return None
            return ServerChange(record.name, record.state, record.service)
        if known is not None:
            self._remove(record.name)
        server = Server(record, now_ms, self._notify)
        self._servers[record.name] = server
        self._by_service.setdefault(record.service, []).append(server)
        return ServerChange(record.name, 'new', record.service)

    def _remove(self, name: str) -> ServerChange:
        server = self._servers.pop(name)
        server.is_gone = True
        self._cold_sent_ms.pop(name, None)
        service = server.record.service
        self._by_service[service].remove(server)
        return ServerChange(name, 'gone', service)


def _is_restarted(known: ServerRecord, record: ServerRecord) -> bool:
    """Return whether the server restarted, or moved to another address or service."""
    moved = (known.address, known.service) != (record.address, record.service)
    restarted = record.born_ms > known.born_ms or (
        record.born_ms == known.born_ms and record.sequence < known.sequence
    )
    return moved or restarted


def calls_max(connections_max: int, sharers: int) -> int:
    """Return how many connections one entry VM may open to one server.

    Examples
    --------
    >>> calls_max(26, sharers=8)
    2
    """
    return max(1, int(connections_max * CONNECTIONS_SHARE / max(1, sharers)))
