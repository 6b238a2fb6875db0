"""Who asks the store for the configuration, and when."""

import random
from dataclasses import dataclass

from cowsliploom.members import Member
from cowsliploom.members import chosen_watchers

WATCH_WAIT_MS = 10_000  # each wait is one counted call
POLL_INTERVAL_MS = 60_000  # of a whole data centre's other members together: 8 polls
POLLS_PER_INTERVAL = 8
FIRST_POLL_MS = 2000  # a new VM asks its peers first
BACKOFF_MIN_MS = 200
BACKOFF_MAX_MS = 5000  # when the store is back, the change is to be seen within 8 s


@dataclass(frozen=True, slots=True)
class WatchStore:
    """Ask the store for a revision above ``after_revision``.

    ``wait_ms`` is 0 for a poll, which is answered at once.
    """

    after_revision: int
    wait_ms: float


class StoreWatchScheduler:
    """Decide which call on the store one daemon makes, one at a time.

    Parameters
    ----------
    self_name, data_centre : str
        This daemon and its data centre.
    seed : int
        Seed of the generator that spreads polls and retries.

    Notes
    -----
    Two members of each data centre hold a watch; the others hear from their peers,
    and poll so rarely that a data centre's polls together stay the same however
    many members it has. So the calls on the store don't grow with the fleet.

    Examples
    --------
    >>> plan = StoreWatchScheduler('vm-1', 'de', seed=1)
    >>> plan.members_changed(0, (Member('vm-1', '', 'de'),))
    >>> plan.next_call(0, revision=7)
    WatchStore(after_revision=7, wait_ms=10000)
    >>> plan.next_call(100, revision=7)  # the first one is still open
    >>> plan.answered(500)
    >>> plan.next_call(500, revision=8)
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
        """Take the live members, of which two are chosen."""
        own = [member for member in live if member.data_centre == self.data_centre]
        self._size = max(len(own), 1)
        was_watcher = self.is_watcher
        self.is_watcher = self.self_name in chosen_watchers(own, self.data_centre)
        if self.is_watcher and not was_watcher:
            self._next_ms = now_ms

    def next_call(self, now_ms: float, revision: int) -> WatchStore | None:
        """Return the call that is due, if any; to be asked every 100 ms.

        Parameters
        ----------
        now_ms : float
            Time by the own monotonic clock.
        revision : int
            Highest revision that this daemon has, from whomever.
        """
        if self._next_ms is None:
            self._next_ms = now_ms + self._random.uniform(0, FIRST_POLL_MS)
        if self._is_open or now_ms < self._next_ms:
            return None
        self._is_open = True
        return WatchStore(revision, WATCH_WAIT_MS if self.is_watcher else 0)

    def answered(self, now_ms: float) -> None:
        """Take the end of a call that the store answered, with news or without."""
        self._is_open = False
        self._failures = 0
        self._next_ms = now_ms if self.is_watcher else now_ms + self._poll_wait_ms()

    def unanswered(self, now_ms: float) -> None:
        """Take the end of a call that the store didn't answer."""
        self._is_open = False
        bound_ms = min(BACKOFF_MIN_MS * 2**self._failures, BACKOFF_MAX_MS)
        self._failures += 1
        wait_ms = self._random.uniform(0, bound_ms)
        if not self.is_watcher:
            wait_ms = self._poll_wait_ms()
        self._next_ms = now_ms + wait_ms

    def _poll_wait_ms(self) -> float:
        """Return a wait that grows with the data centre, so the sum stays."""
        mean_ms = POLL_INTERVAL_MS * max(self._size / POLLS_PER_INTERVAL, 1)
        return mean_ms * self._random.uniform(0.5, 1.5)
