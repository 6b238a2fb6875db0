"""Which servers a VM connects to before the first request needs them; sans-IO.

Load: all VMs of a data centre start together, as after a loss of power, and the first
queries wait for connections that each take a server some milliseconds.
"""

from collections.abc import Iterator, Sequence

from cowsliploom.forwarding._fleet import Fleet
from cowsliploom.forwarding._relay_plan import plan_relays
from cowsliploom.forwarding._routes import Route, RouteTable
from cowsliploom.forwarding._servers import Server
from cowsliploom.members import Member


def servers_ahead(
    table: RouteTable,
    fleet: Fleet,
    own: Member,
    members: Sequence[Member],
    now_ms: float,
) -> tuple[Server, ...]:
    """Return the servers that this VM will call as a relay, the most urgent first.

    Parameters
    ----------
    table : RouteTable
        Routes in force.
    fleet : Fleet
        Known servers.
    own : Member
        This VM.
    members : sequence of Member
        Other live members.
    now_ms : float
        Time of this entry VM's monotonic clock.

    Returns
    -------
    tuple of Server
        Warm servers of the local data centre, each once.
    """
    local = tuple(each for each in members if each.data_centre == own.data_centre)
    routes = [route for route in table.routes if route.fan_out is not None]
    found: dict[str, Server] = {}
    for route in sorted(routes, key=_urgency):
        for shard in _own_shards(route, own, local):
            for server in _local_servers(shard, fleet, now_ms):
                found.setdefault(server.name, server)
    return tuple(found.values())


def _urgency(route: Route) -> tuple[int, float]:
    return (route.rank, route.target_ms)


def _own_shards(route: Route, own: Member, local: tuple[Member, ...]) -> Iterator[str]:
    """Return the shards whose calls others in the data centre leave to this VM."""
    shards = route.fan_out.shards if route.fan_out else ()
    for share in plan_relays(shards, (own, *local)):
        if share.relays[0] == own:
            yield from sorted(share.shards)


def _local_servers(shard: str, fleet: Fleet, now_ms: float) -> Iterator[Server]:
    for server in fleet.serving(shard):
        is_usable = server.accepts_requests and not server.is_cold(now_ms)
        if is_usable and server.record.data_centre == fleet.data_centre:
            yield server
