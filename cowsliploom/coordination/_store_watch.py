"""Schedule of the store calls that read the configuration."""

import random
from dataclasses import dataclass

from cowsliploom.members import Member, chosen_watchers

WATCH_WAIT_MS = 10_000  # long poll; each one counts as one store call
POLL_INTERVAL_MS = 60_000  # per POLLS_PER_INTERVAL polls of a data centre in total
POLLS_PER_INTERVAL = 8
FIRST_POLL_MS = 2000  # a new VM tries its peers first
BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 5000  # a change must be seen within 8 s of the store's return


@dataclass(frozen=True, slots=True)
class WatchStore:
    """Command to ask the store for a revision above ``after_revision``.

    ``wait_ms`` is 0 for a poll, which the store answers immediately.
    """

    after_revision: int
    wait_ms: float


class StoreWatchScheduler:
    """Schedule the store calls of one daemon, one at a time.

    Parameters
    ----------
    self_name, data_centre : str
        Name of this daemon and its data centre.
    seed : int
        Seed of the jitter of polls and retries.

    Notes
    -----
    Two members of each data centre watch the store. The others receive changes from
    their peers and poll at an interval that grows with the data centre, so the number
    of store calls does not grow with the fleet.

    Examples
    --------
    >>> scheduler = StoreWatchScheduler('vm-1', 'de', seed=1)
    >>> scheduler.members_changed(0, (Member('vm-1', '', 'de'),))
    >>> scheduler.next_call(0, revision=7)
    WatchStore(after_revision=7, wait_ms=10000)
    >>> scheduler.next_call(100, revision=7)  # the first one is still open
    >>> scheduler.answered(500)
    >>> scheduler.next_call(500, revision=8)
    WatchStore(after_revision=8, wait_ms=10000)
    """

    def __init__(self, self_name: str, data_centre: str, seed: int) -> None:
        self.self_name = self_name
        self.data_centre = data_centre
        self.seed = seed
        self.is_watcher = False
        self._random = random.Random(seed)
        self._size = 1
        self._is_open = False
        self._next_ms: float | None = None
        self._failures = 0

    def members_changed(self, now_ms: float, live: tuple[Member, ...]) -> None:
        """Update the live members and choose the watchers."""
        own = [member for member in live if member.data_centre == self.data_centre]
        self._size = max(len(own), 1)
        was_watcher = self.is_watcher
        self.is_watcher = self.self_name in chosen_watchers(own, self.data_centre)
        if self.is_watcher and not was_watcher:
            self._next_ms = now_ms

    def next_call(self, now_ms: float, revision: int) -> WatchStore | None:
        """Return the call that is due, if any; to be called every 100 ms.

        Parameters
        ----------
        now_ms : float
            Monotonic clock of this daemon.
        revision : int
            Highest revision that this daemon has, from the store or a peer.
        """
        if self._next_ms is None:
            self._next_ms = now_ms + self._random.uniform(0, FIRST_POLL_MS)
        if self._is_open or now_ms < self._next_ms:
            return None
        self._is_open = True
        return WatchStore(revision, WATCH_WAIT_MS if self.is_watcher else 0)

    def answered(self, now_ms: float) -> None:
        """Record that the store answered the call, with or without a change."""
        self._is_open = False
        self._failures = 0
        self._next_ms = now_ms if self.is_watcher else now_ms + self._poll_wait_ms()

    def unanswered(self, now_ms: float) -> None:
        """Record that the store did not answer the call."""
        self._is_open = False
        bound_ms = min(BACKOFF_MIN_MS * 2**self._failures, BACKOFF_MAX_MS)
        self._failures += 1
        wait_ms = self._random.uniform(0, bound_ms)
        if not self.is_watcher:
            wait_ms = self._poll_wait_ms()
        self._next_ms = now_ms + wait_ms

    def _poll_wait_ms(self) -> float:
        """Return a wait proportional to the data centre, for a constant total rate."""
        mean_ms = POLL_INTERVAL_MS * max(self._size / POLLS_PER_INTERVAL, 1)
        return mean_ms * self._random.uniform(0.5, 1.5)
