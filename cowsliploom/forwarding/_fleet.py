"""Registry of the backend servers that an entry VM knows, and server selection."""

import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

from cowsliploom.forwarding._leaving import LeavingPolicy
from cowsliploom.forwarding._moves import VersionSplit, VersionSplits
from cowsliploom.forwarding._notice_board import NoServer, NoticeBoard, why_no_server
from cowsliploom.forwarding._report_order import (
    ReportHistory,
    ReportOrder,
    report_order,
)
from cowsliploom.forwarding._server_choice import CallLimits, ServerChoice
from cowsliploom.forwarding._server_notices import ServerNotice
from cowsliploom.forwarding._servers import (
    Server,
    ServerHealthChange,
    ServerRecord,
    ignore_health_change,
)

CONNECTIONS_SHARE = 0.85  # the rest is reserved for replaced and silent connections


@dataclass(frozen=True, slots=True)
class ServerChange:
    """Notice that a server was added, changed state or was removed."""

    name: str
    what: str
    service: str = ''


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
    notices : NoticeBoard
        What servers asked for in their answers.
    """

    def __init__(
        self, seed: int, data_centre: str, owns: Callable[[str], bool]
    ) -> None:
        self.data_centre = data_centre
        self.on_health_change: Callable[[ServerHealthChange], None] = (
            ignore_health_change
        )
        self.sharers = 1
        self.layout_version = 0
        self.closed_data_centres: frozenset[str] = frozenset()
        generator = random.Random(seed)
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}
        self._choice = ServerChoice(generator, data_centre, owns)
        self.notices = NoticeBoard(generator)
        self._splits = VersionSplits()
        self._history = ReportHistory()

    @property
    def leaving(self) -> LeavingPolicy:
        """Decides when calls leave the data centre."""
        return self._choice.leaving

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

    def apply_notice(self, server: Server, notice: ServerNotice, now_ms: float) -> None:
        """Apply a notice that a server sent with an answer."""
        self.layout_version += self.notices.apply(server, notice, now_ms)

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
        for group in self._candidate_groups(service, tried, now_ms, request_id):
            chosen = self._choice.choose(group, now_ms, limits)
            if chosen is not None:
                return chosen
        return None

    def has_usable(
        self, service: str, tried: Iterable[str], now_ms: float, request_id: str = ''
    ) -> bool:
        """Return whether a server may be called, now or once it has capacity."""
        return any(self._candidate_groups(service, tried, now_ms, request_id))

    def why_no_server(
        self, service: str, tried: Iterable[str], now_ms: float
    ) -> NoServer:
        """Return why no server may be called, when `has_usable` is False."""
        usable = self._usable(service, tried)
        return why_no_server(self.serving(service), usable, now_ms)

    def _candidate_groups(
        self, service: str, tried: Iterable[str], now_ms: float, request_id: str
    ) -> tuple[Sequence[Server], ...]:
        usable = [
            server
            for server in self._usable(service, tried)
            if not server.standing.is_paused(now_ms)
        ]
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

    def _notify(self, change: ServerHealthChange) -> None:
        self.on_health_change(change)

    def _apply_record(self, record: ServerRecord, now_ms: float) -> ServerChange | None:
        known = self._servers.get(record.name)
        if known is None:
            order = self._history.order_removed(record)
        else:
            order = report_order(known.record, record)
        if order is ReportOrder.OLDER:
            is_first = self._history.ignore(record)
            change = ServerChange(record.name, 'older report', record.service)
            return change if is_first else None
        if known is not None and order is ReportOrder.FOLLOWS:
            return _update_server(known, record, now_ms)
        if known is not None:
            self._remove(record.name)
        return self._add(record, now_ms)

    def _add(self, record: ServerRecord, now_ms: float) -> ServerChange:
        server = Server(record, now_ms, self._notify)
        self.notices.restore(server)
        self._history.forget(record.name)
        self._servers[record.name] = server
        self._by_service.setdefault(record.service, []).append(server)
        return ServerChange(record.name, 'new', record.service)

    def _remove(self, name: str) -> ServerChange:
        server = self._servers.pop(name)
        server.is_gone = True
        self.notices.keep(server)
        self._history.keep(server.record)
        self._choice.forget(name)
        service = server.record.service
        self._by_service[service].remove(server)
        return ServerChange(name, 'gone', service)


def _update_server(
    server: Server, record: ServerRecord, now_ms: float
) -> ServerChange | None:
    """Apply a report of a known server; return the change of its state, if any."""
    if server.record == record:
        return None
    state = server.record.state
    server.update_record(record, now_ms)
    if state is record.state:
        return None
    return ServerChange(record.name, record.state, record.service)


def calls_max(connections_max: int, sharers: int) -> int:
    """Return how many connections one entry VM may open to one server.

    Examples
    --------
    >>> calls_max(26, sharers=8)
    2
    """
    return max(1, int(connections_max * CONNECTIONS_SHARE / max(1, sharers)))
