"""Resources that operators declare, as typed documents."""

from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """Name a kind of resource."""

    SERVICE = 'service'
    SEARCH = 'search'
    VERSION_MOVE = 'versionmove'
    DATA_CENTRE = 'datacentre'


class DataCentreState(StrEnum):
    """Say whether a data centre's backend servers may get new work."""

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
    """Declare a service and what each of its backend servers bears.

    Parameters
    ----------
    servers : tuple of ServerSpec
        Backend servers, at least one.
    slots : int
        Calls that one server works on at once.
    connections_max : int
        Open connections that one server accepts.
    connect_cost_ms : float
        Work that a new connection costs the server, in milliseconds.
    """

    servers: tuple[ServerSpec, ...]
    slots: int
    connections_max: int
    connect_cost_ms: float


@dataclass(frozen=True, slots=True)
class SearchSpec:
    """Declare a search kind over services.

    Parameters
    ----------
    services : tuple of str
        Services whose shards together are the index.
    timeout_ms : float
        Time limit of a query when the caller gives none, in milliseconds.
    urgency : int
        1 (least urgent) to 9 (most urgent).
    hits_max : int
        Upper bound on hits in an answer.
    """

    services: tuple[str, ...]
    timeout_ms: float
    urgency: int = 5
    hits_max: int = 20


@dataclass(frozen=True, slots=True)
class VersionMoveSpec:
    """Declare that a service's traffic moves to another version.

    Parameters
    ----------
    service : str
        Service whose traffic moves.
    from_version, to_version : str
        Versions; both must be run by servers of the service.
    finish_by : str
        RFC 3339 time by which a good version has all the traffic.
    generation : int
        Raised by the operator to try again after a move was taken back.
    """

    service: str
    from_version: str
    to_version: str
    finish_by: str
    generation: int = 1


@dataclass(frozen=True, slots=True)
class DataCentreSpec:
    """Declare a data centre and whether it takes new work."""

    state: DataCentreState = DataCentreState.IN


Spec = ServiceSpec | SearchSpec | VersionMoveSpec | DataCentreSpec


@dataclass(frozen=True, slots=True)
class Resource:
    """Hold one declared resource at the revision of its last change.

    Parameters
    ----------
    kind : Kind
        Kind of resource; decides the type of ``spec``.
    name : str
        Name, unique within the kind.
    spec : Spec
        What the operator wants.
    revision : int
        Configuration revision of the last change; 0 before it is stored.
    """

    kind: Kind
    name: str
    spec: Spec
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold all resources as of one revision.

    A daemon applies a configuration whole, and only one of a higher revision.
    """

    revision: int = 0
    resources: tuple[Resource, ...] = field(default=())
