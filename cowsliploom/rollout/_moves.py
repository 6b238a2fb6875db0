"""Version moves, their stored states, and the facts that daemons exchange."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

import msgspec

from cowsliploom.rollout._samples import VersionShare

VERSIONS_KEPT = 32  # abandoned or rejected versions kept for each service


class MoveStatus(StrEnum):
    """State of progress of a version move."""

    RUNNING = 'running'
    FINISHED = 'finished'
    ROLLED_BACK = 'taken_back'


class DefectKind(StrEnum):
    """Kind of defect of a version."""

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
        Name of the move's resource.
    service, from_version, to_version : str
        Service and versions concerned.
    generation : int
        Attempt, raised by the operator after a move was rolled back.
    finish_by_ms : float
        Time by which a good version has all the traffic, in milliseconds since
        the epoch.
    new_servers : int
        Backend servers that run the new version; 0 if unknown.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    generation: int
    finish_by_ms: float
    new_servers: int = 0

    def is_same_attempt(self, other: 'Move') -> bool:
        """Return whether evidence on the other move counts for this one too."""
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
        State of progress.
    step : int
        Index of the current share.
    share : float
        Share of the new version, from 0 to 1.
    started_ms, updated_ms : float
        Times of the start and of the last step by the store's clock.
    token : int
        Fencing token of the controller that wrote the state.
    reason : str
        Why the move was rolled back; empty otherwise.
    usual_ms : mapping of str to float
        Baseline latency (p95) of the old version on each route before the move.
    requests : float or None
        Requests expected in the whole time of the move, if known.
    exposed : float
        Requests that the new version has received by the last step, by the shares or by
        the counts, whichever is more.
    abandoned, rejected : tuple of str
        Versions of earlier moves of the service that were replaced before the move
        finished, or rolled back.
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
    exposed: float = 0
    abandoned: tuple[str, ...] = ()
    rejected: tuple[str, ...] = ()

    def followed_by(self, first: 'MoveState') -> 'MoveState':
        """Return the first state of the next move, with this one's end recorded."""
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
        """Return whether the state belongs to this attempt of a move."""
        same_version = self.to_version == move.to_version
        return same_version and self.generation == move.generation


@dataclass(frozen=True, slots=True)
class Veto:
    """Forbid a version for one attempt of a move; can't be withdrawn.

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
    reason : DefectKind
        Kind of defect.
    evidence : str
        Route, counts and rates behind the veto, for operators.
    """

    move: str
    service: str
    to_version: str
    generation: int
    reason: DefectKind
    evidence: str

    def forbids(self, move: Move) -> bool:
        """Return whether the veto applies to this attempt of a move."""
        wanted = (move.name, move.to_version, move.generation)
        return (self.move, self.to_version, self.generation) == wanted


@dataclass(frozen=True, slots=True)
class AnnounceFact:
    """Announce a fact to all daemons; a higher generation of a key replaces a lower."""

    key: str
    generation: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class ShareFact:
    """Hold a move's state as it is in the store."""

    move: str
    state: MoveState


def shares(
    moves: Iterable[Move], states: Mapping[str, MoveState], vetoes: Iterable[Veto]
) -> tuple[VersionShare, ...]:
    """Return each new version's share of its service's traffic.

    The share is 0 if the version is vetoed, whatever the store says, or if the state
    of its move is unknown.

    Examples
    --------
    >>> from cowsliploom.rollout import Move, shares
    >>> move = Move('rota-2', 'van-rota', 'v1', 'v2', 1, finish_by_ms=60_000)
    >>> shares([move], {}, [])[0].share
    0
    """
    known_vetoes = tuple(vetoes)
    return tuple(
        VersionShare(
            service=move.service,
            from_version=move.from_version,
            to_version=move.to_version,
            share=_share(move, states.get(move.name), known_vetoes),
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
    """Return a state as a fact; the store's version orders a move's states."""
    blob = msgspec.json.encode(ShareFact(move, state))
    return AnnounceFact(f'share/{move}', version, blob)
