"""Index of the current configuration for routing decisions."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cowsliploom.resources import (
    Configuration,
    DataCentreSpec,
    DataCentreState,
    SearchSpec,
    ServerSpec,
    ServiceSpec,
)


@dataclass(frozen=True, slots=True)
class CatalogServer:
    """Configuration of one backend server.

    Parameters
    ----------
    spec : ServerSpec
        Declaration of the server.
    service : str
        Service that the server belongs to.
    slots : int
        Calls that the server processes concurrently.
    connections_max : int
        Open connections that the server accepts.
    """

    spec: ServerSpec
    service: str
    slots: int
    connections_max: int


@dataclass(frozen=True, slots=True)
class Catalog:
    """Index of one configuration by name.

    Parameters
    ----------
    revision : int
        Revision of the configuration; 0 before the first.
    servers : mapping of str to CatalogServer
        Backend servers by name.
    services : mapping of str to tuple of str
        Names of each service's servers.
    searches : mapping of str to SearchSpec
        Searches by name.
    data_centres_out : frozenset of str
        Data centres whose backend servers get no new work.
    """

    revision: int = 0
    servers: Mapping[str, CatalogServer] = field(default_factory=dict)
    services: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    searches: Mapping[str, SearchSpec] = field(default_factory=dict)
    data_centres_out: frozenset[str] = frozenset()


def build_catalog(configuration: Configuration) -> Catalog:
    """Index a configuration.

    Parameters
    ----------
    configuration : Configuration
        Configuration to index, already validated.

    Returns
    -------
    Catalog
        Index by name.
    """
    servers: dict[str, CatalogServer] = {}
    services: dict[str, tuple[str, ...]] = {}
    searches: dict[str, SearchSpec] = {}
    out: set[str] = set()
    for resource in configuration.resources:
        match resource.spec:
            case ServiceSpec() as service:
                services[resource.name] = tuple(spec.name for spec in service.servers)
                servers.update(_list_servers(resource.name, service))
            case SearchSpec() as search:
                searches[resource.name] = search
            case DataCentreSpec(state=DataCentreState.OUT):
                out.add(resource.name)
    return Catalog(configuration.revision, servers, services, searches, frozenset(out))


def _list_servers(name: str, service: ServiceSpec) -> dict[str, CatalogServer]:
    return {
        spec.name: CatalogServer(spec, name, service.slots, service.connections_max)
        for spec in service.servers
    }
