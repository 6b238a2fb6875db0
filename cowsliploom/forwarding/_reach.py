"""Whether the backend servers that are in reach suffice for the routes."""

from collections.abc import Callable

from cowsliploom.forwarding._fleet import Fleet
from cowsliploom.forwarding._routes import Route, RouteTable
from cowsliploom.forwarding._servers import Server

QUIET_MS = 100.0  # no answer for so long is a sign where several servers owe one
OWING_MIN = 3  # servers; fewer may all be slow or paused


def count_unreachable_routes(table: RouteTable, fleet: Fleet, now_ms: float) -> int:
    """Return how many routes can't be answered with the servers in reach.

    Parameters
    ----------
    table : RouteTable
        Routes in force.
    fleet : Fleet
        Servers; one that rests after failures counts as out of reach.
    now_ms : float
        Time by the own steady clock.
    """
    return _unanswerable(table, fleet, lambda server: not server.is_resting(now_ms))


def count_routes_needing_remote_servers(table: RouteTable, fleet: Fleet) -> int:
    """Return how many routes the own data centre's servers can't answer alone."""
    own = fleet.data_centre
    return _unanswerable(table, fleet, lambda server: server.record.data_centre == own)


def are_remote_servers_silent(fleet: Fleet, now_ms: float) -> bool:
    """Tell whether several servers elsewhere owe an answer and none gives any.

    Notes
    -----
    This is a first sign of a cut, sooner than each server's own silence can be told
    from a pause. It says nothing certain.
    """
    elsewhere = [
        server for server in fleet if server.record.data_centre != fleet.data_centre
    ]
    heard_ms = max((server.last_received_ms for server in elsewhere), default=now_ms)
    owing = [server for server in elsewhere if _owes_since(server, heard_ms, now_ms)]
    return len(owing) >= OWING_MIN


def _owes_since(server: Server, heard_ms: float, now_ms: float) -> bool:
    """Tell whether a call is overdue that was sent after anybody was heard."""
    waited_ms = server.oldest_wait_ms(now_ms)
    return waited_ms > QUIET_MS and now_ms - waited_ms > heard_ms


def _unanswerable(
    table: RouteTable, fleet: Fleet, is_reached: Callable[[Server], bool]
) -> int:
    in_reach = {
        service: any(
            server.takes_requests and is_reached(server)
            for server in fleet.serving(service)
        )
        for service in _services(table)
    }
    return sum(not _is_answerable(route, in_reach) for route in table.routes)


def _services(table: RouteTable) -> set[str]:
    names: set[str] = set()
    for route in table.routes:
        names.update(service.name for service in route.services)
        if route.fan_out is not None:
            names.update(route.fan_out.shards)
    return names


def _is_answerable(route: Route, in_reach: dict[str, bool]) -> bool:
    if route.fan_out is None:
        return any(in_reach[service.name] for service in route.services)
    shards = route.fan_out.shards
    reached = sum(in_reach[shard] for shard in shards)
    return reached >= route.fan_out.coverage_min * len(shards)
