"""Version moves, what is known of them, and the facts that daemons exchange."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

import msgspec

from cowsliploom.rollout._samples import VersionShare


VERSIONS_KEPT = 32  # of a service's earlier versions


class MoveStatus(StrEnum):
    """Name how far a version move is."""

    RUNNING = 'running'
    FINISHED = 'finished'
    ROLLED_BACK = 'taken_back'


class BadKind(StrEnum):
    """Name what was wrong with a version."""

    ERRORS = 'errors'
    SLOW = 'slow'
    COLD_ERRORS = 'cold_errors'
    FAILED_ANSWERS = 'failed_answers'
    SLOW_ANSWERS = 'slow_answers'


@dataclass(frozen=True, slots=True)
class Move:
    """Describe one declared version move.

    Parameters
    ----------
    name : str
        Name of the resource.
    service, from_version, to_version : str
        Service and versions concerned.
    generation : int
        Attempt, raised by the operator after a move was taken back.
    finish_by_ms : float
        Time by which a good version has all the traffic, in milliseconds since
        the epoch.
    new_servers : int
        Backend servers that run the new version; 0 when not known.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    generation: int
    finish_by_ms: float
    new_servers: int = 0

    def is_same_attempt(self, other: 'Move') -> bool:
        """Tell whether evidence on the other move counts for this one."""
        return self._attempt() == other._attempt()

    def _attempt(self) -> tuple[str, str, str, str, int]:
        versions = (self.from_version, self.to_version)
        return (self.name, self.service, *versions, self.generation)


@dataclass(frozen=True, slots=True)
class MoveState:
    """Hold the progress of a move as the store keeps it.

    Parameters
    ----------
    generation : int
        Attempt that the state belongs to.
    to_version : str
        New version.
    status : MoveStatus
        How far the move is.
    step : int
        Number of the current share, from 0 on.
    share : float
        Share of the new version, from 0 to 1.
    started_ms, updated_ms : float
        Times of the start and of the last step by the store's clock.
    token : int
        Fencing token of the controller that wrote the state.
    reason : str
        Why the move was taken back; empty otherwise.
    usual_ms : mapping of str to float
        What the old version took on each route when the move began (its p95).
    requests : float or None
        Requests expected in the time given, where that is known.
    abandoned, rejected : tuple of str
        Versions of earlier moves of the service that were replaced before they were
        finished, or taken back.
    """

    generation: int
    to_version: str
    status: MoveStatus
    step: int
    share: float
    started_ms: float
    updated_ms: float
    token: int
    reason: str = ''
    usual_ms: Mapping[str, float] = field(default_factory=dict)
    requests: float | None = None
    abandoned: tuple[str, ...] = ()
    rejected: tuple[str, ...] = ()

    def followed_by(self, first: 'MoveState') -> 'MoveState':
        """Return the first state of the next move, with how this one has ended."""
        abandoned, rejected = self.abandoned, self.rejected
        match self.status:
            case MoveStatus.ROLLED_BACK:
                rejected = (*rejected, self.to_version)
            case MoveStatus.RUNNING if self.to_version:
                abandoned = (*abandoned, self.to_version)
        return replace(
            first,
            abandoned=tuple(
                version for version in abandoned if version != first.to_version
            )[-VERSIONS_KEPT:],
            rejected=rejected[-VERSIONS_KEPT:],
        )

    def belongs_to(self, move: Move) -> bool:
        """Tell whether the state is of this attempt of a move."""
        same_version = self.to_version == move.to_version
        return same_version and self.generation == move.generation


@dataclass(frozen=True, slots=True)
class Veto:
    """Forbid a version for one attempt of a move; never withdrawn.

    Parameters
    ----------
    move : str
        Name of the move.
    service : str
        Service concerned.
    to_version : str
        Version that is bad.
    generation : int
        Attempt that is vetoed.
    reason : BadKind
        What was wrong.
    evidence : str
        Route, counts and rates behind the veto, for operators.
    """

    move: str
    service: str
    to_version: str
    generation: int
    reason: BadKind
    evidence: str

    def forbids(self, move: Move) -> bool:
        """Tell whether the veto is on this attempt of a move."""
        wanted = (move.name, move.to_version, move.generation)
        return (self.move, self.to_version, self.generation) == wanted


@dataclass(frozen=True, slots=True)
class AnnounceFact:
    """Tell all daemons a fact; a higher generation of a key replaces a lower."""

    key: str
    generation: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class ShareFact:
    """Tell a move's state as it stands in the store."""

    move: str
    state: MoveState


def shares(
    moves: Iterable[Move], states: Mapping[str, MoveState], vetoes: Iterable[Veto]
) -> tuple[VersionShare, ...]:
    """Return each new version's share of its service's traffic.

    A vetoed version has none, whatever the store says; so has one whose state
    isn't known.

    Examples
    --------
    >>> from cowsliploom.rollout import Move, shares
    >>> move = Move('rota-2', 'van-rota', 'v1', 'v2', 1, finish_by_ms=60_000)
    >>> shares([move], {}, [])[0].share
    0
    """
    known = tuple(vetoes)
    return tuple(
        VersionShare(
            service=move.service,
            from_version=move.from_version,
            to_version=move.to_version,
            share=_share(move, states.get(move.name), known),
        )
        for move in moves
    )


def _share(move: Move, state: MoveState | None, vetoes: tuple[Veto, ...]) -> float:
    if state is None or not state.belongs_to(move):
        return 0
    if any(veto.forbids(move) for veto in vetoes):
        return 0
    return state.share


def veto_fact(veto: Veto) -> AnnounceFact:
    """Return a veto as a fact."""
    key = f'veto/{veto.move}/{veto.to_version}/{veto.generation}'
    return AnnounceFact(key, 1, msgspec.json.encode(veto))


def share_fact(move: str, state: MoveState, version: int) -> AnnounceFact:
    """Return a state as a fact; the store's version orders the states of a move."""
    blob = msgspec.json.encode(ShareFact(move, state))
    return AnnounceFact(f'share/{move}', version, blob)
