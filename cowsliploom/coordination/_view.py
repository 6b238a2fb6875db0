"""A member's view of its own data centre."""

import xxhash

from cowsliploom.coordination._applied_mask import (
    AppliedMask,
    newest_mask,
    raise_applied,
)
from cowsliploom.members import Member, MemberUpdate, merge_updates
from cowsliploom.members import rank_names

CONTACT_JOB = 'contact'
RING_SIZE = 1 << 64  # places on a ring are 64-bit hashes
DIGEST_MASK = 0xFFFFFFFF  # a sample's digest is carried often, so it is short


def _live_hash(member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f'{member.name}\n{member.incarnation}'.encode())


def _ring_place(name: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=ring)


def sample_digest(members: tuple[MemberUpdate, ...]) -> int:
    """Sum up a sample: which incarnations of which members are in it."""
    lines = sorted(
        f'{update.member.name} {update.member.incarnation}' for update in members
    )
    return xxhash.xxh3_64_intdigest('\n'.join(lines).encode()) & DIGEST_MASK


class DataCentreView:
    """Hold the strongest update on each member of one data centre.

    Parameters
    ----------
    sample_max : int
        Members that the other data centres know of: those that rank highest.
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
        """Return what is known of a member."""
        return self._records.get(name)

    def merge(self, heard: MemberUpdate) -> MemberUpdate | None:
        """Take an update in.

        Parameters
        ----------
        heard : MemberUpdate
            What was heard.

        Returns
        -------
        MemberUpdate or None
            The new record, or None when the update says nothing new, or nothing
            but a revision: those spread as bit masks.
        """
        name = heard.member.name
        known = self._records.get(name)
        merged = heard if known is None else merge_updates(known, heard)
        if merged == known or (known is None and not heard.is_live):
            return None
        self._records[name] = merged
        if known is not None and known.state is merged.state:
            self._applied_mask = None
            if known.member == merged.member:
                return None
        self._count(name, merged)
        return merged

    def forget(self, name: str) -> None:
        """Drop the record of a member."""
        if self._records.pop(name, None) is not None:
            self._count(name, None)

    def records(self) -> tuple[MemberUpdate, ...]:
        """Return all records, the dead ones as well."""
        return tuple(self._records.values())

    def live(self) -> tuple[Member, ...]:
        """Return the live members; a suspect counts."""
        return tuple(self._live.values())

    def applied(self) -> AppliedMask:
        """Return which live members have the newest revision in force."""
        if self._applied_mask is None:
            self._applied_mask = newest_mask(self._ordered())
        return self._applied_mask

    def raise_applied(self, heard: AppliedMask) -> None:
        """Take in who has a revision in force; the digests must be equal."""
        known = self.applied()
        if heard.revision < known.revision or heard == known:
            return
        ordered = self._ordered()
        for before, after in zip(ordered, raise_applied(ordered, heard), strict=True):
            if before is not after:
                self._records[after.member.name] = after
        self._applied_mask = None

    def sample(self) -> tuple[MemberUpdate, ...]:
        """Return the live records that the other data centres keep."""
        if self._rank_cache[0] != self.version:
            ranked = rank_names(CONTACT_JOB, self._live, self.sample_max)
            self._rank_cache = (self.version, ranked)
        return tuple(self._records[name] for name in self._rank_cache[1])

    def ring_successors(self, name: str, rings: int) -> tuple[Member, ...]:
        """Return the next live member on each of several pseudo-random rings.

        Parameters
        ----------
        name : str
            Member whose successors are wanted.
        rings : int
            Number of rings.

        Returns
        -------
        tuple of Member
            Different members, at most one for each ring.

        Notes
        -----
        Each member has one successor and one predecessor on each ring, so it is
        watched by as many members as there are rings and holds few connections,
        whatever the size of the fleet. The union of the rings is an expander,
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

    def _count(self, name: str, after: MemberUpdate | None) -> None:
        """Keep the digest and the version in step with the live members."""
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
    start = _ring_place(name, ring)
    distances = (
        ((_ring_place(other, ring) - start) % RING_SIZE, other) for other in names
    )
    return min(distances)[1]
