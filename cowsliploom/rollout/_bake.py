"""Bake time of the full share: how long it must be judged before a move finishes."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

FULL_SHARE = 1.0
BAKE_MS = 1000.0  # in which a veto is found, reaches the others and is stored
FIRST_CALLS_MS = 250.0  # calls sent this soon after the full share must have ended
TICK_GAP_MAX_MS = 500.0  # of a longer gap between ticks the rest was missed
REPORT_LIFE_MS = 2000.0  # a daemon that reports no more may know of a veto
REPORT_LIFE_INTERVALS = 3
NEVER_MS = -math.inf


@dataclass(slots=True)
class BakeClock:
    """Measure for how long this daemon has judged a new version at the full share.

    Only time in which the daemon ran counts. The calls that it sent first must have
    ended, so that at least these are in its evidence.

    Examples
    --------
    >>> clock = BakeClock()
    >>> for now_ms in range(0, 1300, 100):
    ...     clock.tick(now_ms, share=1.0)
    >>> clock.is_baked
    True
    >>> clock.tick(1300, share=1.0, open_calls_ms=[120])
    >>> clock.is_baked
    False
    """

    since_ms: float = math.inf
    _baked_ms: float = 0
    _ticked_ms: float = math.inf
    _is_first_call_open: bool = False

    @property
    def is_baked(self) -> bool:
        """Whether the full share was judged for long enough."""
        return self._baked_ms >= BAKE_MS and not self._is_first_call_open

    def tick(
        self, now_ms: float, share: float, open_calls_ms: Iterable[float] = ()
    ) -> None:
        """Advance the time.

        Parameters
        ----------
        now_ms : float
            Monotonic time.
        share : float
            Share of the new version in force here.
        open_calls_ms : iterable of float
            When the open calls of the new version were sent.
        """
        if share < FULL_SHARE:
            self.since_ms = math.inf
            self._baked_ms = 0
            return
        if self.since_ms > now_ms:
            self.since_ms = now_ms
        else:
            self._baked_ms += min(now_ms - self._ticked_ms, TICK_GAP_MAX_MS)
        self._ticked_ms = now_ms
        first_until_ms = self.since_ms + FIRST_CALLS_MS
        self._is_first_call_open = any(
            self.since_ms <= sent_ms < first_until_ms for sent_ms in open_calls_ms
        )


class BakeReports:
    """Keep when each daemon last reported that it has judged the full share.

    A report counts once the evidence that came with it has been tested.

    Examples
    --------
    >>> reports = BakeReports()
    >>> reports.receive('a', now_ms=100)
    >>> reports.baked_ms(['a']), reports.missing(['a'])
    (-inf, ('a',))
    >>> reports.accept()
    >>> reports.baked_ms(['a']), reports.baked_ms(['a', 'b'])
    (100, -inf)
    """

    def __init__(self) -> None:
        self._received: dict[str, float] = {}
        self._accepted: dict[str, float] = {}

    def receive(self, daemon: str, now_ms: float) -> None:
        """Record a report whose evidence is still to be tested."""
        self._received[daemon] = now_ms

    def accept(self) -> None:
        """Record that the evidence received so far has been tested."""
        self._accepted.update(self._received)
        self._received.clear()

    def baked_ms(self, members: Iterable[str]) -> float:
        """Return the time of the oldest of the members' latest reports.

        Returns
        -------
        float
            Monotonic time in milliseconds; minus infinity if a report is missing.
        """
        return min(
            (self._accepted.get(name, NEVER_MS) for name in members), default=NEVER_MS
        )

    def missing(
        self, members: Iterable[str], since_ms: float = NEVER_MS
    ) -> tuple[str, ...]:
        """Return the members without a report since some time, sorted."""
        return tuple(
            sorted(
                name
                for name in members
                if self._accepted.get(name, NEVER_MS) <= since_ms
            )
        )


def report_life_ms(interval_ms: float) -> float:
    """Return for how long a report counts if it is repeated at an interval."""
    return max(REPORT_LIFE_MS, REPORT_LIFE_INTERVALS * interval_ms)


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a daemon knows of the fleet at a tick.

    Parameters
    ----------
    members : frozenset of str
        Live daemons, this one included; empty if there are no others.
    open_calls_ms : mapping of str to tuple of float
        When the open calls of each service's new version were sent, by service.
    """

    members: frozenset[str]
    open_calls_ms: Mapping[str, tuple[float, ...]]


ALONE = FleetView(frozenset(), {})
