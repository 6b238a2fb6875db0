"""Adaptive concurrency limit of this entry VM for one backend server."""

from dataclasses import dataclass

LIMIT_MIN = 0.05  # a limit below 1 paces calls; a lower one would end all calls
DECREASE_RATIO = 0.7  # a few sheds halve it; one may be a burst of other VMs
SLOW_DECREASE_RATIO = 0.85  # slowness is weaker evidence of overload than a shed
GROWTH = 0.1  # one more call takes at least ten successes
BORROW_GROWTH = 0.005  # slow growth into slots that other entry VMs leave idle
FRACTION_MIN = 0.04  # pacing by a smaller fraction would exceed any deadline


@dataclass(frozen=True, slots=True)
class Limiter:
    """Adaptive concurrency limit for one backend server.

    Parameters
    ----------
    limit : float
        Maximum calls in flight; a fractional part is realised by pacing.
    lowered_ms : float
        Time of the last decrease; calls sent before it cause no further one.
    """

    limit: float
    lowered_ms: float = 0

    def allows(self, in_flight: int, since_sent_ms: float, typical_ms: float) -> bool:
        """Return whether one more call may be sent.

        Parameters
        ----------
        in_flight : int
            Calls in flight from this entry VM to the server.
        since_sent_ms : float
            Time since the last call was sent, in milliseconds.
        typical_ms : float
            Median latency of the service, in milliseconds.
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
        Calls that the server processes concurrently, and may queue beyond these.
    entries : int
        Live entry VMs that share the server.

    Returns
    -------
    float
        Calls in flight; below 1 if entry VMs outnumber slots and allowance.
    """
    return (slots + queue_allowance) / max(1, entries)


def raise_limit(limiter: Limiter, share: float, ceiling: float) -> Limiter:
    """Return the limiter after a success, with a limit raised up to the ceiling.

    Notes
    -----
    Above the fair share the limit grows 20 times slower: slots that other entry
    VMs leave idle are used with care, and released at the first sign of overload.
    """
    limit = limiter.limit
    if limit >= ceiling:
        return limiter
    growth = BORROW_GROWTH if limit >= share else GROWTH
    return Limiter(min(ceiling, limit + growth / max(1, limit)), limiter.lowered_ms)


def lower_limit(
    limiter: Limiter, sent_ms: float, now_ms: float, ratio: float = DECREASE_RATIO
) -> Limiter:
    """Return the limiter after a sign of overload, with a lower limit.

    Notes
    -----
    Calls of one burst are refused together, so only the first refusal counts.
    """
    if sent_ms <= limiter.lowered_ms:
        return limiter
    return Limiter(max(LIMIT_MIN, limiter.limit * ratio), now_ms)


def cap_limit(limiter: Limiter, ceiling: float) -> Limiter:
    """Return the limiter with its limit capped at a ceiling."""
    if limiter.limit <= ceiling:
        return limiter
    return Limiter(ceiling, limiter.lowered_ms)


def connection_share(connections_max: int, headroom_ratio: float, entries: int) -> int:
    """Return how many connections one entry VM may open to a server.

    Parameters
    ----------
    connections_max : int
        Open connections that the server accepts.
    headroom_ratio : float
        Part reserved for silent connections.
    entries : int
        Live entry VMs that share the server.

    Notes
    -----
    One additional share stays free for a new VM that connects before the others
    have learnt that it replaces one of them.

    Examples
    --------
    >>> connection_share(connections_max=25, headroom_ratio=0.1, entries=8)
    2
    """
    usable = connections_max * (1 - headroom_ratio)
    return max(1, int(usable / (max(1, entries) + 1)))
