"""Where a request would go now, and why; asking changes nothing.

The very code that decides is asked: admission, relay plan, and what the choice among
servers is made from.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

from cowsliploom.forwarding._dispatcher import RequestDispatcher
from cowsliploom.forwarding._messages import CallerRequest, ErrorReply
from cowsliploom.forwarding._routes import Route
from cowsliploom.forwarding._schedule import MEDIAN
from cowsliploom.forwarding._server_choice import assess
from cowsliploom.forwarding._servers import Server

SERVICES_MAX = 200  # that are described of one route


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server of a service, with the inputs of the choice.

    Parameters
    ----------
    server, data_centre, version : str
        Name, place and software version.
    standing : str
        ``'usable'``, or why it gets no call now.
    is_home : bool
        Whether it is in the data centre of the VM.
    expected_ms : float
        Expected time of one more call.
    open_calls : int
        Calls of this VM that it has not answered.
    load_age_ms, heard_age_ms : float
        Time since its last load report, and since its last answer to this VM.
    """

    server: str
    data_centre: str
    version: str
    standing: str
    is_home: bool
    expected_ms: float
    open_calls: int
    load_age_ms: float
    heard_age_ms: float


@dataclass(frozen=True, slots=True)
class Destination:
    """One service that the request needs.

    Parameters
    ----------
    service : str
        Name of the service.
    share : float
        Share of the route's requests that go to it; 1 for each shard.
    relay : str
        Entry VM that would call it; empty if this VM would.
    candidates : tuple of Candidate
        Its servers, the best first.
    """

    service: str
    share: float
    relay: str
    candidates: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class Explanation:
    """What a VM would do with a request.

    Parameters
    ----------
    version : int
        Version of the configuration in force.
    outcome, reason : str
        How the request would end at once, and why; empty if it would be served.
    route, workspace : str
        Route and workspace; empty if it would not be served.
    destinations : tuple of Destination
        Services that it needs.
    """

    version: int
    outcome: str = ''
    reason: str = ''
    route: str = ''
    workspace: str = ''
    destinations: tuple[Destination, ...] = ()


def explain_request(
    dispatcher: RequestDispatcher, request: CallerRequest
) -> Explanation:
    """Return what would be done with a request, without doing it."""
    admission = dispatcher.access.admit(dispatcher.table, request)
    version = dispatcher.table.version
    if isinstance(admission, ErrorReply):
        return Explanation(version, admission.outcome.value, admission.reason)
    route = admission.route
    destinations = _destinations(dispatcher, route, request.arrived_ms)
    return Explanation(
        version,
        route=route.name,
        workspace=admission.workspace.name,
        destinations=tuple(destinations),
    )


def _destinations(
    dispatcher: RequestDispatcher, route: Route, now_ms: float
) -> Iterator[Destination]:
    relays = {
        shard: share.relay.name
        for share in dispatcher.relay_shares(route, now_ms)
        for shard in share.shards
    }
    total = sum(part.weight for part in route.services)
    shares = {part.name: part.weight / total for part in route.services if total}
    if route.fan_out is not None:
        shares = dict.fromkeys(route.fan_out.shards[:SERVICES_MAX], 1)
    median_ms = dispatcher.latency(route).quantile(MEDIAN)
    describe = partial(_describe, dispatcher, median_ms, now_ms)
    for service, share in shares.items():
        servers = dispatcher.fleet.serving(service)
        candidates = sorted(map(describe, servers), key=_preference)
        yield Destination(service, share, relays.get(service, ''), tuple(candidates))


def _describe(
    dispatcher: RequestDispatcher, median_ms: float, now_ms: float, server: Server
) -> Candidate:
    fleet = dispatcher.fleet
    record = server.record
    is_closed = record.data_centre in fleet.closed_data_centres
    return Candidate(
        server.name,
        record.data_centre,
        record.version,
        'data centre closed' if is_closed else assess(server, now_ms),
        fleet.leaving.is_home(server),
        round(server.expected_ms(now_ms, median_ms), 1),
        len(server.open_calls),
        round(now_ms - server.load_ms, 1),
        round(min(now_ms, now_ms - server.last_received_ms), 1),
    )


def _preference(candidate: Candidate) -> tuple[bool, bool, float]:
    is_usable = candidate.standing == 'usable'
    return (not is_usable, not candidate.is_home, candidate.expected_ms)
