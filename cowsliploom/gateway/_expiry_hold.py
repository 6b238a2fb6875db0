"""How long removed registrations are kept, as they may have expired in an outage."""

from dataclasses import dataclass

EXPIRY_HOLD_MS = 2300.0  # live servers register again this soon after an outage
SAME_OUTAGE_MS = 1000.0  # VMs notice the end of one outage within this time
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


class ExpiryHold:
    """Keep removed registrations after an outage of the store, and only then.

    An outage that one VM notices may be its own loss of the store. While others have
    the store's answers, registrations do not expire and removals are believed at once.

    Examples
    --------
    >>> hold = ExpiryHold()
    >>> hold.note(StoreOutage(1000, 9000), confirmed_ms=800)
    True
    >>> hold.until_ms
    11300.0
    >>> hold.note(StoreOutage(20_000, 24_000), confirmed_ms=22_000)
    False
    """

    def __init__(self) -> None:
        self.outage: StoreOutage | None = None

    @property
    def until_ms(self) -> float:
        """Until when removed registrations are kept, counted from the outage's end."""
        if self.outage is None:
            return NEVER_MS
        return self.outage.recovered_ms + EXPIRY_HOLD_MS

    def note(self, outage: StoreOutage, confirmed_ms: float | None) -> bool:
        """Record an outage noticed here or by a peer; return whether it is new.

        One during which the store answered others is not believed.

        Parameters
        ----------
        outage : StoreOutage
            The outage.
        confirmed_ms : float or None
            When the store last confirmed contents to any VM that this one heard.
        """
        was_up = (
            confirmed_ms is not None
            and outage.lost_ms < confirmed_ms < outage.recovered_ms
        )
        if was_up:
            return False
        known = self.outage
        if known and outage.recovered_ms < known.recovered_ms + SAME_OUTAGE_MS:
            return False
        self.outage = outage
        return True

    def ages_ms(self, now_ms: float) -> tuple[float, ...]:
        """Return how long ago the outage began and ended, while it keeps any."""
        if self.outage is None or now_ms > self.until_ms:
            return ()
        return (now_ms - self.outage.lost_ms, now_ms - self.outage.recovered_ms)

    def add_age(self, missed_ms: float) -> None:
        """Add time during which the local clock did not advance."""
        if self.outage is not None:
            self.outage = StoreOutage(
                self.outage.lost_ms - missed_ms, self.outage.recovered_ms - missed_ms
            )
