"""Share of a fleet-wide limit that one member may use by itself."""

from collections.abc import Iterable

from cowsliploom.members._members import Member

# A silent member may be partitioned rather than gone, and still use its share.
COUNT_TIMEOUT_MS = 600_000.0


class FleetShare:
    """Divide a limit among all members that may be using it, reachable or not.

    Parameters
    ----------
    own : Member
        This member; it keeps its name when its process restarts.

    Notes
    -----
    The sum over all members stays within the limit, because nothing that a member
    observes of others raises its share. Silent members still count, as they may be
    partitioned or frozen. Groups that have never received records of each other can't
    count each other's members. They divide the limit by the seeds, which all members
    share: each group uses the fraction of the seeds that it has seen.

    Examples
    --------
    >>> share = FleetShare(Member('a', 'a:1', 'de'))
    >>> share.record((Member('b', 'b:1', 'de'), Member('c', 'c:1', 'de')), now_ms=0)
    >>> round(share.bound_fraction(seeds=('a:1', 'b:1')), 2)
    0.33
    >>> round(share.bound_fraction(seeds=('a:1', 'd:1')), 2)
    0.17
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._recorded_ms: dict[str, float] = {}
        self._seen_addresses = {own.address}

    def record(self, members: Iterable[Member], now_ms: float) -> None:
        """Count members, and stop counting those not recorded for too long."""
        for member in members:
            self._recorded_ms[member.name] = now_ms
            self._seen_addresses.add(member.address)
        self._recorded_ms.pop(self._own.name, None)
        self._recorded_ms = {
            name: recorded_ms
            for name, recorded_ms in self._recorded_ms.items()
            if now_ms - recorded_ms <= COUNT_TIMEOUT_MS
        }

    def seed_coverage(self, seeds: Iterable[str]) -> float:
        """Return the fraction of the seeds that was ever seen, from 0 to 1."""
        addresses = set(seeds) or {self._own.address}
        return len(addresses & self._seen_addresses) / len(addresses)

    def counted(self, seeds: Iterable[str]) -> int:
        """Return the number of members that the limit is divided among."""
        others = set(seeds) - {self._own.address}
        return max(len(self._recorded_ms), len(others)) + 1

    def bound_fraction(self, seeds: Iterable[str]) -> float:
        """Return the fraction of the limit that this member may use.

        Parameters
        ----------
        seeds : iterable of str
            Peer addresses that all members are configured with; they may be stale.

        Returns
        -------
        float
            From 0 to 1, without unit.
        """
        return self.seed_coverage(seeds) / self.counted(seeds)
