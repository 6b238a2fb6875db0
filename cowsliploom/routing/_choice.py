"""Replica selection for one call."""

from collections.abc import Iterable

from cowsliploom.routing._context import Context
from cowsliploom.routing._replica import CHOICES, pick_two
from cowsliploom.routing._snapshots import SnapshotTable
from cowsliploom.routing._tracks import ServerTrack, ServiceTrack, WorkItem
from cowsliploom.routing._view import expected_cost


class ReplicaChoice:
    """Select servers by version share, data centre, limits and cost.

    Parameters
    ----------
    context : Context
        Shared settings and random generator.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.table = SnapshotTable()

    def choose(
        self, work: WorkItem, now_ms: float, spare: int = 0
    ) -> ServerTrack | None:
        """Return the server for the next call, or None if none has room."""
        service = work.service
        ready = self._list_ready(work, now_ms, spare)
        move = service.move
        if move is None:
            return self._cheapest(ready, service.typical_ms, now_ms)
        newer = [server for server in ready if server.version == move.to_version]
        if newer and move.allows_new:
            return self._cheapest(newer, service.typical_ms, now_ms)
        older = [server for server in ready if server.version != move.to_version]
        return self._cheapest(older, service.typical_ms, now_ms)

    def may_serve(
        self,
        service: ServiceTrack,
        snapshot: int | None,
        now_ms: float,
        tried: tuple[str, ...] = (),
    ) -> bool:
        """Return whether a server may answer, now or once it has room."""
        move = service.move
        return any(
            server.name not in tried and (move is None or move.admits(server.version))
            for server in self._usable(service, snapshot, now_ms)
        )

    def can_answer(self, service: ServiceTrack, snapshot: int, now_ms: float) -> bool:
        """Return whether a service has a usable server that holds a snapshot."""
        move = service.move
        return any(
            server.is_reachable(now_ms)
            and self.table.holds(server.name, snapshot)
            and (move is None or move.includes(server.version))
            for server in service.servers
        )

    def _list_ready(
        self, work: WorkItem, now_ms: float, spare: int
    ) -> list[ServerTrack]:
        service = work.service
        fresh_ms = self._context.settings.load_fresh_ms
        return [
            server
            for server in self._usable(service, work.snapshot, now_ms)
            if server.has_room(now_ms, service.typical_ms, fresh_ms, spare)
            and server.name not in work.tried
        ]

    def _usable(
        self, service: ServiceTrack, snapshot: int | None, now_ms: float
    ) -> list[ServerTrack]:
        """Return the usable servers of a service.

        Once a version move has reached a share of 1, servers of other versions are
        used only if no server of the new version is usable.
        """
        usable = [
            server
            for server in service.servers
            if server.is_reachable(now_ms)
            and (snapshot is None or self.table.holds(server.name, snapshot))
        ]
        move = service.move
        if move is None or move.share < 1:
            return usable
        newer = [server for server in usable if server.version == move.to_version]
        return newer or usable

    def _cheapest(
        self, ready: Iterable[ServerTrack], typical_ms: float, now_ms: float
    ) -> ServerTrack | None:
        servers = list(ready)
        if len(servers) > 1:
            servers = [server for server in servers if server.local] or servers
        if not servers:
            return None
        if len(servers) > CHOICES:
            first, second = pick_two(len(servers), self._context.generator)
            servers = [servers[first], servers[second]]
        if len(servers) == 1:
            return servers[0]
        costs = [_cost(server, typical_ms, now_ms) for server in servers]
        return servers[costs[1] < costs[0]]


def _cost(server: ServerTrack, typical_ms: float, now_ms: float) -> float:
    cost = expected_cost(server.view, server.in_flight, typical_ms, now_ms)
    return cost * server.preference
