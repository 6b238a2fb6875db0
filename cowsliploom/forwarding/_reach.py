"""Whether the backend servers that are in reach suffice for the routes."""

from cowsliploom.forwarding._fleet import Fleet
from cowsliploom.forwarding._routes import Route, RouteTable


def out_of_reach(table: RouteTable, fleet: Fleet, now_ms: float) -> int:
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
    in_reach: dict[str, bool] = {}
    for service in _services(table):
        in_reach[service] = any(
            server.takes_requests and not server.is_resting(now_ms)
            for server in fleet.serving(service)
        )
    return sum(not _is_answerable(route, in_reach) for route in table.routes)


def _services(table: RouteTable) -> set[str]:
    names: set[str] = set()
    for route in table.routes:
        names.update(service.name for service in route.services)
        if route.gather is not None:
            names.update(route.gather.shards)
    return names


def _is_answerable(route: Route, in_reach: dict[str, bool]) -> bool:
    if route.gather is None:
        return any(in_reach[service.name] for service in route.services)
    shards = route.gather.shards
    reached = sum(in_reach[shard] for shard in shards)
    return reached >= route.gather.coverage_min * len(shards)
