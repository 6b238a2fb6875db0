"""One daemon's part in the fleet: membership, news and ownership together."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from cowsliploom.coordination._dissemination import (
    ConfigurationReceived,
    Dissemination,
    FactReceived,
    FetchReply,
    FetchRequest,
)
from cowsliploom.members import Member, MemberStatus
from cowsliploom.coordination._membership import Membership
from cowsliploom.coordination._messages import (
    AnswerPeer,
    CallPeer,
    DeclaredDead,
    ContactMade,
    Fact,
    LeaveRequested,
    MembersChanged,
    MembershipCommand,
    MembershipEvent,
    PeerAnswered,
    PeerCalled,
    RevisionApplied,
    Superseded,
    Ticked,
)
from cowsliploom.coordination._ownership import Ownership, WatchedServer
from cowsliploom.coordination._settings import MembershipSettings

FETCH_TIMEOUT_MS = 3000  # a whole configuration may be a megabyte


@dataclass(frozen=True, slots=True)
class ConfigurationAnnounced:
    """Take a configuration that this daemon has in force, from wherever it came.

    Only this makes a revision count as applied: a daemon that was told of a
    configuration by ``ConfigurationReceived`` announces it in turn once it is in force.
    """

    now_ms: float
    revision: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class FactAnnounced:
    """Take a fact that this daemon states."""

    now_ms: float
    fact: Fact


@dataclass(frozen=True, slots=True)
class ServersWatched:
    """Take the whole set of backend servers that need an owner."""

    now_ms: float
    servers: tuple[WatchedServer, ...]


@dataclass(frozen=True, slots=True)
class FetchRequested:
    """Take a peer's question for news; ``request_id`` names the open call."""

    now_ms: float
    request_id: int
    ask: FetchRequest


@dataclass(frozen=True, slots=True)
class FetchAnswered:
    """Take the answer to a ``FetchUpdates``."""

    now_ms: float
    answer: FetchReply


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """Take the failure of a ``FetchUpdates``."""

    now_ms: float


NodeEvent = (
    MembershipEvent
    | ConfigurationAnnounced
    | FactAnnounced
    | ServersWatched
    | FetchRequested
    | FetchAnswered
    | FetchFailed
)


@dataclass(frozen=True, slots=True)
class FetchUpdates:
    """Fetch news from a peer; at most one is under way."""

    address: str
    ask: FetchRequest
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class AnswerFetch:
    """Answer the open call ``request_id``."""

    request_id: int
    answer: FetchReply


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    """Tell the whole set of backend servers that this daemon owns."""

    owned: frozenset[str]


NodeCommand = (
    CallPeer
    | AnswerPeer
    | FetchUpdates
    | AnswerFetch
    | MembersChanged
    | OwnershipChanged
    | ConfigurationReceived
    | FactReceived
    | Superseded
)


class Node:
    """Play one daemon's part in the fleet, without clock, socket or thread.

    Parameters
    ----------
    self_member : Member
        This daemon.
    settings : MembershipSettings
        Times and bounds.
    seed : int
        Seed of the generator that spreads work in time and over members.

    Examples
    --------
    >>> own = Member('vm-1', '127.0.0.1:7001', 'de', incarnation=1)
    >>> node = Node(own, MembershipSettings(), seed=1)
    >>> node.step(ConfigurationAnnounced(0, 7, b'seven'))[-1]
    ConfigurationReceived(revision=7, blob=b'seven')
    """

    def __init__(
        self, self_member: Member, settings: MembershipSettings, seed: int
    ) -> None:
        self.membership = Membership(self_member, settings, seed)
        self.news = Dissemination()
        self.ownership = Ownership(self_member.name, self_member.data_centre, settings)
        self._is_fetching = False
        self._owned: frozenset[str] = frozenset()

    def step(self, event: NodeEvent) -> list[NodeCommand]:
        """Take one event and return what is to be done, in order."""
        commands = list(self._take(event))
        owned = self.ownership.owned(event.now_ms)
        if owned != self._owned:
            self._owned = owned
            commands.append(OwnershipChanged(owned))
        return commands

    def owns(self, server: str, now_ms: float) -> bool:
        """Tell whether this daemon owns a server, just before an act."""
        return self.ownership.owns(server, now_ms)

    def fleet(self) -> tuple[MemberStatus, ...]:
        """Return the revision in force at each live member that is known."""
        statuses = (
            MemberStatus(
                update.member.name,
                update.member.data_centre,
                update.applied_revision,
            )
            for update in self.membership.live_updates()
        )
        return tuple(sorted(statuses, key=_status_name))

    def _take(self, event: NodeEvent) -> Iterator[NodeCommand]:
        match event:
            case ConfigurationAnnounced(now_ms, revision, blob):
                is_new = self.news.announce_configuration(revision, blob)
                applied = RevisionApplied(now_ms, revision)
                yield from self._translate(now_ms, self.membership.step(applied))
                if is_new:
                    yield ConfigurationReceived(revision, blob)
            case FactAnnounced(_, fact):
                if self.news.announce_fact(fact):
                    yield FactReceived(fact)
            case ServersWatched(now_ms, servers):
                self.ownership.watch(now_ms, servers)
            case FetchRequested(_, request_id, ask):
                yield AnswerFetch(request_id, self.news.answer(ask))
            case FetchAnswered(_, answer):
                self._is_fetching = False
                yield from self.news.take(answer)
            case FetchFailed():
                self._is_fetching = False
            case _:
                yield from self._take_membership(event)

    def _take_membership(self, event: MembershipEvent) -> Iterator[NodeCommand]:
        match event:
            case PeerCalled() | PeerAnswered():
                yield from self._hear(event)
            case LeaveRequested():
                self.ownership.leave()
            case Ticked(now_ms):
                self.ownership.tick(now_ms)
            case _:
                pass  # noqa: WPS420 - the other events concern the membership only
        yield from self._translate(event.now_ms, self.membership.step(event))

    def _hear(self, event: PeerCalled | PeerAnswered) -> Iterator[NodeCommand]:
        frame = event.frame
        yield from self.news.hear(frame.news)
        ask = self.news.ask_for(frame.news)
        if ask is not None and not self._is_fetching:
            self._is_fetching = True
            yield FetchUpdates(frame.sender.address, ask, FETCH_TIMEOUT_MS)

    def _translate(
        self, now_ms: float, commands: list[MembershipCommand]
    ) -> Iterator[NodeCommand]:
        for command in commands:
            match command:
                case CallPeer() | AnswerPeer():
                    news = self.news.news(self.membership.size())
                    yield replace(command, frame=replace(command.frame, news=news))
                case ContactMade(sent_ms):
                    self.ownership.contact_made(sent_ms, now_ms)
                case DeclaredDead():
                    self.ownership.claimed_dead(now_ms)
                case MembersChanged():
                    self.ownership.members_changed(now_ms, command)
                    yield command
                case Superseded():
                    self.ownership.leave()
                    yield command


def _status_name(status: MemberStatus) -> str:
    return status.name
