"""View of the local data centre."""

import xxhash

from cowsliploom.coordination._applied_mask import (
    AppliedMask,
    newest_mask,
    raise_applied,
)
from cowsliploom.members import Member, MemberUpdate, merge_updates, rank_names

CONTACT_JOB = 'contact'
RING_SIZE = 1 << 64  # positions on a ring are 64-bit hashes
DIGEST_MASK = 0xFFFFFFFF  # 32 bits: sample digests are sent often


def _live_hash(member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f'{member.name}\n{member.incarnation}'.encode())


def _ring_position(name: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=ring)


def sample_digest(members: tuple[MemberUpdate, ...]) -> int:
    """Return the digest of the names and incarnations in a sample."""
    lines = sorted(
        f'{update.member.name} {update.member.incarnation}' for update in members
    )
    return xxhash.xxh3_64_intdigest('\n'.join(lines).encode()) & DIGEST_MASK


class DataCentreView:
    """Hold the latest state of each member of one data centre.

    Parameters
    ----------
    sample_max : int
        Size of the sample held by other data centres: the highest-ranking members.
    """

    def __init__(self, sample_max: int) -> None:
        self.sample_max = sample_max
        self.digest = 0
        self.version = 0
        self._records: dict[str, MemberUpdate] = {}
        self._live: dict[str, Member] = {}
        self._ring_cache: tuple[int, tuple[Member, ...]] = (-1, ())
        self._rank_cache: tuple[int, tuple[str, ...]] = (-1, ())
        self._order_cache: tuple[int, tuple[str, ...]] = (-1, ())
        self._applied_mask: AppliedMask | None = None

    def __len__(self) -> int:
        """Return the number of live members."""
        return len(self._live)

    def find(self, name: str) -> MemberUpdate | None:
        """Return the record of a member."""
        return self._records.get(name)

    def merge(self, received: MemberUpdate) -> MemberUpdate | None:
        """Merge an update into the record of its member.

        Parameters
        ----------
        received : MemberUpdate
            Received update.

        Returns
        -------
        MemberUpdate or None
            The new record, or None if nothing changed or only the revision did,
            as revisions are gossiped as bit masks.
        """
        name = received.member.name
        known = self._records.get(name)
        merged = received if known is None else merge_updates(known, received)
        if merged == known or (known is None and not received.is_live):
            return None
        self._records[name] = merged
        if known is not None and known.state is merged.state:
            self._applied_mask = None
            if known.member == merged.member:
                return None
        self._update_live(name, merged)
        return merged

    def forget(self, name: str) -> None:
        """Remove the record of a member."""
        if self._records.pop(name, None) is not None:
            self._update_live(name, None)

    def records(self) -> tuple[MemberUpdate, ...]:
        """Return all records, including those of dead members."""
        return tuple(self._records.values())

    def live(self) -> tuple[Member, ...]:
        """Return the live members, including suspects."""
        return tuple(self._live.values())

    def applied(self) -> AppliedMask:
        """Return which live members have the newest revision in force."""
        if self._applied_mask is None:
            self._applied_mask = newest_mask(self._ordered())
        return self._applied_mask

    def raise_applied(self, received: AppliedMask) -> None:
        """Merge the members with a revision in force; requires equal digests."""
        known = self.applied()
        if received.revision < known.revision or received == known:
            return
        ordered = self._ordered()
        for before, after in zip(
            ordered, raise_applied(ordered, received), strict=True
        ):
            if before is not after:
                self._records[after.member.name] = after
        self._applied_mask = None

    def sample(self) -> tuple[MemberUpdate, ...]:
        """Return the live records that form the sample for other data centres."""
        if self._rank_cache[0] != self.version:
            ranked = rank_names(CONTACT_JOB, self._live, self.sample_max)
            self._rank_cache = (self.version, ranked)
        return tuple(self._records[name] for name in self._rank_cache[1])

    def ring_successors(self, name: str, rings: int) -> tuple[Member, ...]:
        """Return the next live member on each of several pseudo-random rings.

        Parameters
        ----------
        name : str
            Member whose successors are returned.
        rings : int
            Number of rings.

        Returns
        -------
        tuple of Member
            Distinct members, at most one per ring.

        Notes
        -----
        Each member has one successor and one predecessor on each ring, so it is
        monitored by as many members as there are rings and holds few connections,
        independent of the fleet size. The union of the rings is an expander graph,
        on which updates spread in a logarithmic number of rounds.

        References
        ----------
        L. Suresh et al., "Stable and Consistent Membership at Scale with Rapid",
        USENIX ATC 2018.
        """
        if self._ring_cache[0] != self.version:
            chosen = self._find_successors(name, rings)
            self._ring_cache = (self.version, chosen)
        return self._ring_cache[1]

    def _ordered(self) -> tuple[MemberUpdate, ...]:
        if self._order_cache[0] != self.version:
            self._order_cache = (self.version, tuple(sorted(self._live)))
        return tuple(self._records[name] for name in self._order_cache[1])

    def _find_successors(self, name: str, rings: int) -> tuple[Member, ...]:
        names = [other for other in self._live if other != name]
        if len(names) > rings:
            nearest = [_next_on_ring(name, names, ring) for ring in range(rings)]
            names = list(dict.fromkeys(nearest))
        return tuple(self._live[other] for other in names)

    def _update_live(self, name: str, after: MemberUpdate | None) -> None:
        """Update the live members, and the digest and the version with them."""
        old = self._live.pop(name, None)
        new = after.member if after is not None and after.is_live else None
        if new is not None:
            self._live[name] = new
        if old == new:
            return
        self.version += 1
        self._applied_mask = None
        for member in (old, new):
            if member is not None:
                self.digest ^= _live_hash(member)


def _next_on_ring(name: str, names: list[str], ring: int) -> str:
    start = _ring_position(name, ring)
    distances = (
        ((_ring_position(other, ring) - start) % RING_SIZE, other) for other in names
    )
    return min(distances)[1]
