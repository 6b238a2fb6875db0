"""Routes and services of one configuration version."""

from collections.abc import Mapping
from dataclasses import dataclass, field

HEADER_BYTES_MAX = 16_384
BODY_BYTES_MAX = 262_144
HEADER_TIMEOUT_MS = 3000.0
IDLE_TIMEOUT_MS = 15_000.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Give a service its share of a route's requests."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class FanOut:
    """Say how the parts of many shards make up one answer.

    Parameters
    ----------
    shards : tuple of str
        Services that hold one shard each.
    records_max : int
        Greatest records that the answer holds.
    coverage_min : float
        Share of the shards, from 0 to 1, without which there is no answer.
    """

    shards: tuple[str, ...]
    records_max: int
    coverage_min: float


@dataclass(frozen=True, slots=True)
class Route:
    """Say where requests of one host and path prefix go.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route, and what selects it.
    repeatable : bool
        Whether a request may run more than once.
    attempts_max : int
        Backend servers that one request, or one shard of it, may be sent to.
    timeout_ms : float
        Time after which the caller gets a final answer.
    target_ms : float
        Time within which an answer is worth most.
    rank : int
        Urgency; 0 is the most urgent.
    services : tuple of WeightedService
        Where requests go; empty for a route that gathers.
    gather : Gather or None
        Set for a route that asks many shards.
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


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Say what all backend servers of a service have in common.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of its health check.
    connections_max : int
        Connections that one backend server bears, from all entry VMs together.
    warmup_ms : float
        Time for which a backend server is cold after its start.
    cold_per_s : float
        Requests a second that a cold backend server bears.
    """

    name: str
    health_path: str = '/'
    connections_max: int = 1
    warmup_ms: float = 0
    cold_per_s: float = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    header_bytes_max: int = HEADER_BYTES_MAX
    body_bytes_max: int = BODY_BYTES_MAX
    header_timeout_ms: float = HEADER_TIMEOUT_MS
    idle_timeout_ms: float = IDLE_TIMEOUT_MS


# Before there is a configuration: wide, as nothing is refused for good until then.
LIMITS_UNTIL_KNOWN = CallerLimits(header_bytes_max=65_536, body_bytes_max=8_388_608)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold one version of the configuration.

    Parameters
    ----------
    version : int
        Version; a higher one replaces it, whole.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceRules
        Rules by service.
    limits : CallerLimits
        Bounds for callers.

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
    _by_host: dict[str, dict[str, Route]] = field(default_factory=dict, init=False)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix."""
        for route in self.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        routes = self._by_host.get(host.lower())
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
        """Return the bounds for callers; wide ones before the first version."""
        return self.limits if self.version else LIMITS_UNTIL_KNOWN

    def rules(self, service: str) -> ServiceRules:
        """Return the rules of a service; careful ones if it has none."""
        return self.services.get(service) or ServiceRules(service)
