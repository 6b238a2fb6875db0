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

    A version has a single attempt, so its states only go on. A store that was restored
    may hold an earlier one or none, and a late write may bring one back: the state that
    was known goes on being used until it is written again.
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
            State that the store holds for the current request.
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

    def get(self, service: str) -> KnownState | None:
        """Return the state to go by; None if no state is known."""
        return self._known.get(service)

    def forget(self, service: str) -> None:
        """Remove the state of a move request that has ended."""
        self._known.pop(service, None)


def _follows(later: MoveState, earlier: MoveState) -> bool:
    """Return whether a state of the same move is not behind another one."""
    if later.to_version != earlier.to_version:
        return False
    return _progress(later) >= _progress(earlier)


def _progress(state: MoveState) -> tuple[int, int, float]:
    return (STATUS_ORDER.index(state.status), state.step, state.exposed)
