"""Account of what the connections of a process hold, against its limits; sans-IO."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

SHED_TO_SHARE = 0.9  # of a limit; leaves room for the connections that come next
MEMORY_SHARE = 0.25  # of a process's memory; the rest is for the program and its calls
FILES_RESERVED = 200  # descriptors for files, of those that a process may open
CALLERS_SHARE = 0.5  # of the other descriptors; the rest is for servers and peers

Holder = TypeVar('Holder')


@dataclass(frozen=True, slots=True)
class RoomLimits:
    """Limits on what connections may hold together.

    Parameters
    ----------
    bytes_max : float
        Bytes of requests and answers.
    connections_max : float
        Number of connections.

    Examples
    --------
    >>> RoomLimits.of_process(memory_bytes=160_000_000, files_max=4100)
    RoomLimits(bytes_max=40000000.0, connections_max=1950.0)
    """

    bytes_max: float = float('inf')
    connections_max: float = float('inf')

    @classmethod
    def of_process(cls, memory_bytes: float, files_max: float) -> 'RoomLimits':
        """Return the limits of a process that may use so much."""
        files = max(1, files_max - FILES_RESERVED)
        return cls(MEMORY_SHARE * memory_bytes, max(1, CALLERS_SHARE * files))

    def scaled(self, share: float) -> 'RoomLimits':
        """Return a share of these limits."""
        return RoomLimits(share * self.bytes_max, share * self.connections_max)


class Room(Generic[Holder]):
    """Track what each connection holds, and which must give it up.

    Load: crowds of clients that read long answers slowly, send bodies that never end,
    or open connections without a request. Each is within its own limits, but together
    they take the memory or the descriptors of the process.

    Parameters
    ----------
    limits : RoomLimits
        Limits on all connections together.

    Examples
    --------
    >>> room = Room(RoomLimits(bytes_max=100))
    >>> room.update('a', 30)
    >>> room.update('b', 80)
    >>> list(room.victims())
    ['b']
    """

    def __init__(self, limits: RoomLimits) -> None:
        self.limits = limits
        self.held_bytes: float = 0
        self._held: dict[Holder, float] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._held)

    def update(self, holder: Holder, held_bytes: float) -> None:
        """Record what a connection holds now."""
        self.held_bytes += held_bytes - self._held.get(holder, 0)
        self._held[holder] = held_bytes

    def remove(self, holder: Holder) -> None:
        """Forget a connection that has ended."""
        self.held_bytes -= self._held.pop(holder, 0)

    def victims(self) -> Iterator[Holder]:
        """Yield the connections to end, greediest first, until the others fit.

        Of those that hold as much, the oldest goes first.
        """
        is_full = self.held_bytes > self.limits.bytes_max
        is_crowded = len(self._held) > self.limits.connections_max
        if not (is_full or is_crowded):
            return
        bytes_max = SHED_TO_SHARE * self.limits.bytes_max
        connections_max = SHED_TO_SHARE * self.limits.connections_max
        ranked = sorted(self._held, key=self._held.__getitem__, reverse=True)
        for holder in ranked:
            fits = not is_full or self.held_bytes <= bytes_max
            if fits and (not is_crowded or len(self._held) <= connections_max):
                return
            self.remove(holder)
            yield holder
