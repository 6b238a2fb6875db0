"""Types of the resources that operators declare."""

from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """Enumerate the kinds of resources."""

    SERVICE = 'service'
    SEARCH = 'search'
    VERSION_MOVE = 'versionmove'
    DATA_CENTRE = 'datacentre'


class DataCentreState(StrEnum):
    """Select whether a data centre's backend servers receive new work."""

    IN = 'in'
    OUT = 'out'


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """Declare one backend server of a service.

    Parameters
    ----------
    name : str
        Unique name of the server.
    address : str
        ``host:port`` with an IP number.
    data_centre : str
        Name of a declared data centre.
    version : str
        Version that the server runs.
    """

    name: str
    address: str
    data_centre: str
    version: str


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Declare a service and the capacity of each of its backend servers.

    Parameters
    ----------
    servers : tuple of ServerSpec
        Backend servers, at least one.
    slots : int
        Calls that one server processes concurrently.
    connections_max : int
        Maximum number of open connections that one server accepts.
    connect_cost_ms : float
        Processing time that a new connection costs the server, in milliseconds.
    """

    servers: tuple[ServerSpec, ...]
    slots: int
    connections_max: int
    connect_cost_ms: float


@dataclass(frozen=True, slots=True)
class SearchSpec:
    """Declare a search over the shards of several services.

    Parameters
    ----------
    services : tuple of str
        Services whose shards together form the index.
    timeout_ms : float
        Default timeout of a query whose caller gives none, in milliseconds.
    urgency : int
        Priority from 1 (least urgent) to 9 (most urgent).
    hits_max : int
        Maximum number of hits in a response.
    """

    services: tuple[str, ...]
    timeout_ms: float
    urgency: int = 5
    hits_max: int = 20


@dataclass(frozen=True, slots=True)
class VersionMoveSpec:
    """Declare a move of a service's traffic to another version.

    Parameters
    ----------
    service : str
        Service whose traffic moves.
    from_version, to_version : str
        Old and new version; servers of the service must run both.
    finish_by : str
        RFC 3339 time by which a healthy version receives all traffic.
    generation : int
        Attempt number; the operator raises it to retry after a roll-back.
    """

    service: str
    from_version: str
    to_version: str
    finish_by: str
    generation: int = 1


@dataclass(frozen=True, slots=True)
class DataCentreSpec:
    """Declare a data centre and whether it receives new work."""

    state: DataCentreState = DataCentreState.IN


Spec = ServiceSpec | SearchSpec | VersionMoveSpec | DataCentreSpec


@dataclass(frozen=True, slots=True)
class Resource:
    """A declared resource at the revision of its last change.

    Parameters
    ----------
    kind : Kind
        Kind of resource; determines the type of ``spec``.
    name : str
        Name, unique within the kind.
    spec : Spec
        Desired state.
    revision : int
        Configuration revision of the last change; 0 before it is stored.
    """

    kind: Kind
    name: str
    spec: Spec
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """All resources at one revision.

    A daemon applies a configuration atomically, and only if its revision is higher
    than the current one.
    """

    revision: int = 0
    resources: tuple[Resource, ...] = field(default=())
