"""Limit of calls in flight from this entry VM to one backend server."""

from dataclasses import dataclass

LIMIT_MIN = 0.05  # below one the limit paces; a lower one would never test again
FALL_RATIO = 0.7  # a few sheds halve the limit; one may be another's burst
SLOW_FALL_RATIO = 0.85  # slowness is a weaker sign than a shed
GROWTH = 0.1  # a whole call more takes at least ten successes
BORROW_GROWTH = 0.005  # slots that other entry VMs leave idle are borrowed slowly
FRACTION_MIN = 0.04  # smaller fractions would pace beyond any deadline


@dataclass(frozen=True, slots=True)
class Limiter:
    """Hold the adaptive limit for one backend server.

    Parameters
    ----------
    limit : float
        Calls in flight; a fraction is served by pacing.
    fell_ms : float
        Time of the last fall; calls sent before it bring no further fall.
    """

    limit: float
    fell_ms: float = 0

    def allows(self, in_flight: int, since_sent_ms: float, typical_ms: float) -> bool:
        """Tell whether one more call may be sent.

        Parameters
        ----------
        in_flight : int
            Calls now at the server from this entry VM.
        since_sent_ms : float
            Time since the last call was sent, in milliseconds.
        typical_ms : float
            Typical latency of the service, in milliseconds.
        """
        whole = int(self.limit)
        if in_flight < whole:
            return True
        fraction = self.limit - whole
        if in_flight > whole or fraction < FRACTION_MIN:
            return False
        return since_sent_ms * fraction >= typical_ms * (1 - fraction)


def fair_share(slots: int, queue_allowance: int, entries: int) -> float:
    """Return one entry VM's share of a server's slots and short queue.

    Parameters
    ----------
    slots, queue_allowance : int
        Calls that the server works on at once, and may hold beyond these.
    entries : int
        Live entry VMs that share the server.

    Returns
    -------
    float
        Calls in flight; below one where there are more entry VMs than slots.
    """
    return (slots + queue_allowance) / max(1, entries)


def grow(limiter: Limiter, share: float, ceiling: float) -> Limiter:
    """Return the limiter after a success: a little higher, up to the ceiling.

    Notes
    -----
    Beyond the fair share it grows twenty times slower: what others leave idle is
    borrowed carefully, and given back at the first sign of overload.
    """
    limit = limiter.limit
    if limit >= ceiling:
        return limiter
    growth = BORROW_GROWTH if limit >= share else GROWTH
    return Limiter(min(ceiling, limit + growth / max(1, limit)), limiter.fell_ms)


def fall(
    limiter: Limiter, sent_ms: float, now_ms: float, ratio: float = FALL_RATIO
) -> Limiter:
    """Return the limiter after a sign of overload: lower at once.

    Notes
    -----
    Calls of one burst are refused together; only the first of them counts.
    """
    if sent_ms <= limiter.fell_ms:
        return limiter
    return Limiter(max(LIMIT_MIN, limiter.limit * ratio), now_ms)


def narrow(limiter: Limiter, ceiling: float) -> Limiter:
    """Return the limiter held to a lower ceiling."""
    if limiter.limit <= ceiling:
        return limiter
    return Limiter(ceiling, limiter.fell_ms)


def connection_share(connections_max: int, headroom_ratio: float, entries: int) -> int:
    """Return the connections that one entry VM may open to a server.

    Parameters
    ----------
    connections_max : int
        Open connections that the server accepts.
    headroom_ratio : float
        Part left for connections that have gone silent.
    entries : int
        Live entry VMs that share the server.

    Notes
    -----
    One share more than there are entry VMs is left free, for a VM that replaces
    another before either has learnt of it.

    Examples
    --------
    >>> connection_share(connections_max=25, headroom_ratio=0.1, entries=8)
    2
    """
    usable = connections_max * (1 - headroom_ratio)
    return max(1, int(usable / (max(1, entries) + 1)))
