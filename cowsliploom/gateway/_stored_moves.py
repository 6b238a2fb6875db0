"""The fields of stored move states that decide which versions are blocked.

Used also without a move request, so it does not import the rollout modules.
"""

import msgspec

from cowsliploom.protocol import decode_json

STATE_PREFIX = 'moves/'  # state of each move, read by the next controller
FINISHED = 'finished'


class StoredMove(msgspec.Struct):
    """Fields of a move state that are needed after the end of the move.

    Parameters
    ----------
    to_version : str
        New version.
    status : str
        Status of the move, a value of ``MoveStatus``.
    share : float
        Share of requests that the new version receives.
    abandoned, rejected : tuple of str
        Versions of earlier moves of the service that did not finish.
    """

    to_version: str
    status: str
    share: float
    abandoned: tuple[str, ...] = ()
    rejected: tuple[str, ...] = ()

    @property
    def is_finished(self) -> bool:
        """Whether the new version receives all requests."""
        return self.status == FINISHED

    def blocked(self, requested: str | None) -> frozenset[str]:
        """Return the versions that receive no requests.

        Parameters
        ----------
        requested : str or None
            Version of the current move request, which is never blocked.

        Examples
        --------
        >>> state = StoredMove('v2', 'taken_back', 0)
        >>> state.blocked(requested=None), state.blocked(requested='v2')
        (frozenset({'v2'}), frozenset())
        """
        blocked = {*self.abandoned, *self.rejected}
        if not self.is_finished:
            blocked.add(self.to_version)
        return frozenset(blocked - {requested})


def decode_stored_move(content: bytes) -> StoredMove:
    """Return the decoded state.

    Raises
    ------
    UnreadableError
        If another writer has stored something else.
    """
    return decode_json(content, StoredMove)
