"""What a member knows of the other data centres: a sample of each."""

from dataclasses import dataclass, replace

from cowsliploom.coordination._applied_mask import newest_mask, raise_applied
from cowsliploom.members import Member, MemberUpdate
from cowsliploom.coordination._messages import DataCentreAge, DataCentreSample
from cowsliploom.coordination._view import sample_digest

AGES_PER_FRAME = 3  # several frames a second; a frame stays small with many of them
NO_MEMBERS_DIGEST = sample_digest(())


@dataclass(frozen=True, slots=True)
class OtherDataCentre:
    """Hold the latest sample of one other data centre.

    Parameters
    ----------
    heard_ms : float
        When this sample was last confirmed, by the own clock.
    digest : int
        Sum of the sample.
    members : tuple of MemberUpdate
        Live members that rank highest there.
    """

    confirmed_ms: float
    digest: int = NO_MEMBERS_DIGEST
    members: tuple[MemberUpdate, ...] = ()


class OtherDataCentres:
    """Hold a bounded sample of the members of each other data centre.

    Parameters
    ----------
    unreachable_ms : float
        Silence after which a data centre counts as unreachable.

    Notes
    -----
    A data centre alone decides who of its members is live. The others copy its
    latest sample whole and never judge its members, so a cut between data
    centres removes nobody: the whole data centre becomes unreachable.
    """

    def __init__(self, unreachable_ms: float) -> None:
        self.unreachable_ms = unreachable_ms
        self.has_platform_list = False
        self.version = 0
        self._turn = 0
        self._known: dict[str, OtherDataCentre] = {}
        self._listed: dict[str, tuple[Member, ...]] = {}

    def update_list(self, now_ms: float, listed: dict[str, tuple[Member, ...]]) -> None:
        """Take the platform's list; prune what it and the members don't name."""
        silent = self.unreachable(now_ms)
        self.has_platform_list = True
        self.version += 1
        self._listed = listed
        for name in silent:
            if name not in listed:
                self._known.pop(name, None)

    def confirm(self, told: DataCentreAge, now_ms: float) -> bool:
        """Note what a data centre's sample was at a time.

        Parameters
        ----------
        told : DataCentreAge
            How long ago its sample had which sum, and the revisions in force.
        now_ms : float
            Time by the own monotonic clock.

        Returns
        -------
        bool
            Whether its sample is another one than ours and has to be fetched.
        """
        heard_ms = now_ms - told.age_ms
        known = self._known.get(told.data_centre)
        if known is not None and heard_ms <= known.confirmed_ms:
            return False
        if told.digest == NO_MEMBERS_DIGEST:
            self.store_sample(told.data_centre, heard_ms, ())
            return False
        if known is None or known.digest != told.digest:
            return True
        members = known.members
        if newest_mask(members) != told.applied:
            members = raise_applied(members, told.applied)
        self._known[told.data_centre] = replace(
            known, confirmed_ms=heard_ms, members=members
        )
        return False

    def store_sample(
        self, data_centre: str, heard_ms: float, members: tuple[MemberUpdate, ...]
    ) -> None:
        """Hold a sample unless a later one is held."""
        known = self._known.get(data_centre)
        if known is not None and heard_ms < known.confirmed_ms:
            return
        digest = sample_digest(members)
        self._known[data_centre] = OtherDataCentre(heard_ms, digest, members)
        if known is None or known.digest != digest:
            self.version += 1

    def ages(self, now_ms: float) -> tuple[DataCentreAge, ...]:
        """Return how long ago some samples were confirmed, each in its turn."""
        names = sorted(self._known)
        chosen = [names[(self._turn + step) % len(names)] for step in range(len(names))]
        self._turn += AGES_PER_FRAME
        return tuple(self._age(name, now_ms) for name in chosen[:AGES_PER_FRAME])

    def find_sample(
        self, data_centre: str, now_ms: float
    ) -> tuple[DataCentreSample, ...]:
        """Return the sample of a data centre; nothing when none is held."""
        known = self._known.get(data_centre)
        if known is None:
            return ()
        age_ms = now_ms - known.confirmed_ms
        return (DataCentreSample(data_centre, known.members, age_ms),)

    def members(self) -> tuple[MemberUpdate, ...]:
        """Return the members in all held samples."""
        return tuple(
            update for known in self._known.values() for update in known.members
        )

    def names(self) -> tuple[str, ...]:
        """Return the data centres that have members or are listed."""
        known = {name for name, held in self._known.items() if held.members}
        return tuple(sorted(known.union(self._listed)))

    def unreachable(self, now_ms: float) -> tuple[str, ...]:
        """Return the known or listed data centres that are silent."""
        return tuple(name for name in self.names() if self._is_silent(name, now_ms))

    def candidates(self, data_centre: str) -> tuple[Member, ...]:
        """Return members to try for an exchange with a data centre."""
        known = self._known.get(data_centre)
        listed = self._listed.get(data_centre, ())
        if known is None:
            return listed
        return (*(update.member for update in known.members), *listed)

    def _age(self, data_centre: str, now_ms: float) -> DataCentreAge:
        known = self._known[data_centre]
        applied = newest_mask(known.members)
        age_ms = now_ms - known.confirmed_ms
        return DataCentreAge(data_centre, age_ms, known.digest, applied)

    def _is_silent(self, data_centre: str, now_ms: float) -> bool:
        known = self._known.get(data_centre)
        return known is None or now_ms - known.confirmed_ms > self.unreachable_ms
