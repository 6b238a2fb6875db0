"""Ownership of backend servers: at most one owner at any time."""

from dataclasses import dataclass, replace

from cowsliploom.coordination._messages import MembersChanged
from cowsliploom.coordination._settings import MembershipSettings
from cowsliploom.members import rendezvous_score


@dataclass(frozen=True, slots=True)
class WatchedServer:
    """Backend server that needs an owner, and its data centre."""

    server: str
    data_centre: str


@dataclass(slots=True)
class _Winner:
    score: int
    name: str
    since_ms: float


@dataclass(frozen=True, slots=True)
class _Fleet:
    """Input of elections: local members, and data centres."""

    names: frozenset[str] = frozenset()
    known: frozenset[str] = frozenset()
    reachable: frozenset[str] = frozenset()
    is_listed: bool = False


class Ownership:
    """Determine the backend servers that this daemon owns.

    Owners are elected by rendezvous hashing and start after a hold-off.

    Parameters
    ----------
    self_name : str
        Name of this daemon.
    data_centre : str
        Its data centre.
    settings : MembershipSettings
        Provides the hold-off and the time without contact that ends ownership.

    Notes
    -----
    A daemon owns a server while three conditions hold: it has ranked highest among
    the live members for the hold-off; a member of its data centre answered a call
    sent less than ``give_up_ms`` ago, or it is alone there and its own clock did
    not jump; and no member declared it dead within the hold-off. The hold-off is
    the sum of the time to give up, the time to disseminate an update and the
    longest request in flight, so the old owner has stopped before the new one
    starts, even if their clock rates differ by 1%.

    This assumes that the running members of a data centre can reach each other,
    directly or through one another, within the hold-off. If a partition within a
    data centre lasts longer, each side elects an owner: without a store, a dead
    half can't be distinguished from a partitioned one. See
    ``test_split_inside_data_centre_elects_two_owners``.

    Examples
    --------
    >>> ownership = Ownership('vm-1', 'de', MembershipSettings())
    >>> ownership.watch(0, (WatchedServer('server-1', 'de'),))
    >>> from cowsliploom.coordination import Member
    >>> alone = MembersChanged((Member('vm-1', '', 'de'),), has_platform_list=True)
    >>> ownership.members_changed(0, alone)
    >>> ownership.owns('server-1', now_ms=0)
    False
    >>> for now_ms in range(0, 9000, 100):
    ...     ownership.tick(now_ms)
    >>> ownership.owns('server-1', now_ms=9000)
    True
    """

    def __init__(
        self, self_name: str, data_centre: str, settings: MembershipSettings
    ) -> None:
        self.self_name = self_name
        self.data_centre = data_centre
        self.settings = settings
        self.has_left = False
        self._watched: dict[str, str] = {}
        self._winners: dict[str, _Winner] = {}
        self._elected_here: set[str] = set()
        self._fleet = _Fleet()
        self._has_joined = False
        self._contact_ms: float | None = None

    def watch(self, now_ms: float, servers: tuple[WatchedServer, ...]) -> None:
        """Replace the set of servers that need an owner."""
        watched = {watched.server: watched.data_centre for watched in servers}
        for server, data_centre in self._watched.items():
            if watched.get(server) != data_centre:
                self._drop(server)
        self._watched = watched
        self._elect_missing(now_ms)

    def members_changed(self, now_ms: float, changed: MembersChanged) -> None:
        """Update the live members and rerun the elections that they affect."""
        before = self._fleet
        was_alone = self._is_alone()
        self._fleet = self._summarise(changed)
        self._has_joined = self._has_joined or changed.has_platform_list
        if not was_alone:
            self.tick(now_ms)
        names = self._fleet.names
        joined = names.difference(before.names)
        self._elect_after(now_ms, joined, before.names.difference(names))
        if replace(before, names=names) != self._fleet:
            self._elect_missing(now_ms)

    def contact_made(self, sent_ms: float, now_ms: float) -> None:
        """Record that a member of the data centre answered a call of ``sent_ms``."""
        self._has_joined = True
        if self._contact_ms is None or sent_ms > self._contact_ms:
            self._record_contact(sent_ms, now_ms)

    def tick(self, now_ms: float) -> None:
        """Count each tick as contact while alone in the data centre."""
        if self._has_joined and self._is_alone():
            self._record_contact(now_ms)

    def declared_dead(self, now_ms: float) -> None:
        """Restart the hold-off, as another member may have taken over."""
        self._restart_hold_off(now_ms)

    def leave(self) -> None:
        """Give up all ownership permanently."""
        self.has_left = True

    def owns(self, server: str, now_ms: float) -> bool:
        """Return whether this daemon owns a server; check before each action.

        Parameters
        ----------
        server : str
            Backend server that the action concerns.
        now_ms : float
            Boot-time monotonic clock of this daemon, read for this check.
        """
        winner = self._winners.get(server)
        if winner is None or winner.name != self.self_name:
            return False
        held_ms = now_ms - winner.since_ms
        return held_ms >= self.settings.hold_off_ms and self._has_recent_contact(now_ms)

    def owned(self, now_ms: float) -> frozenset[str]:
        """Return the servers that this daemon owns."""
        if not self._has_recent_contact(now_ms):
            return frozenset()
        return frozenset(
            server for server in self._elected_here if self.owns(server, now_ms)
        )

    def elected_owner(self, server: str) -> str:
        """Return the elected member for a server; empty without one here."""
        winner = self._winners.get(server)
        return '' if winner is None else winner.name

    def _summarise(self, changed: MembersChanged) -> _Fleet:
        present = frozenset(member.data_centre for member in changed.live)
        reachable = present.difference(changed.unreachable)
        names = frozenset(
            member.name
            for member in changed.live
            if member.data_centre == self.data_centre
        )
        return _Fleet(
            names,
            present.union(changed.unreachable),
            reachable.union((self.data_centre,)),
            changed.has_platform_list,
        )

    def _has_recent_contact(self, now_ms: float) -> bool:
        if self.has_left or self._contact_ms is None:
            return False
        return now_ms - self._contact_ms < self.settings.give_up_ms

    def _is_alone(self) -> bool:
        return self._fleet.names == {self.self_name}

    def _record_contact(self, contact_ms: float, now_ms: float | None = None) -> None:
        """Advance the last contact; restart the hold-off after a gap."""
        last_ms = self._contact_ms
        self._contact_ms = contact_ms
        if last_ms is None or contact_ms - last_ms >= self.settings.give_up_ms:
            self._restart_hold_off(contact_ms if now_ms is None else now_ms)

    def _restart_hold_off(self, now_ms: float) -> None:
        for winner in self._winners.values():
            winner.since_ms = now_ms

    def _elect_missing(self, now_ms: float) -> None:
        """Elect owners of new servers; drop servers of other data centres."""
        for server in self._watched:
            if not self._is_responsible(server):
                self._drop(server)
            elif server not in self._winners:
                self._elect(server, now_ms, self._fleet.names)

    def _elect_after(
        self, now_ms: float, joined: frozenset[str], gone: frozenset[str]
    ) -> None:
        """Rerun elections whose winner is gone or may be outranked by a new member."""
        for server, winner in tuple(self._winners.items()):
            if winner.name in gone:
                self._elect(server, now_ms, self._fleet.names)
            elif joined:
                self._elect(server, now_ms, joined.union((winner.name,)))

    def _elect(self, server: str, now_ms: float, names: frozenset[str]) -> None:
        if not names:
            self._drop(server)
            return
        score, name = max((rendezvous_score(server, name), name) for name in names)
        winner = self._winners.get(server)
        if winner is None or winner.name != name:
            self._drop(server)
            self._winners[server] = _Winner(score, name, now_ms)
            if name == self.self_name:
                self._elected_here.add(server)

    def _drop(self, server: str) -> None:
        self._winners.pop(server, None)
        self._elected_here.discard(server)

    def _is_responsible(self, server: str) -> bool:
        """Return whether the members of this data centre elect the server's owner."""
        data_centre = self._watched[server]
        if data_centre == self.data_centre:
            return True
        if data_centre in self._fleet.known or not self._fleet.is_listed:
            return False
        scored = (
            (rendezvous_score(server, name), name) for name in self._fleet.reachable
        )
        return max(scored)[1] == self.data_centre
