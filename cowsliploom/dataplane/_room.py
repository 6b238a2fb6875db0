"""Account of what a process holds for others, against its limits; sans-IO."""

from collections import Counter
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

MEMORY_SHARE = 0.25  # of a process's memory; the rest is for the program itself
FILES_RESERVED = 200  # descriptors for files, of those that a process may open
SHED_TO_SHARE = 0.9  # of a limit; leaves room for the connections that come next
LARGE_SHARE = 0.8  # of the bytes; the rest is for connections that hold little
WORK_SHARE = 0.6  # of the bytes; the rest is for what clients send and do not read
SMALL_BYTES = 32_768  # a connection that holds no more holds little
READ_BYTES = 16_384  # read from one connection before the next check

Holder = TypeVar('Holder', bound=Hashable)


class Use(Enum):
    """What a descriptor is used for, and the share of all that it may take.

    The shares add up to more than all, so that none lies idle; but neither calls nor
    listeners can take all from the others.
    """

    CALLERS = 'callers'
    PEERS = 'peers'
    RELAYS = 'relays'
    READINESS = 'readiness'
    METRICS = 'metrics'
    CALLS = 'calls'


DESCRIPTOR_SHARES = {
    Use.CALLERS: 0.5,
    Use.PEERS: 0.1,
    Use.RELAYS: 0.1,
    Use.READINESS: 0.05,
    Use.METRICS: 0.05,
    Use.CALLS: 0.8,
}


@dataclass(frozen=True, slots=True)
class RoomLimits:
    """Limits on what a process may hold for others.

    Parameters
    ----------
    bytes_max : float
        Bytes of requests, answers and connections.
    descriptors_max : float
        Number of open sockets.

    Examples
    --------
    >>> RoomLimits.of_process(memory_bytes=160_000_000, files_max=4100)
    RoomLimits(bytes_max=40000000.0, descriptors_max=3900)
    """

    bytes_max: float = float('inf')
    descriptors_max: float = float('inf')

    @classmethod
    def of_process(cls, memory_bytes: float, files_max: float) -> 'RoomLimits':
        """Return the limits of a process that may use so much."""
        return cls(MEMORY_SHARE * memory_bytes, max(1, files_max - FILES_RESERVED))

    def descriptors_of(self, use: Use) -> float:
        """Return how many descriptors one use may take."""
        return max(1, DESCRIPTOR_SHARES[use] * self.descriptors_max)


