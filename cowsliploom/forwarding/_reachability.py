"""Whether the reachable backend servers are sufficient for the routes."""

from collections.abc import Callable

from cowsliploom.forwarding._fleet import Fleet
from cowsliploom.forwarding._routes import Route, RouteTable
from cowsliploom.forwarding._servers import Server

SILENCE_MS = 100.0  # suggests a partition if several servers are this overdue
SILENT_SERVERS_MIN = 3  # fewer may all be slow or paused


def unreachable_routes(
    table: RouteTable, fleet: Fleet, now_ms: float
) -> frozenset[str]:
    """Return the names of the routes that the reachable servers cannot answer.

    Parameters
    ----------
    table : RouteTable
        Routes in force.
    fleet : Fleet
        Servers; an ejected one counts as unreachable.
    now_ms : float
        Time of this entry VM's monotonic clock.
    """
    return _unanswerable(table, fleet, lambda server: not server.is_ejected(now_ms))


def routes_needing_remote_servers(table: RouteTable, fleet: Fleet) -> frozenset[str]:
    """Return the routes that the local data centre's servers cannot answer alone."""
    own = fleet.data_centre
    return _unanswerable(table, fleet, lambda server: server.record.data_centre == own)


def are_remote_servers_silent(fleet: Fleet, now_ms: float) -> bool:
    """Return whether several remote servers are overdue and none has responded.

    Notes
    -----
    This is an early but uncertain sign of a network partition: the silence of a single
    server cannot yet be distinguished from a pause.
    """
    remote = [
        server for server in fleet if server.record.data_centre != fleet.data_centre
    ]
    last_received_ms = max(
        (server.last_received_ms for server in remote), default=now_ms
    )
    silent = [
        server for server in remote if _is_overdue(server, last_received_ms, now_ms)
    ]
    return len(silent) >= SILENT_SERVERS_MIN


def _is_overdue(server: Server, last_received_ms: float, now_ms: float) -> bool:
    """Return whether a call is overdue that was sent after the last response."""
    waited_ms = server.oldest_wait_ms(now_ms)
    return waited_ms > SILENCE_MS and now_ms - waited_ms > last_received_ms


def _unanswerable(
    table: RouteTable, fleet: Fleet, is_reachable: Callable[[Server], bool]
) -> frozenset[str]:
    reachable = {
        service: any(
            server.accepts_requests and is_reachable(server)
            for server in fleet.serving(service)
        )
        for service in _services(table)
    }
    return frozenset(
        route.name for route in table.routes if not _is_answerable(route, reachable)
    )


def _services(table: RouteTable) -> set[str]:
    names: set[str] = set()
    for route in table.routes:
        names.update(service.name for service in route.services)
        if route.fan_out is not None:
            names.update(route.fan_out.shards)
    return names


def _is_answerable(route: Route, reachable: dict[str, bool]) -> bool:
    if route.fan_out is None:
        return any(reachable[service.name] for service in route.services)
    shards = route.fan_out.shards
    reached = sum(reachable[shard] for shard in shards)
    return reached >= route.fan_out.coverage_min * len(shards)
