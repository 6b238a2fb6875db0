"""When a call leaves the data centre, and how many calls may; sans-IO."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._servers import Server

# What traffic between data centres costs, as waiting that callers would accept for it.
PRICE_TARGET_SHARE = 0.1
STAY_AWAY_SHARE = 0.5  # of the price, for a service that leaves already
TOKENS_MAX = 1.0  # calls that a VM may save up
TRAVEL_LIFE_MS = 30_000.0  # after which a longer time replaces the shortest one
NOTICE_INTERVAL_MS = 1000.0  # between notices about one service


@dataclass(frozen=True, slots=True)
class LeavingChange:
    """Notice that a service's calls begin or cease to leave the data centre.

    Parameters
    ----------
    service : str
        Name of the service.
    leaves : bool
        Whether its calls leave from now on.
    home_ms, away_ms : float
        Expected times of the best server here and of the best one elsewhere.
    price_ms : float
        What leaving costs.
    """

    service: str
    leaves: bool
    home_ms: float
    away_ms: float
    price_ms: float


class TravelTimes:
    """Shortest recent time of an exchange with each data centre.

    Examples
    --------
    >>> travel = TravelTimes()
    >>> travel.add('here', 1.0, now_ms=0)
    >>> travel.add('there', 4.0, now_ms=0)
    >>> travel.add('there', 3.0, now_ms=10)
    >>> travel.extra_ms('there', 'here')
    2.0
    """

    def __init__(self) -> None:
        self._shortest: dict[str, tuple[float, float]] = {}

    def add(self, data_centre: str, elapsed_ms: float, now_ms: float) -> None:
        """Add the time of an exchange."""
        known_ms, added_ms = self._shortest.get(data_centre, (math.inf, now_ms))
        if elapsed_ms <= known_ms or now_ms - added_ms > TRAVEL_LIFE_MS:
            self._shortest[data_centre] = (elapsed_ms, now_ms)

    def extra_ms(self, data_centre: str, own: str) -> float:
        """Return how much longer an exchange takes than one at home; 0 if unknown."""
        if data_centre not in self._shortest or own not in self._shortest:
            return 0
        return max(0, self._shortest[data_centre][0] - self._shortest[own][0])


class LeavingPolicy:
    """Weigh the wait at home against the price of leaving the data centre.

    Load: a data centre whose own servers are too few or slow for a while, beside others
    that have room. Only what does not find a server in time at home leaves, as the
    wait at home falls with each call that does. All VMs see the same servers elsewhere,
    so each sends no more than its part of what their slots bear.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry VM.

    Attributes
    ----------
    travel : TravelTimes
        Times of exchanges with other data centres.
    counts : Counter
        Calls that left, and those that were kept at home by the bound.
    on_change : callable
        Receives each ``LeavingChange``; at most one a second for a service.
    """

    def __init__(self, data_centre: str) -> None:
        self.travel = TravelTimes()
        self.counts: Counter[str] = Counter()
        self.on_change: Callable[[LeavingChange], None] = _ignore_change
        self._data_centre = data_centre
        self._away: set[str] = set()
        self._noticed_ms: dict[str, float] = {}
        self._tokens: dict[str, tuple[float, float]] = {}

    def is_home(self, server: Server) -> bool:
        """Return whether a server is in the data centre of this VM."""
        return server.record.data_centre == self._data_centre

    def away_ms(self, server: Server, expected_ms: float) -> float:
        """Return the expected time of a call at a server elsewhere, with the way."""
        place = server.record.data_centre
        return expected_ms + self.travel.extra_ms(place, self._data_centre)

    def leaves(
        self,
        service: str,
        home_ms: float,
        away_ms: float,
        price_ms: float,
        now_ms: float,
    ) -> bool:
        """Return whether a call should leave, as far as time and price go.

        Parameters
        ----------
        service : str
            Service to call.
        home_ms, away_ms : float
            Expected times of the best server here and of the best one elsewhere.
        price_ms : float
            What leaving costs, as waiting time.
        now_ms : float
            Time of this entry VM's monotonic clock.
        """
        is_away = service in self._away
        due_ms = price_ms * STAY_AWAY_SHARE if is_away else price_ms
        pays = away_ms + due_ms < home_ms
        if pays is not is_away:
            self._away.symmetric_difference_update((service,))
            change = LeavingChange(service, pays, home_ms, away_ms, price_ms)
            self._notify(change, now_ms)
        return pays

    def may_send(self, server: Server, sharers: int, now_ms: float) -> bool:
        """Return whether this VM may send one more call to a server elsewhere.

        Parameters
        ----------
        server : Server
            Server in another data centre.
        sharers : int
            Entry VMs that may call it.
        now_ms : float
            Time of this entry VM's monotonic clock.
        """
        slots = max(1, server.record.slots)
        rate = slots / max(1, server.mean_ms) / max(1, sharers)
        tokens, filled_ms = self._tokens.get(server.name, (TOKENS_MAX, now_ms))
        tokens = min(TOKENS_MAX, tokens + rate * (now_ms - filled_ms))
        is_free = server.has_free_slot(now_ms)
        may_send = is_free or tokens >= 1
        self._tokens[server.name] = (tokens - (may_send and not is_free), now_ms)
        self.counts['left' if may_send else 'kept_home'] += 1
        return may_send

    def forget(self, name: str) -> None:
        """Forget a removed server."""
        self._tokens.pop(name, None)

    def _notify(self, change: LeavingChange, now_ms: float) -> None:
        noticed_ms = self._noticed_ms.get(change.service, -NOTICE_INTERVAL_MS)
        if now_ms - noticed_ms >= NOTICE_INTERVAL_MS:
            self._noticed_ms[change.service] = now_ms
            self.on_change(change)


def leaving_price_ms(target_ms: float, median_ms: float) -> float:
    """Return what leaving costs a call: no more than the call itself usually takes.

    Examples
    --------
    >>> leaving_price_ms(target_ms=170, median_ms=20)
    17.0
    >>> leaving_price_ms(target_ms=1500, median_ms=20)
    20
    """
    return min(PRICE_TARGET_SHARE * target_ms, median_ms)


def _ignore_change(change: LeavingChange) -> None:
    """Ignore a change; the default listener."""
