"""Members that find each other from a few seed addresses, by hearsay with ages."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from cowsliploom.members._members import Member
from cowsliploom.members._rendezvous import rank_names

LIVE_MS = 4000.0  # silence after which a member no longer counts
FORGET_MS = 20_000.0  # silence after which nobody speaks of a member any more
SEED_SHARE = 0.1  # of all exchanges go to a seed
OWN_DATA_CENTRE_SHARE = 0.75  # of all exchanges; the rest cross to another one


@dataclass(frozen=True, slots=True)
class LivenessRecord:
    """Tell when a member was last known to be alive.

    Parameters
    ----------
    member : Member
        Whom it is about.
    age_ms : float
        Time since the member itself spoke.
    """

    member: Member
    age_ms: float


@dataclass(frozen=True, slots=True)
class Census:
    """Tell the ages of all sightings without naming the members.

    Parameters
    ----------
    digest : int
        Digest of the members; who has the same one knows the same members.
    ages_ms : tuple of int
        Time since each member spoke, in the order of the names.
    """

    digest: int
    ages_ms: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Roster:
    """Hold the names of the members in order, and a digest of who they are."""

    names: tuple[str, ...]
    digest: int


def make_roster(members: Iterable[Member]) -> Roster:
    """Return the roster of some members."""
    known = sorted((one.name, one.address, one.data_centre) for one in members)
    text = '\n'.join('\t'.join(fields) for fields in known)
    names = tuple(fields[0] for fields in known)
    return Roster(names, xxhash.xxh3_64_intdigest(text.encode()))


class MembershipTable:
    """Hold who has been alive lately, by own exchanges and by hearsay.

    Parameters
    ----------
    own : Member
        This daemon.
    seeds : tuple of str
        Addresses to begin with; they may be stale.
    seed : int
        Seed of the generator that picks partners.

    Examples
    --------
    >>> own = Member('a', '10.0.0.1:1', 'de')
    >>> known = MembershipTable(own, seeds=('10.0.0.2:1',), seed=1)
    >>> known.partner(now_ms=0)
    '10.0.0.2:1'
    >>> other = Member('b', '10.0.0.2:1', 'de', incarnation=5)
    >>> known.hear((LivenessRecord(other, age_ms=0),), now_ms=0)
    ('b',)
    >>> known.live_names(now_ms=5000)
    ('a',)
    """

    def __init__(self, own: Member, seeds: tuple[str, ...], seed: int) -> None:
        self.own = own
        self.seeds = seeds
        self.has_seen_peer = False
        self._random = random.Random(seed)
        self._seen_ms: dict[str, float] = {}
        self._members: dict[str, Member] = {}
        self._roster: Roster | None = None

    def record(
        self, sightings: Iterable[LivenessRecord], now_ms: float
    ) -> tuple[str, ...]:
        """Take sightings and return the names that are new."""
        fresh = []
        for sighting in sightings:
            member = sighting.member
            if member.name == self.own.name or sighting.age_ms > FORGET_MS:
                continue
            self.has_seen_peer = True
            if self._take(member, now_ms - sighting.age_ms):
                fresh.append(member.name)
        return tuple(fresh)

    def record_ages(self, census: Census, now_ms: float) -> bool:
        """Take the ages of a census; tell whether it is of the same members."""
        roster = self._current_roster(now_ms)
        if census.digest != roster.digest or len(census.ages_ms) != len(roster.names):
            return False
        for name, age_ms in zip(roster.names, census.ages_ms):
            if name != self.own.name:
                self._seen_ms[name] = max(self._seen_ms[name], now_ms - age_ms)
        return True

    def remove(self, name: str) -> None:
        """Forget a member that has said that it leaves."""
        self._seen_ms.pop(name, None)
        self._members.pop(name, None)
        self._roster = None

    def sightings(self, now_ms: float) -> tuple[LivenessRecord, ...]:
        """Return all that is known of the members, this daemon included."""
        self._forget(now_ms)
        others = (
            LivenessRecord(member, now_ms - self._seen_ms[name])
            for name, member in self._members.items()
        )
        return (LivenessRecord(self.own, 0), *others)

    def census(self, now_ms: float) -> Census:
        """Return the ages of all sightings, for a partner that knows the members."""
        roster = self._current_roster(now_ms)
        return Census(
            roster.digest,
            tuple(
                round(now_ms - self._seen_ms.get(name, now_ms)) for name in roster.names
            ),
        )

    def live(self, now_ms: float) -> tuple[Member, ...]:
        """Return the members that were alive lately, this daemon included."""
        others = (
            member
            for name, member in self._members.items()
            if now_ms - self._seen_ms[name] <= LIVE_MS
        )
        return (self.own, *others)

    def tracked_peers(self) -> list[Member]:
        """Return the other members that are spoken of, silent ones too."""
        return list(self._members.values())

    def live_names(self, now_ms: float) -> tuple[str, ...]:
        """Return the names of the live members."""
        return tuple(member.name for member in self.live(now_ms))

    def rank_live(self, job: str, now_ms: float, count: int) -> tuple[str, ...]:
        """Return the names of the live members that are first for a job."""
        return rank_names(job, self.live_names(now_ms), count)

    def partner(self, now_ms: float) -> str | None:
        """Return the address to exchange with next.

        Notes
        -----
        A seed is asked when nobody is known, and now and then, so that two groups
        that lost sight of each other meet again.
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

    def _take(self, member: Member, seen_ms: float) -> bool:
        """Believe the latest word; a member that starts again has the latest."""
        known = self._members.get(member.name)
        known_ms = self._seen_ms.get(member.name, seen_ms)
        self._seen_ms[member.name] = max(seen_ms, known_ms)
        if known != member and seen_ms >= known_ms:
            self._members[member.name] = member
            self._roster = None
        return known is None

    def _current_roster(self, now_ms: float) -> Roster:
        self._forget(now_ms)
        if self._roster is None:
            members = {**self._members, self.own.name: self.own}
            self._roster = make_roster(members.values())
        return self._roster

    def _forget(self, now_ms: float) -> None:
        old = [
            name
            for name, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms > FORGET_MS
        ]
        for name in old:
            self.remove(name)
