"""Routes and services of one configuration version."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cowsliploom.forwarding._workspaces import WorkspaceTable

HEADER_BYTES_MAX = 16_384
BODY_BYTES_MAX = 262_144
HEADER_TIMEOUT_MS = 3000.0
IDLE_TIMEOUT_MS = 15_000.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight among the services of a route."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class FanOut:
    """Scatter-gather of a route: the shards to call, and how to merge their answers.

    Parameters
    ----------
    shards : tuple of str
        Services that hold one shard each.
    records_max : int
        Number of greatest records in the merged answer.
    coverage_min : float
        Minimum share of the shards, from 0 to 1, that must have answered.
    """

    shards: tuple[str, ...]
    records_max: int
    coverage_min: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the requests of one host and path prefix.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route, and the host and path prefix that select it.
    repeatable : bool
        Whether a request may run more than once.
    attempts_max : int
        Backend servers that one request, or one shard of it, may be sent to.
    timeout_ms : float
        Time after which the caller gets a final answer.
    target_ms : float
        Target latency, within which an answer is worth most.
    rank : int
        Priority; 0 is the highest.
    services : tuple of WeightedService
        Services that receive the requests; empty for a route that fans out.
    fan_out : FanOut or None
        Set for a route that calls many shards.
    is_public : bool
        Whether callers need no key.
    workspaces : frozenset of str
        Names of the workspaces that may use the route; empty for all.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    attempts_max: int
    timeout_ms: float
    target_ms: float
    rank: int = 0
    services: tuple[WeightedService, ...] = ()
    fan_out: FanOut | None = None
    is_public: bool = False
    workspaces: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Settings of all backend servers of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of its health check.
    connections_max : int
        Connections that one backend server accepts from all entry VMs together.
    warmup_ms : float
        Time for which a backend server is cold after its start.
    cold_per_s : float
        Requests per second that a cold backend server can handle.
    """

    name: str
    health_path: str = '/'
    connections_max: int = 1
    warmup_ms: float = 0
    cold_per_s: float = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's request and on its time to send it."""

    header_bytes_max: int = HEADER_BYTES_MAX
    body_bytes_max: int = BODY_BYTES_MAX
    header_timeout_ms: float = HEADER_TIMEOUT_MS
    idle_timeout_ms: float = IDLE_TIMEOUT_MS


# Before there is a configuration: wide, as no request is refused for good until then.
INITIAL_LIMITS = CallerLimits(header_bytes_max=65_536, body_bytes_max=8_388_608)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Version; a table of a higher version replaces this one completely.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceRules
        Rules by service.
    limits : CallerLimits
        Limits for callers.
    workspaces : WorkspaceTable
        Workspaces and their keys; empty if callers need none.

    Examples
    --------
    >>> short = Route('a', 'h', '/x/', True, 2, 800, 50)
    >>> long = Route('b', 'h', '/x/y/', True, 2, 800, 50)
    >>> table = RouteTable(7, (short, long))
    >>> table.find('h', '/x/y/z').name
    'b'
    >>> table.find('other', '/x/') is None
    True
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceRules] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    workspaces: WorkspaceTable = WorkspaceTable()
    _by_host: dict[str, dict[str, Route]] = field(default_factory=dict, init=False)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix."""
        for route in self.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(_without_port(name))
        if routes is None:
            return None
        plain = path.partition('?')[0]
        end = len(plain)
        while end > 0:
            end = plain.rfind('/', 0, end)
            found = routes.get(plain[: end + 1])
            if found is not None:
                return found
        return None

    @property
    def limits_in_force(self) -> CallerLimits:
        """Limits for callers; wide ones before the first configuration."""
        return self.limits if self.version else INITIAL_LIMITS

    def rules(self, service: str) -> ServiceRules:
        """Return the rules of a service; conservative defaults if it has none."""
        return self.services.get(service) or ServiceRules(service)


def _without_port(host: str) -> str:
    """Return the name in a ``Host`` header, which may state a port.

    Examples
    --------
    >>> _without_port('rota.example:8080'), _without_port('[::1]')
    ('rota.example', '[::1]')
    """
    name, colon, port = host.rpartition(':')
    return name if colon and port.isdecimal() else host
