"""Deterministic encodings of resources and configurations."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from cowsliploom.protocol import decode_json
from cowsliploom.resources._decoding import SPEC_TYPES
from cowsliploom.resources._types import Configuration, Kind, Resource


@dataclass(frozen=True, slots=True)
class StoredResource:
    """A resource whose specification is not decoded yet."""

    kind: Kind
    name: str
    spec: msgspec.Raw
    revision: int = 0

    def decode(self) -> Resource:
        """Return the resource; unknown fields of later releases are ignored."""
        spec = decode_json(self.spec, SPEC_TYPES[self.kind])
        return Resource(self.kind, self.name, spec, self.revision)


@dataclass(frozen=True, slots=True)
class _StoredConfiguration:
    revision: int
    resources: tuple[StoredResource, ...]


def resource_key(resource: Resource) -> tuple[str, str]:
    """Return the kind and name that identify a resource."""
    return (resource.kind.value, resource.name)


def configuration_from_resources(
    revision: int, resources: Iterable[Resource]
) -> Configuration:
    """Return a configuration with its resources in a canonical order.

    Parameters
    ----------
    revision : int
        Revision of the configuration.
    resources : iterable of Resource
        All resources of the configuration.

    Returns
    -------
    Configuration
        Configuration with resources ordered by kind and name.
    """
    return Configuration(revision, tuple(sorted(resources, key=resource_key)))


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration; equal configurations give equal bytes.

    Parameters
    ----------
    configuration : Configuration
        Configuration to send to a peer.

    Returns
    -------
    bytes
        JSON.
    """
    return msgspec.json.encode(configuration)


def decode_configuration(encoded: bytes) -> Configuration:
    """Decode a configuration that a peer encoded.

    Parameters
    ----------
    encoded : bytes
        Result of ``encode_configuration``.

    Returns
    -------
    Configuration
        Decoded configuration.

    Raises
    ------
    msgspec.MsgspecError
        The bytes are not a valid configuration.

    Examples
    --------
    >>> decode_configuration(encode_configuration(Configuration(revision=7))).revision
    7
    """
    stored = decode_json(encoded, _StoredConfiguration)
    return Configuration(
        stored.revision, tuple(resource.decode() for resource in stored.resources)
    )
