"""Waiting for a revision to be in force, and for a version move to end."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from cowsliploom.cli._answers import FleetShown, MoveProgress, StatusShown
from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.cli._session import Session, pause
from cowsliploom.cli._watching import (
    DeleteSeen,
    PutSeen,
    StatusSeen,
    WatchEvent,
)
from cowsliploom.resources import VersionMoveSpec

POLL_MS = 500.0  # a change is in force within seconds


class MoveEnd(StrEnum):
    """Name how a version move ends."""

    FINISHED = 'finished'
    TAKEN_BACK = 'taken_back'


@dataclass(frozen=True, slots=True)
class MoveSeen:
    """Hold what is known of a version move."""

    spec: VersionMoveSpec | None = None
    progress: MoveProgress = MoveProgress()


def follow_move(seen: MoveSeen, event: WatchEvent) -> MoveSeen:
    """Return what is known after an event.

    Raises
    ------
    CtlError
        The version move was deleted.
    """
    match event:
        case PutSeen(spec=spec):
            return replace(seen, spec=msgspec.convert(spec, VersionMoveSpec))
        case StatusSeen(status=status):
            progress = msgspec.convert(status, StatusShown).move or MoveProgress()
            return replace(seen, progress=progress)
        case DeleteSeen(name=name):
            sentence = f'version move {name} was deleted'
            raise CtlError(ExitCode.NOT_FOUND, sentence, 'ctl.wait')
    return seen


def move_end(seen: MoveSeen) -> MoveEnd | None:
    """Return how the declared attempt ended; nothing while it has not.

    Notes
    -----
    A status of an earlier generation, or of another version, tells nothing of
    the attempt that is declared now.
    """
    if seen.spec is None or seen.progress.status not in set(MoveEnd):
        return None
    told = (seen.progress.generation, seen.progress.to_version)
    if told != (seen.spec.generation, seen.spec.to_version):
        return None
    return MoveEnd(seen.progress.status)


def wait_for_move(session: Session, events: Iterable[WatchEvent]) -> None:
    """Show events until a version move ends.

    Raises
    ------
    CtlError
        The move was taken back or deleted, or the time is up.
    """
    seen = MoveSeen()
    for event in events:
        session.show_event(event)
        seen = follow_move(seen, event)
        match move_end(seen):
            case MoveEnd.FINISHED:
                return
            case MoveEnd.TAKEN_BACK:
                sentence = f'the version move was taken back: {seen.progress.reason}'
                raise CtlError(ExitCode.TAKEN_BACK, sentence, 'ctl.wait')
    sentence = f'the version move has not ended: {seen.progress.describe()}'
    raise CtlError(ExitCode.TIMED_OUT, sentence, 'ctl.wait')


def wait_for_revision(
    session: Session, revision: int | None, timeout_ms: float
) -> FleetShown:
    """Wait until a revision is in force on every live entry VM.

    Parameters
    ----------
    session : Session
        Asks the daemons.
    revision : int or None
        Revision to wait for; the newest when none is given.
    timeout_ms : float
        Time limit, in milliseconds.

    Returns
    -------
    FleetShown
        Status that ended the wait.

    Raises
    ------
    CtlError
        The time is up.
    """
    deadline_ms = session.clock.now_ms() + timeout_ms
    fleet = session.read_fleet(revision)
    while not _is_in_force(fleet):
        if session.clock.now_ms() >= deadline_ms:
            sentence = f'revision {fleet.revision}: {fleet.status.describe()}'
            raise CtlError(ExitCode.TIMED_OUT, sentence, 'ctl.wait')
        pause(min(POLL_MS, max(0, deadline_ms - session.clock.now_ms())))
        fleet = session.read_fleet(fleet.revision)
    return fleet


def _is_in_force(fleet: FleetShown) -> bool:
    in_force = fleet.status.in_force_everywhere is True
    return in_force and fleet.newest_revision >= fleet.revision
