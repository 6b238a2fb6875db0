"""Conversion of version move resources to the moves of a rollout."""

from datetime import datetime

from cowsliploom.resources import Configuration, ServiceSpec, VersionMoveSpec
from cowsliploom.rollout import Move

MS_PER_S = 1000


def declared_moves(configuration: Configuration) -> tuple[Move, ...]:
    """Return the version moves that a configuration declares."""
    services = {
        resource.name: resource.spec
        for resource in configuration.resources
        if isinstance(resource.spec, ServiceSpec)
    }
    return tuple(
        _move(resource.name, resource.spec, services.get(resource.spec.service))
        for resource in configuration.resources
        if isinstance(resource.spec, VersionMoveSpec)
    )


def _move(name: str, spec: VersionMoveSpec, service: ServiceSpec | None) -> Move:
    finish_by = datetime.fromisoformat(spec.finish_by)
    servers = service.servers if service else ()
    versions = [server.version for server in servers]
    return Move(
        name=name,
        service=spec.service,
        from_version=spec.from_version,
        to_version=spec.to_version,
        generation=spec.generation,
        finish_by_ms=finish_by.timestamp() * MS_PER_S,
        new_servers=versions.count(spec.to_version),
    )
