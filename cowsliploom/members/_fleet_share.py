"""The share of a bound on the whole fleet that one member may use by itself."""

from collections.abc import Iterable

DIVIDED = 0.4  # of the bound; two groups that are cut from each other use it twice
DIVIDED_ANEW = 0.1  # among processes that have just started; they may do so often
COUNTED_MS = 600_000.0  # silent members may be cut off, not gone, and use their share


class FleetShare:
    """Divide a bound among all members that may be using it, seen or not.

    Parameters
    ----------
    own_name : str
        This member; it keeps its name when its process starts again.
    started_ms : float
        When the process started, by its steady clock.

    Notes
    -----
    The sum over all members keeps the bound because nothing that a member sees others
    do raises its share. A silent member is counted on, as it may be cut off or frozen.
    A process that starts uses little until what its predecessor has used no longer
    counts; by then all members that it reaches count it. The sum keeps the bound if
    all start up to six times within ``memory_ms``, or in two groups that have never
    heard of each other and start twice.

    Examples
    --------
    >>> share = FleetShare('a', started_ms=0)
    >>> share.hear(('b', 'c', 'd', 'e'), now_ms=1000)
    >>> share.of_bound(now_ms=2000, memory_ms=10_000)
    0.02
    >>> share.of_bound(now_ms=10_000, memory_ms=10_000)
    0.08
    """

    def __init__(self, own_name: str, started_ms: float) -> None:
        self._own_name = own_name
        self._started_ms = started_ms
        self._heard_ms: dict[str, float] = {}

    def hear(self, names: Iterable[str], now_ms: float) -> None:
        """Count members that are spoken of."""
        self._heard_ms.update((name, now_ms) for name in names)
        self._heard_ms.pop(self._own_name, None)
        self._heard_ms = {
            name: heard_ms
            for name, heard_ms in self._heard_ms.items()
            if now_ms - heard_ms <= COUNTED_MS
        }

    def counted(self, others_min: int = 0) -> int:
        """Return how many members the bound is divided among."""
        return max(len(self._heard_ms), others_min) + 1

    def of_bound(self, now_ms: float, memory_ms: float, others_min: int = 1) -> float:
        """Return the share of the bound that this member may use now.

        Parameters
        ----------
        now_ms : float
            Time by the own steady clock.
        memory_ms : float
            How long use counts towards the bound.
        others_min : int
            Other members that there may be though none was heard of.

        Returns
        -------
        float
            From 0 to 1, without unit. 0 while none of the others was heard of.
        """
        if others_min and not self._heard_ms:
            return 0
        is_new = now_ms - self._started_ms < memory_ms
        divided = DIVIDED_ANEW if is_new else DIVIDED
        return divided / self.counted(others_min)
