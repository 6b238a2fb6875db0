"""Status of resources: where they are in force, and that of version moves."""

import bisect
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from cowsliploom.resources import Kind, Resource

BEHIND_LISTED_MAX = 20  # names in a response, which also has the full count


@dataclass(frozen=True, slots=True)
class DaemonRevision:
    """Configuration revision in force at an entry VM."""

    name: str
    data_centre: str
    applied_revision: int


@dataclass(frozen=True, slots=True)
class DaemonRevisions:
    """Revision in force at each live entry VM, as known by gossip."""

    daemons: tuple[DaemonRevision, ...]


@dataclass(frozen=True, slots=True)
class FleetIndex:
    """Revisions of the fleet, sorted for lookup by binary search.

    Parameters
    ----------
    revisions : tuple of int
        Revisions in force, in ascending order.
    names : tuple of str
        Entry VMs in the same order, as ``data centre/name``.
    """

    revisions: tuple[int, ...]
    names: tuple[str, ...]


def index_fleet(fleet: DaemonRevisions) -> FleetIndex:
    """Index a fleet's status.

    Parameters
    ----------
    fleet : DaemonRevisions
        Revisions as known by gossip.

    Returns
    -------
    FleetIndex
        The fleet, sorted by revision in force.
    """
    ordered = sorted(
        (daemon.applied_revision, f'{daemon.data_centre}/{daemon.name}')
        for daemon in fleet.daemons
    )
    revisions = tuple(revision for revision, _ in ordered)
    return FleetIndex(revisions, tuple(name for _, name in ordered))


@dataclass(frozen=True, slots=True)
class FleetUnknown:
    """Why the status of the fleet is unknown."""

    reason: str


@dataclass(frozen=True, slots=True)
class MoveUnknown:
    """Why the status of a version move is unknown."""

    reason: str


# The status as written by the rollout controller, forwarded unchanged.
MoveStatus = msgspec.Raw | MoveUnknown


@dataclass(frozen=True, slots=True)
class StatusSnapshot:
    """Status as of one read.

    Parameters
    ----------
    fleet : FleetIndex or FleetUnknown
        Revisions in force.
    moves : mapping of str to MoveStatus
        Status by name of the version move; a move that has not begun has none.
    """

    fleet: FleetIndex | FleetUnknown = field(default=FleetUnknown(''))
    moves: Mapping[str, MoveStatus] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ResourceStatus:
    """Which daemons don't have a revision in force yet.

    Parameters
    ----------
    in_force_everywhere : bool or None
        Whether every live entry VM has the revision; None if unknown.
    behind : tuple of str
        Entry VMs without it, up to a limit, as ``data centre/name``.
    behind_count : int
        Number of all entry VMs without it.
    starting_count : int
        Number of those that have no configuration yet.
    daemons : int
        Number of known entry VMs.
    unknown : str
        What is unknown, and why; empty if nothing is.
    move : object
        Version move's status as its controller wrote it; None if there is none.
    """

    in_force_everywhere: bool | None = None
    behind: tuple[str, ...] = ()
    behind_count: int = 0
    starting_count: int = 0
    daemons: int = 0
    unknown: str = ''
    move: msgspec.Raw | None = None


def revision_status(revision: int, fleet: FleetIndex | FleetUnknown) -> ResourceStatus:
    """Return where a revision is in force.

    Parameters
    ----------
    revision : int
        Revision of a resource or of the whole configuration.
    fleet : FleetIndex or FleetUnknown
        Revisions in force.

    Returns
    -------
    ResourceStatus
        Status without a version move; entry VMs furthest behind come first.
    """
    match fleet:
        case FleetUnknown(reason):
            return ResourceStatus(unknown=reason)
        case FleetIndex(()):
            return ResourceStatus(unknown='the entry VM knows of no live entry VM')
    starting_count = bisect.bisect_left(fleet.revisions, min(revision, 1))
    behind_count = bisect.bisect_left(fleet.revisions, revision)
    return ResourceStatus(
        in_force_everywhere=behind_count == 0,
        behind=fleet.names[: min(behind_count, BEHIND_LISTED_MAX)],
        behind_count=behind_count,
        starting_count=starting_count,
        daemons=len(fleet.names),
    )


def status_to_report(status: ResourceStatus, sent: ResourceStatus) -> ResourceStatus:
    """Return the part of a status whose changes are reported to a watcher.

    Parameters
    ----------
    status, sent : ResourceStatus
        Current status, and the part that was last reported.

    Returns
    -------
    ResourceStatus
        Equals ``sent`` if there is nothing to report. The number of entry VMs is not
        reported. Nor is an entry VM that starts after the resource was in force
        everywhere, since each start would then be reported for every resource.
    """
    starting_only = status.behind_count == status.starting_count
    if sent.in_force_everywhere and status.behind_count and starting_only:
        return replace(
            status,
            in_force_everywhere=True,
            behind=(),
            behind_count=0,
            starting_count=0,
            daemons=0,
        )
    return replace(status, daemons=0)


def resource_status(resource: Resource, snapshot: StatusSnapshot) -> ResourceStatus:
    """Return the status of one resource."""
    status = revision_status(resource.revision, snapshot.fleet)
    if resource.kind is not Kind.VERSION_MOVE:
        return status
    move = snapshot.moves.get(resource.name)
    if isinstance(move, MoveUnknown):
        unknown = '; '.join(filter(None, (status.unknown, f'move: {move.reason}')))
        return replace(status, unknown=unknown)
    return replace(status, move=move)
