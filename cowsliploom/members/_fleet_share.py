"""The share of a bound on the whole fleet that one member may use by itself."""

from collections.abc import Iterable

from cowsliploom.members._members import Member

COUNTED_MS = 600_000.0  # silent members may be cut off, not gone, and use their share


class FleetShare:
    """Divide a bound among all members that may be using it, seen or not.

    Parameters
    ----------
    own : Member
        This member; it keeps its name when its process starts again.

    Notes
    -----
    The sum over all members keeps the bound because nothing that a member sees others
    do raises its share. A silent member is counted on, as it may be cut off or frozen.
    Groups that have never heard of each other can't count each other. They divide the
    bound by the seeds, which all have in common: each group uses the part of the seeds
    that it has heard of.

    Examples
    --------
    >>> share = FleetShare(Member('a', 'a:1', 'de'))
    >>> share.hear((Member('b', 'b:1', 'de'), Member('c', 'c:1', 'de')), now_ms=0)
    >>> round(share.of_bound(seeds=('a:1', 'b:1')), 2)
    0.33
    >>> round(share.of_bound(seeds=('a:1', 'd:1')), 2)
    0.17
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._heard_ms: dict[str, float] = {}
        self._met = {own.address}

    def record(self, members: Iterable[Member], now_ms: float) -> None:
        """Count members that are spoken of."""
        for member in members:
            self._heard_ms[member.name] = now_ms
            self._met.add(member.address)
        self._heard_ms.pop(self._own.name, None)
        self._heard_ms = {
            name: heard_ms
            for name, heard_ms in self._heard_ms.items()
            if now_ms - heard_ms <= COUNTED_MS
        }

    def seed_coverage(self, seeds: Iterable[str]) -> float:
        """Return the part of the seeds that was heard of, from 0 to 1."""
        addresses = set(seeds) or {self._own.address}
        return len(addresses & self._met) / len(addresses)

    def counted(self, seeds: Iterable[str]) -> int:
        """Return how many members the bound is divided among."""
        others = set(seeds) - {self._own.address}
        return max(len(self._heard_ms), len(others)) + 1

    def bound_fraction(self, seeds: Iterable[str]) -> float:
        """Return the share of the bound that this member may use.

        Parameters
        ----------
        seeds : iterable of str
            Peer addresses that all members are given; they may be stale.

        Returns
        -------
        float
            From 0 to 1, without unit.
        """
        return self.seed_coverage(seeds) / self.counted(seeds)
