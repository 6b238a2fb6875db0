"""How long removed registrations are kept, as they may have expired in an outage."""

from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass

EXPIRY_HOLD_MS = 2300.0  # live servers register again this soon after an outage
HEARTBEATS_MIN = 2  # of the three after which a silent registration expires
HEARTBEAT_MS = 1200.0
SAME_OUTAGE_MS = 1000.0  # VMs notice the end of one outage within this time
CONFIRMATIONS_KEPT_MS = 60_000.0
CONFIRMATION_SPACING_MS = 50.0  # closer ones tell nothing more
NEVER_MS = float('-inf')


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """Time for which the store did not answer, by the local monotonic clock.

    Parameters
    ----------
    lost_ms : float
        When the outage was noticed.
    recovered_ms : float
        When the store answered again.
    """

    lost_ms: float
    recovered_ms: float


class StoreConfirmations:
    """When the store answered any VM, as far as this one has heard.

    Examples
    --------
    >>> confirmations = StoreConfirmations()
    >>> for at_ms in (1000, 5000, 6000):
    ...     confirmations.add(at_ms)
    >>> confirmations.latest_until(5500), confirmations.has_any(2000, 4000)
    (5000, False)
    """

    def __init__(self) -> None:
        self._times_ms: list[float] = []

    def add(self, at_ms: float) -> None:
        """Record an answer of the store, in any order of time."""
        following = bisect_left(self._times_ms, at_ms)
        neighbours_ms = self._times_ms[max(0, following - 1) : following + 1]
        if any(
            abs(at_ms - known_ms) < CONFIRMATION_SPACING_MS
            for known_ms in neighbours_ms
        ):
            return
        insort(self._times_ms, at_ms)
        oldest_ms = self._times_ms[-1] - CONFIRMATIONS_KEPT_MS
        del self._times_ms[: bisect_left(self._times_ms, oldest_ms)]

    def latest_until(self, until_ms: float) -> float:
        """Return the latest answer up to a time; minus infinity if there is none."""
        following = bisect_right(self._times_ms, until_ms)
        return self._times_ms[following - 1] if following else NEVER_MS

    def has_any(self, after_ms: float, until_ms: float) -> bool:
        """Return whether there was an answer after one time and before another."""
        following = bisect_right(self._times_ms, after_ms)
        return following < bisect_left(self._times_ms, until_ms)

    def add_age(self, missed_ms: float) -> None:
        """Add time during which the local clock did not advance."""
        self._times_ms = [at_ms - missed_ms for at_ms in self._times_ms]


class ExpiryHold:
    """Keep removed registrations after an outage of the store, and only then.

    An outage counts if it was long enough for registrations to expire, and if for so
    long no VM that this one hears had an answer. One VM alone may have lost the store,
    or have been paused itself; meanwhile removals are believed at once.

    Attributes
    ----------
    heartbeat_ms : float
        Interval at which servers renew their registrations.
    confirmations : StoreConfirmations
        When the store answered any VM.

    Examples
    --------
    >>> hold = ExpiryHold()
    >>> hold.confirmations.add(800)
    >>> hold.note(StoreOutage(1000, 9000))
    True
    >>> hold.until_ms
    11300.0
    >>> hold.note(StoreOutage(20_000, 20_100))
    False
    """

    def __init__(self) -> None:
        self.heartbeat_ms = HEARTBEAT_MS
        self.confirmations = StoreConfirmations()
        self.outage: StoreOutage | None = None

    @property
    def until_ms(self) -> float:
        """Until when removed registrations are kept, counted from the outage's end."""
        if self.outage is None:
            return NEVER_MS
        return self.outage.recovered_ms + EXPIRY_HOLD_MS

    def note(self, outage: StoreOutage, running_since_ms: float = NEVER_MS) -> bool:
        """Record an outage noticed here or by a peer; return whether it is new.

        Parameters
        ----------
        outage : StoreOutage
            The outage.
        running_since_ms : float
            Since when this VM has run without a pause, if it noticed the outage itself.
        """
        begun_ms = self.confirmations.latest_until(outage.lost_ms)
        if begun_ms == NEVER_MS:
            begun_ms = outage.lost_ms
        begun_ms = max(begun_ms, running_since_ms)
        is_short = outage.recovered_ms - begun_ms < HEARTBEATS_MIN * self.heartbeat_ms
        was_up = self.confirmations.has_any(outage.lost_ms, outage.recovered_ms)
        if is_short or was_up:
            return False
        known = self.outage
        if known and outage.recovered_ms < known.recovered_ms + SAME_OUTAGE_MS:
            return False
        self.outage = outage
        return True

    def note_restored(self, now_ms: float) -> None:
        """Record that the store came back from a copy without the latest writes."""
        self.outage = StoreOutage(now_ms, now_ms)

    def ages_ms(self, now_ms: float) -> tuple[float, ...]:
        """Return how long ago the outage began and ended, while it keeps any."""
        if self.outage is None or now_ms > self.until_ms:
            return ()
        return (now_ms - self.outage.lost_ms, now_ms - self.outage.recovered_ms)

    def add_age(self, missed_ms: float) -> None:
        """Add time during which the local clock did not advance."""
        self.confirmations.add_age(missed_ms)
        if self.outage is not None:
            self.outage = StoreOutage(
                self.outage.lost_ms - missed_ms, self.outage.recovered_ms - missed_ms
            )