class Room(Generic[Holder]):
    """Track what a process holds, and decide what may be added and who must go.

    Load: crowds of clients that read long answers slowly, send bodies that never end,
    pipeline small requests, or open connections without a request. Each is within its
    own limits, but together they take the memory or the descriptors of the process.

    Two kinds of holders share the bytes. Connections of clients can be ended to make
    room. Work, such as a request that runs or a call to a server, is never ended for
    lack of room, so its share is bounded before it begins.

    Parameters
    ----------
    limits : RoomLimits
        Limits on everything together.

    Attributes
    ----------
    held_bytes : float
        What all holders hold, also connections that are ended and still open.
    work_bytes : float
        Part of it that is held by work.
    ending_bytes : float
        Part of it that is held by ended connections.

    Examples
    --------
    >>> room = Room(RoomLimits(bytes_max=100_000))
    >>> room.update('a', 30_000)
    >>> room.update('b', 60_000)
    >>> list(room.excess())
    ['b']
    >>> room.held_bytes, room.ending_bytes
    (90000, 60000)
    """

    def __init__(self, limits: RoomLimits) -> None:
        self.limits = limits
        self.held_bytes: float = 0
        self.work_bytes: float = 0
        self.ending_bytes: float = 0
        self.descriptors: Counter[Use] = Counter()
        self._clients: dict[Holder, float] = {}
        self._busy: set[Holder] = set()
        self._ending: dict[Holder, float] = {}
        self._work: dict[Hashable, float] = {}

    # Bytes.

    def update(self, client: Holder, held_bytes: float, is_busy: bool = False) -> None:
        """Record what a client's connection holds now.

        Parameters
        ----------
        client : Holder
            The connection.
        held_bytes : float
            What it holds.
        is_busy : bool
            Whether a request of it runs, so that it is ended only if no other is left.
            Default False.
        """
        if client in self._ending:
            change = held_bytes - self._ending[client]
            self._ending[client] = held_bytes
            self.ending_bytes += change
        else:
            change = held_bytes - self._clients.get(client, 0)
            self._clients[client] = held_bytes
        self.held_bytes += change
        if is_busy:
            self._busy.add(client)
        else:
            self._busy.discard(client)

    def remove(self, client: Holder) -> None:
        """Forget a connection that is closed, with its memory freed."""
        self.end(client)
        held_bytes = self._ending.pop(client, 0)
        self.held_bytes -= held_bytes
        self.ending_bytes -= held_bytes

    def end(self, client: Holder) -> None:
        """Record that a connection is being closed; it still holds its bytes."""
        self._busy.discard(client)
        held_bytes = self._clients.pop(client, None)
        if held_bytes is not None:
            self._ending[client] = held_bytes
            self.ending_bytes += held_bytes

    def charge(self, work: Hashable, held_bytes: float) -> None:
        """Record what a piece of work holds now; 0 if it has ended."""
        change = held_bytes - self._work.get(work, 0)
        if held_bytes:
            self._work[work] = held_bytes
        else:
            self._work.pop(work, None)
        self.work_bytes += change
        self.held_bytes += change

    def charged(self, work: Hashable) -> float:
        """Return what a piece of work holds."""
        return self._work.get(work, 0)

    def admits(self, more_bytes: float, held_bytes: float = 0) -> bool:
        """Return whether a connection that holds so much may hold more."""
        is_small = held_bytes + more_bytes <= SMALL_BYTES
        share = 1 if is_small else LARGE_SHARE
        return self.held_bytes + more_bytes <= share * self.limits.bytes_max

    def has_work_share(self, more_bytes: float) -> bool:
        """Return whether more work would stay within the share of work."""
        return self.work_bytes + more_bytes <= WORK_SHARE * self.limits.bytes_max

    def admits_work(self, more_bytes: float) -> bool:
        """Return whether a piece of work may begin or hold more."""
        return self.has_work_share(more_bytes) and self.admits(more_bytes)

    def excess(self) -> Iterator[Holder]:
        """Yield the connections to end when there is no room for a small request."""
        if self._lasting_bytes + READ_BYTES > self.limits.bytes_max:
            yield from self.victims(SHED_TO_SHARE * self.limits.bytes_max)

    def victims(self, bytes_max: float, spares_busy: bool = False) -> Iterator[Holder]:
        """Yield the connections to end, greediest first, until the others fit.

        Of those that hold as much, the oldest goes first.

        Parameters
        ----------
        bytes_max : float
            What may be held once the ended connections are closed.
        spares_busy : bool
            Whether connections with a running request are left open. Default False.
        """
        if self._lasting_bytes <= bytes_max:
            return
        for client in sorted(self._clients, key=self._rank):
            is_spared = spares_busy and client in self._busy
            if is_spared or self._lasting_bytes <= bytes_max:
                return
            self.end(client)
            yield client

    # Descriptors.

    def may_open(self, use: Use) -> bool:
        """Return whether one more descriptor may be opened."""
        is_total_free = self.descriptors.total() < self.limits.descriptors_max
        return is_total_free and self.has_share(use)

    def has_share(self, use: Use) -> bool:
        """Return whether a use has taken less than its share."""
        return self.descriptors[use] < self.limits.descriptors_of(use)

    def open(self, use: Use) -> None:
        """Record an open descriptor."""
        self.descriptors[use] += 1

    def close(self, use: Use) -> None:
        """Record that a descriptor is closed."""
        self.descriptors[use] -= 1

    @property
    def _lasting_bytes(self) -> float:
        """What will be held once the ended connections are closed."""
        return self.held_bytes - self.ending_bytes

    def _rank(self, client: Holder) -> tuple[bool, float]:
        """Return a key that sorts busy connections last, then the greediest first."""
        return client in self._busy, -self._clients[client]
