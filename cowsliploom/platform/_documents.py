"""Documents that operators write to the platform's store."""

import math
from collections.abc import Iterable

import msgspec

from cowsliploom.forwarding import (
    CallerLimits,
    FanOut,
    MoveOrder,
    Route,
    RouteTable,
    ServiceRules,
    WeightedService,
    Workspace,
    WorkspaceTable,
    key_digest,
)
from cowsliploom.platform._document_checks import DocumentError, name_problem
from cowsliploom.protocol import UnreadableError, decode_json

CONFIGURATION_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
MOVE_PREFIX = 'op/rollout/'
MS_PER_S = 1000
SAFE = 'safe'
ATTEMPTS_DEFAULT = 1
TIMEOUT_DEFAULT_MS = 30_000.0


class _WireWeight(msgspec.Struct):
    service: str = ''
    name: str = ''  # alternative spelling of ``service``
    weight: float = 0


class _WireRoute(msgspec.Struct, rename='camel'):
    host: str
    prefix: str
    name: str = ''
    kind: str = ''
    timeout_ms: float = TIMEOUT_DEFAULT_MS
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = ATTEMPTS_DEFAULT
    service: str = ''
    weighted_services: list[_WireWeight] = msgspec.field(default_factory=list)
    fanout_services: list[str] = msgspec.field(default_factory=list)
    top_k: int = 0
    min_shard_share: float = 0
    public: bool = False
    tenants: list[str] = msgspec.field(default_factory=list)


class _WireTenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None


class _WireService(msgspec.Struct, rename='camel'):
    name: str
    health_path: str = '/'
    max_connections: int = 1
    warmup_s: float = msgspec.field(default=0, name='warmupS')
    cold_per_s: float = msgspec.field(default=0, name='coldPerS')


class _WireLimits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = CallerLimits().header_bytes_max
    max_body_bytes: int = CallerLimits().body_bytes_max
    header_timeout_ms: float = CallerLimits().header_timeout_ms
    idle_timeout_ms: float = CallerLimits().idle_timeout_ms


class _WireConfiguration(msgspec.Struct):
    version: int
    routes: list[_WireRoute]
    services: list[_WireService] = msgspec.field(default_factory=list)
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] = msgspec.field(default_factory=list)


class _WireOrder(msgspec.Struct, rename='camel'):
    service: str
    target_version: str
    duration_s: float = msgspec.field(name='durationS')


def decode_configuration(text: bytes) -> RouteTable:
    """Decode the configuration of the operator.

    Raises
    ------
    DocumentError
        If any part is invalid; nothing of it is used then.
    """
    try:
        wire = decode_json(text, _WireConfiguration)
    except UnreadableError as error:
        raise DocumentError(CONFIGURATION_KEY, error.reason) from error
    limits = CallerLimits(
        wire.limits.max_header_bytes,
        wire.limits.max_body_bytes,
        wire.limits.header_timeout_ms,
        wire.limits.idle_timeout_ms,
    )
    return RouteTable(
        wire.version,
        tuple(_route(route) for route in wire.routes),
        {service.name: _service(service) for service in wire.services},
        limits,
        _workspace_table(wire.tenants),
    )


def decode_move_order(key: str, text: bytes, revision: int) -> MoveOrder:
    """Decode a request of the operator to move a service to another version.

    Raises
    ------
    DocumentError
        If a field is missing, of another type or out of range.
    """
    try:
        wire = decode_json(text, _WireOrder)
    except UnreadableError as error:
        raise DocumentError(key, error.reason) from error
    has_duration = math.isfinite(wire.duration_s) and wire.duration_s >= 0
    matches_key = wire.service == key.removeprefix(MOVE_PREFIX)
    if not (has_duration and matches_key and wire.service and wire.target_version):
        raise DocumentError(
            key, 'targetVersion or durationS invalid, or service differs from the key'
        )
    return MoveOrder(
        wire.service, wire.target_version, wire.duration_s * MS_PER_S, revision
    )


def evacuated_data_centres(keys: Iterable[str]) -> frozenset[str]:
    """Return the data centres that must get no more requests."""
    return frozenset(
        key.removeprefix(EVACUATION_PREFIX)
        for key in keys
        if key.startswith(EVACUATION_PREFIX)
    )


def _route(wire: _WireRoute) -> Route:
    fan_out = None
    if wire.fanout_services:
        fan_out = FanOut(tuple(wire.fanout_services), wire.top_k, wire.min_shard_share)
    weighted = tuple(
        WeightedService(part.service or part.name, part.weight)
        for part in wire.weighted_services
    )
    if wire.service and not weighted:
        weighted = (WeightedService(wire.service, 1),)
    return Route(
        name=wire.name or f'{wire.host}{wire.prefix}',
        host=wire.host,
        prefix=wire.prefix,
        repeatable=wire.kind == SAFE or fan_out is not None,
        attempts_max=max(1, wire.max_attempts),
        timeout_ms=wire.timeout_ms,
        target_ms=wire.target_latency_ms or wire.timeout_ms,
        rank=wire.priority,
        services=() if fan_out else weighted,
        fan_out=fan_out,
        is_public=wire.public,
        workspaces=frozenset(wire.tenants),
    )


def _workspace_table(wire: list[_WireTenant]) -> WorkspaceTable:
    """Return the workspaces by their keys.

    Raises
    ------
    DocumentError
        If two workspaces hold one key, or a name can't be sent in a header.
    """
    by_digest: dict[bytes, Workspace] = {}
    for each in wire:
        workspace = _workspace(each)
        for key in each.api_keys:
            holder = by_digest.setdefault(_digest(key), workspace)
            if holder.name != workspace.name:
                reason = f'{holder.name} and {workspace.name} hold the same key'
                raise DocumentError(CONFIGURATION_KEY, reason)
    return WorkspaceTable(by_digest)


def _workspace(wire: _WireTenant) -> Workspace:
    problem = name_problem(wire.name)
    if problem:
        raise DocumentError(CONFIGURATION_KEY, f'workspace name: {problem}')
    return Workspace(wire.name, wire.priority)


def _digest(key: str) -> bytes:
    try:
        return key_digest(key)
    except UnicodeEncodeError as error:
        reason = 'a key has characters that no header can hold'
        raise DocumentError(CONFIGURATION_KEY, reason) from error


def _service(wire: _WireService) -> ServiceRules:
    return ServiceRules(
        wire.name,
        wire.health_path,
        wire.max_connections,
        wire.warmup_s * MS_PER_S,
        wire.cold_per_s,
    )
