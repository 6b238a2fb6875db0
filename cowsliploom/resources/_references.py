"""Referential integrity checks of a configuration."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from cowsliploom.resources._problems import ResourceProblem
from cowsliploom.resources._types import (
    Kind,
    Resource,
    SearchSpec,
    ServiceSpec,
    VersionMoveSpec,
)


@dataclass(frozen=True, slots=True)
class _Index:
    """Valid targets of references."""

    data_centres: frozenset[str]
    services: dict[str, ServiceSpec] = field(default_factory=dict)


def _build_index(resources: tuple[Resource, ...]) -> _Index:
    data_centres = frozenset(
        resource.name for resource in resources if resource.kind is Kind.DATA_CENTRE
    )
    services = {
        resource.name: resource.spec
        for resource in resources
        if isinstance(resource.spec, ServiceSpec)
    }
    return _Index(data_centres, services)


def _check_service(
    document: str, spec: ServiceSpec, index: _Index
) -> Iterator[ResourceProblem]:
    for number, server in enumerate(spec.servers):
        if server.data_centre not in index.data_centres:
            path = f'spec.servers[{number}].data_centre'
            expected = 'a declared data centre'
            yield ResourceProblem(document, path, server.data_centre, expected)


def _check_search(
    document: str, spec: SearchSpec, index: _Index
) -> Iterator[ResourceProblem]:
    for number, service in enumerate(spec.services):
        if service not in index.services:
            path = f'spec.services[{number}]'
            yield ResourceProblem(document, path, service, 'a declared service')


def _check_version_move(
    document: str, spec: VersionMoveSpec, index: _Index
) -> Iterator[ResourceProblem]:
    service = index.services.get(spec.service)
    if service is None:
        expected = 'a declared service'
        yield ResourceProblem(document, 'spec.service', spec.service, expected)
        return
    versions = {server.version for server in service.servers}
    expected = f'a version that servers of {spec.service} run'
    if spec.from_version not in versions:
        yield ResourceProblem(
            document, 'spec.from_version', spec.from_version, expected
        )
    if spec.to_version not in versions:
        yield ResourceProblem(document, 'spec.to_version', spec.to_version, expected)


def _check_resource(resource: Resource, index: _Index) -> Iterator[ResourceProblem]:
    document = f'{resource.kind}/{resource.name}'
    match resource.spec:
        case ServiceSpec() as service:
            yield from _check_service(document, service, index)
        case SearchSpec() as search:
            yield from _check_search(document, search, index)
        case VersionMoveSpec() as move:
            yield from _check_version_move(document, move, index)


def _check_server_names(resources: tuple[Resource, ...]) -> Iterator[ResourceProblem]:
    owners: dict[str, str] = {}
    for resource in resources:
        if not isinstance(resource.spec, ServiceSpec):
            continue
        for number, server in enumerate(resource.spec.servers):
            owner = owners.setdefault(server.name, resource.name)
            if owner != resource.name:
                yield ResourceProblem(
                    f'{resource.kind}/{resource.name}',
                    f'spec.servers[{number}].name',
                    server.name,
                    f'a unique name; service {owner} already has this server',
                )


def check_configuration(resources: Iterable[Resource]) -> tuple[ResourceProblem, ...]:
    """Find dangling references and server names used by several services.

    Parameters
    ----------
    resources : iterable of Resource
        All resources of the configuration.

    Returns
    -------
    tuple of ResourceProblem
        All problems; empty if the configuration is consistent.
    """
    all_resources = tuple(resources)
    index = _build_index(all_resources)
    problems = [
        problem
        for resource in all_resources
        for problem in _check_resource(resource, index)
    ]
    return (*problems, *_check_server_names(all_resources))
