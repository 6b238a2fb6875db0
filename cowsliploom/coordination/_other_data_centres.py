"""Samples of the members of other data centres."""

from dataclasses import dataclass, replace

from cowsliploom.coordination._applied_mask import newest_mask, raise_applied
from cowsliploom.coordination._messages import DataCentreAge, DataCentreSample
from cowsliploom.coordination._view import sample_digest
from cowsliploom.members import Member, MemberUpdate

# Keeps frames small with many data centres; several frames are sent per second.
AGES_PER_FRAME = 3
NO_MEMBERS_DIGEST = sample_digest(())


@dataclass(frozen=True, slots=True)
class OtherDataCentre:
    """Latest sample of one other data centre.

    Parameters
    ----------
    confirmed_ms : float
        Time of the last confirmation of this sample, by the local clock.
    digest : int
        Digest of the sample.
    members : tuple of MemberUpdate
        Highest-ranking live members of the data centre.
    """

    confirmed_ms: float
    digest: int = NO_MEMBERS_DIGEST
    members: tuple[MemberUpdate, ...] = ()


class OtherDataCentres:
    """Hold a bounded sample of the members of each other data centre.

    Parameters
    ----------
    unreachable_ms : float
        Time without confirmation after which a data centre counts as unreachable.

    Notes
    -----
    Only a data centre itself decides which of its members are live. The others copy
    its latest sample unchanged, so a partition between data centres removes no
    members: the data centre as a whole becomes unreachable.
    """

    def __init__(self, unreachable_ms: float) -> None:
        self.unreachable_ms = unreachable_ms
        self.has_platform_list = False
        self.version = 0
        self._turn = 0
        self._known: dict[str, OtherDataCentre] = {}
        self._listed: dict[str, tuple[Member, ...]] = {}

    def update_list(self, now_ms: float, listed: dict[str, tuple[Member, ...]]) -> None:
        """Replace the platform's list; drop silent data centres that it lacks."""
        silent = self.unreachable(now_ms)
        self.has_platform_list = True
        self.version += 1
        self._listed = listed
        for name in silent:
            if name not in listed:
                self._known.pop(name, None)

    def confirm(self, report: DataCentreAge, now_ms: float) -> bool:
        """Confirm the held sample of a data centre if its digest is still current.

        Parameters
        ----------
        report : DataCentreAge
            Age and digest of the sample, and the revision in force.
        now_ms : float
            Monotonic clock of this daemon.

        Returns
        -------
        bool
            Whether the sample differs from the held one and has to be fetched.
        """
        confirmed_ms = now_ms - report.age_ms
        known = self._known.get(report.data_centre)
        if known is not None and confirmed_ms <= known.confirmed_ms:
            return False
        if report.digest == NO_MEMBERS_DIGEST:
            self.store_sample(report.data_centre, confirmed_ms, ())
            return False
        if known is None or known.digest != report.digest:
            return True
        members = known.members
        if newest_mask(members) != report.applied:
            members = raise_applied(members, report.applied)
        self._known[report.data_centre] = replace(
            known, confirmed_ms=confirmed_ms, members=members
        )
        return False

    def store_sample(
        self, data_centre: str, confirmed_ms: float, members: tuple[MemberUpdate, ...]
    ) -> None:
        """Store a sample unless a later one is held."""
        known = self._known.get(data_centre)
        if known is not None and confirmed_ms < known.confirmed_ms:
            return
        digest = sample_digest(members)
        self._known[data_centre] = OtherDataCentre(confirmed_ms, digest, members)
        if known is None or known.digest != digest:
            self.version += 1

    def ages(self, now_ms: float) -> tuple[DataCentreAge, ...]:
        """Return the ages of some samples, in round-robin order."""
        names = sorted(self._known)
        chosen = [names[(self._turn + step) % len(names)] for step in range(len(names))]
        self._turn += AGES_PER_FRAME
        return tuple(self._age(name, now_ms) for name in chosen[:AGES_PER_FRAME])

    def find_sample(
        self, data_centre: str, now_ms: float
    ) -> tuple[DataCentreSample, ...]:
        """Return the sample of a data centre; empty if none is held."""
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
        """Return the data centres that have known members or are listed."""
        known = {name for name, held in self._known.items() if held.members}
        return tuple(sorted(known.union(self._listed)))

    def unreachable(self, now_ms: float) -> tuple[str, ...]:
        """Return the known or listed data centres without recent confirmation."""
        return tuple(name for name in self.names() if self._is_silent(name, now_ms))

    def candidates(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members to try for an exchange with a data centre."""
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
