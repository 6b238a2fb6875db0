"""One daemon of the fleet: membership, dissemination and ownership combined."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from cowsliploom.coordination._dissemination import (
    ConfigurationReceived,
    Dissemination,
    FactReceived,
    FetchReply,
    FetchRequest,
)
from cowsliploom.coordination._membership import Membership
from cowsliploom.coordination._messages import (
    AnswerPeer,
    CallPeer,
    ContactMade,
    DeclaredDead,
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
from cowsliploom.members import Member, MemberStatus

FETCH_TIMEOUT_MS = 3000  # a whole configuration may be a megabyte


@dataclass(frozen=True, slots=True)
class ConfigurationAnnounced:
    """Configuration that this daemon has in force, whatever its source.

    Only this event marks a revision as applied: a daemon announces a configuration
    that it got by ``ConfigurationReceived`` once that is in force.
    """

    now_ms: float
    revision: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class FactAnnounced:
    """Fact that this daemon originates."""

    now_ms: float
    fact: Fact


@dataclass(frozen=True, slots=True)
class ServersWatched:
    """Complete set of backend servers that need an owner."""

    now_ms: float
    servers: tuple[WatchedServer, ...]


@dataclass(frozen=True, slots=True)
class FetchRequested:
    """Fetch request of a peer; the answer carries the same ``request_id``."""

    now_ms: float
    request_id: int
    request: FetchRequest


@dataclass(frozen=True, slots=True)
class FetchAnswered:
    """Reply to a ``FetchUpdates``."""

    now_ms: float
    answer: FetchReply


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """Failure of a ``FetchUpdates``."""

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
    """Command to fetch configuration and facts; at most one is in progress."""

    address: str
    request: FetchRequest
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class AnswerFetch:
    """Command to answer the fetch request ``request_id``."""

    request_id: int
    answer: FetchReply


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    """Complete set of backend servers that this daemon owns."""

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
    """Run the coordination of one daemon, sans-IO.

    Parameters
    ----------
    self_member : Member
        This daemon.
    settings : MembershipSettings
        Intervals, timeouts and limits.
    seed : int
        Seed of the jitter and of the choice of members.

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
        self.dissemination = Dissemination()
        self.ownership = Ownership(self_member.name, self_member.data_centre, settings)
        self._is_fetching = False
        self._owned: frozenset[str] = frozenset()

    def step(self, event: NodeEvent) -> list[NodeCommand]:
        """Process an event and return the commands to execute, in order."""
        commands = list(self._handle(event))
        owned = self.ownership.owned(event.now_ms)
        if owned != self._owned:
            self._owned = owned
            commands.append(OwnershipChanged(owned))
        return commands

    def owns(self, server: str, now_ms: float) -> bool:
        """Return whether this daemon owns a server; check before each action."""
        return self.ownership.owns(server, now_ms)

    def fleet(self) -> tuple[MemberStatus, ...]:
        """Return the revision in force at each known live member."""
        statuses = (
            MemberStatus(
                update.member.name,
                update.member.data_centre,
                update.applied_revision,
            )
            for update in self.membership.live_updates()
        )
        return tuple(sorted(statuses, key=_status_name))

    def _handle(self, event: NodeEvent) -> Iterator[NodeCommand]:
        match event:
            case ConfigurationAnnounced(now_ms, revision, blob):
                is_new = self.dissemination.announce_configuration(revision, blob)
                applied = RevisionApplied(now_ms, revision)
                yield from self._translate(now_ms, self.membership.step(applied))
                if is_new:
                    yield ConfigurationReceived(revision, blob)
            case FactAnnounced(_, fact):
                if self.dissemination.announce_fact(fact):
                    yield FactReceived(fact)
            case ServersWatched(now_ms, servers):
                self.ownership.watch(now_ms, servers)
            case FetchRequested(_, request_id, request):
                yield AnswerFetch(request_id, self.dissemination.answer(request))
            case FetchAnswered(_, answer):
                self._is_fetching = False
                yield from self.dissemination.apply_reply(answer)
            case FetchFailed():
                self._is_fetching = False
            case _:
                yield from self._handle_membership(event)

    def _handle_membership(self, event: MembershipEvent) -> Iterator[NodeCommand]:
        match event:
            case PeerCalled() | PeerAnswered():
                yield from self._receive_payload(event)
            case LeaveRequested():
                self.ownership.leave()
            case Ticked(now_ms):
                self.ownership.tick(now_ms)
            case _:
                pass  # noqa: WPS420 - other events concern only the membership
        yield from self._translate(event.now_ms, self.membership.step(event))

    def _receive_payload(
        self, event: PeerCalled | PeerAnswered
    ) -> Iterator[NodeCommand]:
        frame = event.frame
        yield from self.dissemination.receive(frame.news)
        request = self.dissemination.needed_fetch(frame.news)
        if request is not None and not self._is_fetching:
            self._is_fetching = True
            yield FetchUpdates(frame.sender.address, request, FETCH_TIMEOUT_MS)

    def _translate(
        self, now_ms: float, commands: list[MembershipCommand]
    ) -> Iterator[NodeCommand]:
        for command in commands:
            match command:
                case CallPeer() | AnswerPeer():
                    payload = self.dissemination.next_payload(self.membership.size())
                    yield replace(command, frame=replace(command.frame, news=payload))
                case ContactMade(sent_ms):
                    self.ownership.contact_made(sent_ms, now_ms)
                case DeclaredDead():
                    self.ownership.declared_dead(now_ms)
                case MembersChanged():
                    self.ownership.members_changed(now_ms, command)
                    yield command
                case Superseded():
                    self.ownership.leave()
                    yield command


def _status_name(status: MemberStatus) -> str:
    return status.name
