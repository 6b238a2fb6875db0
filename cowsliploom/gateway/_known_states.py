"""Furthest states of version moves that the store is known to have held."""

from dataclasses import dataclass

from cowsliploom.rollout import MoveState, MoveStatus

STATUS_ORDER = (MoveStatus.RUNNING, MoveStatus.FINISHED, MoveStatus.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class KnownState:
    """A state as stored.

    Parameters
    ----------
    state : MoveState
        The state, with its times as stored.
    revision : int
        Latest revision at which the store held it.
    """

    state: MoveState
    revision: int


class KnownStates:
    """Keep the states of moves, so that no move goes back.

    A version has a single attempt, so the states of a move only go on. A store that was
    restored may hold an earlier one or none, and a late write may bring one back: the
    state that was known goes on being used until it is written again.
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownState] = {}

    def merge(self, service: str, stored: MoveState, revision: int) -> MoveState:
        """Return the state to go by, of the one that is stored and the one known.

        Parameters
        ----------
        service : str
            Service of the move.
        stored : MoveState
            State that the store holds.
        revision : int
            Revision of the stored state.
        """
        known = self._known.get(service)
        if known is not None:
            is_older = revision < known.revision
            if is_older or not _follows(stored, known.state):
                return known.state
        self._known[service] = KnownState(stored, revision)
        return stored

    def get(self, service: str, to_version: str) -> KnownState | None:
        """Return the state of a service's move to a version; None if none is known."""
        known = self._known.get(service)
        if known is None or known.state.to_version != to_version:
            return None
        return known

    def forget(self, service: str) -> None:
        """Remove the state of a move request that has ended."""
        self._known.pop(service, None)


def _follows(later: MoveState, earlier: MoveState) -> bool:
    """Return whether a state is not behind another one, or is of another move."""
    is_same_move = later.to_version == earlier.to_version
    return not is_same_move or _progress(later) >= _progress(earlier)


def _progress(state: MoveState) -> tuple[int, int, float]:
    return (STATUS_ORDER.index(state.status), state.step, state.exposed)
