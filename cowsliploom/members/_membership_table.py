"""Gossip membership: members find each other from a few seed addresses."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from cowsliploom.members._member_ages import MemberAges, fingerprint
from cowsliploom.members._members import Member
from cowsliploom.members._rendezvous import rank_names

LIVE_TIMEOUT_MS = 4000.0  # silence after which a member no longer counts as live
EXPIRY_MS = 20_000.0  # silence after which a member is no longer gossiped about
SEED_SHARE = 0.1  # of all exchanges go to a seed
OWN_DATA_CENTRE_SHARE = 0.75  # of the others; the rest go to any live member


@dataclass(frozen=True, slots=True)
class LivenessRecord:
    """Time since a member was last known to be alive.

    Parameters
    ----------
    member : Member
        Member that the record is about.
    age_ms : float
        Time since the member itself sent a message.
    """

    member: Member
    age_ms: float


@dataclass(frozen=True, slots=True)
class Census:
    """Ages of all liveness records, without the members that they are about.

    Parameters
    ----------
    digest : int
        Digest of the member list; equal digests mean equal lists.
    ages_ms : tuple of int
        Time since each member sent a message, in the order of the names.
    """

    digest: int
    ages_ms: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Roster:
    """Sorted names of the members, and a digest of the member list."""

    names: tuple[str, ...]
    digest: int


def make_roster(members: Iterable[Member]) -> Roster:
    """Return the roster of the members."""
    known = sorted((one.name, one.address, one.data_centre) for one in members)
    text = '\n'.join('\t'.join(fields) for fields in known)
    names = tuple(fields[0] for fields in known)
    return Roster(names, xxhash.xxh3_64_intdigest(text.encode()))


class MembershipTable:
    """Members that were alive recently, from direct exchanges and from gossip.

    Parameters
    ----------
    own : Member
        Member of this daemon.
    seeds : tuple of str
        Addresses to contact first; they may be stale.
    seed : int
        Seed of the generator that picks gossip partners.

    Examples
    --------
    >>> own = Member('a', '10.0.0.1:1', 'de')
    >>> table = MembershipTable(own, seeds=('10.0.0.2:1',), seed=1)
    >>> table.partner(now_ms=0)
    '10.0.0.2:1'
    >>> other = Member('b', '10.0.0.2:1', 'de', incarnation=5)
    >>> table.record((LivenessRecord(other, age_ms=0),), now_ms=0)
    ('b',)
    >>> table.live_names(now_ms=5000)
    ('a',)
    """

    def __init__(self, own: Member, seeds: tuple[str, ...], seed: int) -> None:
        self.own = own
        self.seeds = seeds
        self.has_seen_peer = False
        self.heard_ms = float('-inf')  # last message that a member sent to this VM
        self._random = random.Random(seed)
        self._last_seen_ms: dict[str, float] = {}
        self._members: dict[str, Member] = {}
        self._roster: Roster | None = None
        self._own_fingerprint = fingerprint(own)
        self._fingerprints: dict[int, str] = {}

    def record(
        self, records: Iterable[LivenessRecord], now_ms: float
    ) -> tuple[str, ...]:
        """Apply liveness records and return the names of new members."""
        fresh = []
        for received in records:
            member = received.member
            if member.name == self.own.name or received.age_ms > EXPIRY_MS:
                continue
            self.has_seen_peer = True
            if self._update(member, now_ms - received.age_ms):
                fresh.append(member.name)
        return tuple(fresh)

    def record_ages(self, census: Census, now_ms: float) -> bool:
        """Apply the ages of a census; False if its member list differs."""
        roster = self._current_roster(now_ms)
        if census.digest != roster.digest or len(census.ages_ms) != len(roster.names):
            return False
        for name, age_ms in zip(roster.names, census.ages_ms):
            if name != self.own.name:
                self._last_seen_ms[name] = max(
                    self._last_seen_ms[name], now_ms - age_ms
                )
        return True

    def record_member_ages(self, ages: MemberAges, now_ms: float) -> None:
        """Apply the ages of those members that are known here."""
        for key, age_ms in ages.ages_ms.items():
            name = self._fingerprints.get(key)
            if name is not None:
                seen_ms = now_ms - age_ms
                self._last_seen_ms[name] = max(self._last_seen_ms[name], seen_ms)

    def remove(self, name: str) -> None:
        """Remove a member that is leaving or has expired."""
        self._last_seen_ms.pop(name, None)
        member = self._members.pop(name, None)
        if member is not None:
            self._fingerprints.pop(fingerprint(member), None)
        self._roster = None

    def liveness_records(self, now_ms: float) -> tuple[LivenessRecord, ...]:
        """Return the liveness records of all members, this daemon included."""
        self._expire(now_ms)
        others = (
            LivenessRecord(member, now_ms - self._last_seen_ms[name])
            for name, member in self._members.items()
        )
        return (LivenessRecord(self.own, 0), *others)

    def member_ages(self, now_ms: float) -> MemberAges:
        """Return the ages of all members, this daemon included, by fingerprint."""
        self._expire(now_ms)
        ages_ms = {
            key: now_ms - self._last_seen_ms[name]
            for key, name in self._fingerprints.items()
        }
        return MemberAges({**ages_ms, self._own_fingerprint: 0})

    def records_missing_in(
        self, ages: MemberAges, now_ms: float
    ) -> tuple[LivenessRecord, ...]:
        """Return the records of the members that a peer with these ages lacks."""
        self._expire(now_ms)
        missing = (
            self._fingerprints[key] for key in self._fingerprints.keys() - ages.ages_ms
        )
        records = tuple(
            LivenessRecord(self._members[name], now_ms - self._last_seen_ms[name])
            for name in sorted(missing)
        )
        if self._own_fingerprint in ages.ages_ms:
            return records
        return (LivenessRecord(self.own, 0), *records)

    def lacks_any_of(self, ages: MemberAges, now_ms: float) -> bool:
        """Return whether a peer with these ages knows a member that is unknown here."""
        self._expire(now_ms)
        return bool(ages.ages_ms.keys() - self._fingerprints - {self._own_fingerprint})

    def census(self, now_ms: float) -> Census:
        """Return the ages alone, for a partner with the same member list."""
        roster = self._current_roster(now_ms)
        return Census(
            roster.digest,
            tuple(
                round(now_ms - self._last_seen_ms.get(name, now_ms))
                for name in roster.names
            ),
        )

    def live(self, now_ms: float) -> tuple[Member, ...]:
        """Return the live members, this daemon included."""
        others = (
            member
            for name, member in self._members.items()
            if now_ms - self._last_seen_ms[name] <= LIVE_TIMEOUT_MS
        )
        return (self.own, *others)

    def tracked_peers(self) -> list[Member]:
        """Return the other members, live or silent, that have not expired."""
        return list(self._members.values())

    def live_names(self, now_ms: float) -> tuple[str, ...]:
        """Return the names of the live members."""
        return tuple(member.name for member in self.live(now_ms))

    def rank_live(self, job: str, now_ms: float, count: int) -> tuple[str, ...]:
        """Return the names of the live members that rank highest for a job."""
        return rank_names(job, self.live_names(now_ms), count)

    def partner(self, now_ms: float) -> str | None:
        """Return the address for the next gossip exchange, or None.

        Notes
        -----
        Seeds are contacted while no other member is live, and occasionally after that,
        so that two groups that lost contact with each other merge again.
        """
        others = [member for member in self.live(now_ms) if member is not self.own]
        seeds = [seed for seed in self.seeds if seed != self.own.address]
        if seeds and (not others or self._random.random() < SEED_SHARE):
            return self._random.choice(seeds)
        near = [
            member for member in others if member.data_centre == self.own.data_centre
        ]
        if near and self._random.random() < OWN_DATA_CENTRE_SHARE:
            return self._random.choice(near).address
        return self._random.choice(others).address if others else None

    def _update(self, member: Member, seen_ms: float) -> bool:
        """Keep the latest record; return whether the member is new.

        The incarnation doesn't decide, as a restarted member may have a lower one.
        """
        known = self._members.get(member.name)
        latest_ms = self._last_seen_ms.get(member.name, seen_ms)
        self._last_seen_ms[member.name] = max(seen_ms, latest_ms)
        if known != member and seen_ms >= latest_ms:
            if known is not None:
                self._fingerprints.pop(fingerprint(known), None)
            self._members[member.name] = member
            self._fingerprints[fingerprint(member)] = member.name
            self._roster = None
        return known is None

    def _current_roster(self, now_ms: float) -> Roster:
        self._expire(now_ms)
        if self._roster is None:
            members = {**self._members, self.own.name: self.own}
            self._roster = make_roster(members.values())
        return self._roster

    def _expire(self, now_ms: float) -> None:
        expired = [
            name
            for name, seen_ms in self._last_seen_ms.items()
            if now_ms - seen_ms > EXPIRY_MS
        ]
        for name in expired:
            self.remove(name)
