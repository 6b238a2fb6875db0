"""Status of resources: where they are in force, and how version moves stand."""

import bisect
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from cowsliploom.resources import Kind, Resource

BEHIND_LISTED_MAX = 20  # names in an answer; the count tells of all


@dataclass(frozen=True, slots=True)
class DaemonRevision:
    """Tell which configuration revision an entry VM has in force."""

    name: str
    data_centre: str
    applied_revision: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Tell what each live entry VM has in force, as gossip gathered it."""

    daemons: tuple[DaemonRevision, ...]


@dataclass(frozen=True, slots=True)
class FleetIndex:
    """Hold the fleet's revisions in rising order, so that one look finds who lags.

    Parameters
    ----------
    revisions : tuple of int
        Revisions in force, the lowest first.
    names : tuple of str
        Entry VMs in the same order, as ``data centre/name``.
    """

    revisions: tuple[int, ...]
    names: tuple[str, ...]


def index_fleet(fleet: FleetStatus) -> FleetIndex:
    """Index a fleet's status.

    Parameters
    ----------
    fleet : FleetStatus
        Revisions as gossip gathered them.

    Returns
    -------
    FleetIndex
        The fleet, with the entry VMs furthest behind first.
    """
    ordered = sorted(
        (daemon.applied_revision, f'{daemon.data_centre}/{daemon.name}')
        for daemon in fleet.daemons
    )
    revisions = tuple(revision for revision, _ in ordered)
    return FleetIndex(revisions, tuple(name for _, name in ordered))


@dataclass(frozen=True, slots=True)
class FleetUnknown:
    """Tell why the fleet's status is not known."""

    reason: str


@dataclass(frozen=True, slots=True)
class MoveUnknown:
    """Tell why a version move's status is not known."""

    reason: str


# What the rollout controller wrote, passed on as it is.
MoveStatus = msgspec.Raw | MoveUnknown


@dataclass(frozen=True, slots=True)
class StatusSnapshot:
    """Hold status as read at one time.

    Parameters
    ----------
    fleet : FleetIndex or FleetUnknown
        Revisions in force.
    moves : mapping of str to MoveStatus
        Status by name of the version move; a move not begun has none.
    """

    fleet: FleetIndex | FleetUnknown = field(default=FleetUnknown(''))
    moves: Mapping[str, MoveStatus] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ResourceStatus:
    """Tell from which daemons a revision is still missing.

    Parameters
    ----------
    in_force_everywhere : bool or None
        Whether every live entry VM has the revision; None when not known.
    behind : tuple of str
        First names of entry VMs that don't have it yet, as ``data centre/name``.
    behind_count : int
        Number of all entry VMs that don't have it yet.
    starting_count : int
        Number of those behind that have no configuration yet.
    daemons : int
        Number of entry VMs known.
    unknown : str
        What is not known, and why; empty when all is.
    move : object
        Version move's status as its controller wrote it; None when there is none.
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
        Status without a version move; the ones furthest behind are named first.
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
    """Return what of a status is worth telling a watcher again.

    Parameters
    ----------
    status, told : ResourceStatus
        Status now, and what was told last.

    Returns
    -------
    ResourceStatus
        Equals ``told`` when there is no news. The number of entry VMs is none. Nor
        is one that starts, once the resource was in force everywhere: each start
        would else be told for every resource.
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
