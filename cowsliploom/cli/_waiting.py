"""Waiting until a revision is in force or a version move has ended."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.cli._responses import FleetStatus, MoveProgress, ResourceStatus
from cowsliploom.cli._session import Session, pause
from cowsliploom.cli._watching import (
    DeleteEvent,
    PutEvent,
    StatusEvent,
    WatchEvent,
)
from cowsliploom.resources import VersionMoveSpec

POLL_MS = 500.0  # a change takes effect within seconds


class MoveEnd(StrEnum):
    """Final status of a version move."""

    FINISHED = 'finished'
    ROLLED_BACK = 'taken_back'


@dataclass(frozen=True, slots=True)
class ObservedMove:
    """Observed specification and progress of a version move."""

    spec: VersionMoveSpec | None = None
    progress: MoveProgress = MoveProgress()


def apply_event(observed: ObservedMove, event: WatchEvent) -> ObservedMove:
    """Return the observed move after an event.

    Raises
    ------
    CtlError
        The version move was deleted.
    """
    match event:
        case PutEvent(spec=spec):
            return replace(observed, spec=msgspec.convert(spec, VersionMoveSpec))
        case StatusEvent(status=status):
            progress = msgspec.convert(status, ResourceStatus).move or MoveProgress()
            return replace(observed, progress=progress)
        case DeleteEvent(name=name):
            message = f'version move {name} was deleted'
            raise CtlError(ExitCode.NOT_FOUND, message, 'ctl.wait')
    return observed


def move_end(observed: ObservedMove) -> MoveEnd | None:
    """Return the final status of the declared attempt; None while it runs.

    Notes
    -----
    A status of an earlier generation or another version belongs to another attempt
    and is ignored.
    """
    if observed.spec is None or observed.progress.status not in set(MoveEnd):
        return None
    reported = (observed.progress.generation, observed.progress.to_version)
    if reported != (observed.spec.generation, observed.spec.to_version):
        return None
    return MoveEnd(observed.progress.status)


def wait_for_move(session: Session, events: Iterable[WatchEvent]) -> None:
    """Print events until a version move ends.

    Raises
    ------
    CtlError
        The move was rolled back or deleted, or the wait timed out.
    """
    observed = ObservedMove()
    for event in events:
        session.show_event(event)
        observed = apply_event(observed, event)
        match move_end(observed):
            case MoveEnd.FINISHED:
                return
            case MoveEnd.ROLLED_BACK:
                message = (
                    f'the version move was rolled back: {observed.progress.reason}'
                )
                raise CtlError(ExitCode.ROLLED_BACK, message, 'ctl.wait')
    message = f'the version move has not ended: {observed.progress.describe()}'
    raise CtlError(ExitCode.TIMED_OUT, message, 'ctl.wait')


def wait_for_revision(
    session: Session, revision: int | None, timeout_ms: float
) -> FleetStatus:
    """Wait until a revision is in force on every live entry VM.

    Parameters
    ----------
    session : Session
        Session with the operator daemons.
    revision : int or None
        Revision to wait for; the newest if None.
    timeout_ms : float
        Timeout, in milliseconds.

    Returns
    -------
    FleetStatus
        Status with the revision in force.

    Raises
    ------
    CtlError
        The wait timed out.
    """
    deadline_ms = session.clock.now_ms() + timeout_ms
    fleet = session.read_fleet(revision)
    while not _is_in_force(fleet):
        if session.clock.now_ms() >= deadline_ms:
            message = f'revision {fleet.revision}: {fleet.status.describe()}'
            raise CtlError(ExitCode.TIMED_OUT, message, 'ctl.wait')
        pause(min(POLL_MS, max(0, deadline_ms - session.clock.now_ms())))
        fleet = session.read_fleet(fleet.revision)
    return fleet


def _is_in_force(fleet: FleetStatus) -> bool:
    in_force = fleet.status.in_force_everywhere is True
    return in_force and fleet.newest_revision >= fleet.revision
