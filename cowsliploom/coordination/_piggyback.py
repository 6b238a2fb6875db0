"""Bounded gossip of updates, piggybacked on other frames."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

SENDS_PER_LOG = 1  # additional sends of an update per doubling of the fleet
SENDS_MIN = 4  # small fleets lose frames as well

Update = TypeVar('Update')


@dataclass(slots=True)
class _Queued(Generic[Update]):
    update: Update
    sends: int = 0


class PiggybackQueue(Generic[Update]):
    """Return the least sent updates first, each a bounded number of times.

    Parameters
    ----------
    batch_max : int
        Maximum number of updates per frame.

    Examples
    --------
    >>> queue = PiggybackQueue[str](batch_max=1)
    >>> queue.put('vm-1', 'alive')
    >>> queue.put('vm-1', 'dead')
    >>> queue.next_batch(fleet_size=2)
    ('dead',)
    """

    def __init__(self, batch_max: int) -> None:
        self.batch_max = batch_max
        self._queued: dict[str, _Queued[Update]] = {}

    def __len__(self) -> int:
        """Return the number of updates still to be sent."""
        return len(self._queued)

    def put(self, key: str, update: Update) -> None:
        """Queue an update; it replaces an older one of the same key."""
        self._queued[key] = _Queued(update)

    def next_batch(self, fleet_size: int) -> tuple[Update, ...]:
        """Return the updates for one frame.

        Parameters
        ----------
        fleet_size : int
            Members that an update has to reach; determines how often it is sent.

        Returns
        -------
        tuple
            At most ``batch_max`` updates, the least sent first.
        """
        if not self._queued:
            return ()
        least_sent = sorted(self._queued.items(), key=_sends)[: self.batch_max]
        for key, _ in least_sent:
            self._count_send(key, fleet_size)
        return tuple(entry[1].update for entry in least_sent)

    def count_as_sent(
        self, fleet_size: int, is_known: Callable[[Update], bool]
    ) -> None:
        """Count a send of each update that a member already knows.

        Parameters
        ----------
        fleet_size : int
            Members that an update has to reach.
        is_known : callable
            Returns whether the member knows an update.
        """
        known = [key for key, held in self._queued.items() if is_known(held.update)]
        for key in known:
            self._count_send(key, fleet_size)

    def _count_send(self, key: str, fleet_size: int) -> None:
        queued = self._queued[key]
        queued.sends += 1
        sends_max = SENDS_MIN + SENDS_PER_LOG * math.ceil(math.log2(fleet_size + 1))
        if queued.sends >= sends_max:
            self._queued.pop(key)


def _sends(entry: tuple[str, _Queued[Update]]) -> int:
    return entry[1].sends
