"""Events, commands and frames of the coordination parts.

All times are milliseconds of the daemon's own monotonic clock.
"""

from dataclasses import dataclass
from enum import IntEnum

from cowsliploom.coordination._applied_mask import AppliedMask
from cowsliploom.members import Member, MemberUpdate


class FrameKind(IntEnum):
    """Kind of request, or answer, that a frame carries."""

    PROBE = 0
    PROBE_FOR = 1
    SYNC = 2
    SAMPLE = 3
    ANSWER = 4


@dataclass(frozen=True, slots=True)
class Fact:
    """Grow-only fact; the highest generation of a key wins.

    Parameters
    ----------
    key : str
        Name of the fact, such as ``'veto/searches'``.
    generation : int
        Orders the facts of one key.
    blob : bytes
        Opaque content.
    """

    key: str
    generation: int
    blob: bytes = b''


@dataclass(frozen=True, slots=True)
class DataCentreAge:
    """Time since the sample of another data centre was confirmed.

    ``digest`` is the digest of the sample at that time, and ``applied`` marks the
    members of the sample that have the newest revision in force.
    """

    data_centre: str
    age_ms: float
    digest: int = 0
    applied: AppliedMask = AppliedMask()


@dataclass(frozen=True, slots=True)
class DataCentreSample:
    """Sample of the members of a data centre, with its age."""

    data_centre: str
    members: tuple[MemberUpdate, ...]
    age_ms: float = 0


@dataclass(frozen=True, slots=True)
class GossipPayload:
    """Configuration revision and facts that a frame carries.

    ``fact_digest`` covers all facts of the sender, not only those in ``facts``.
    """

    revision: int = 0
    fact_digest: int = 0
    facts: tuple[Fact, ...] = ()


@dataclass(frozen=True, slots=True)
class Frame:
    """Request or answer of an exchange between two members.

    Parameters
    ----------
    kind : FrameKind
        Kind of request, or answer.
    sender : Member
        Sending member, with its incarnation.
    digest : int
        Digest of the sender's live view of its own data centre; in a frame to
        another data centre, of the sample that the receiver should hold.
    updates : tuple of MemberUpdate
        Piggybacked updates; in a sync, the full view.
    samples : tuple of DataCentreSample
        Sample that was requested.
    ages : tuple of DataCentreAge
        Ages of the samples that the sender holds of other data centres.
    target : str
        Member that a helper is asked to probe, or data centre whose sample is
        requested.
    reached : bool
        Whether the helper reached the target.
    applied_revision : int
        Configuration revision that the sender has in force.
    applied : AppliedMask
        Members that have the newest revision in force: ordered by name within a
        data centre, in the order of the sample between data centres.
    news : GossipPayload
        Configuration revision and facts.
    """

    kind: FrameKind
    sender: Member
    digest: int = 0
    updates: tuple[MemberUpdate, ...] = ()
    samples: tuple[DataCentreSample, ...] = ()
    ages: tuple[DataCentreAge, ...] = ()
    target: str = ''
    reached: bool = True
    applied_revision: int = 0
    applied: AppliedMask = AppliedMask()
    news: GossipPayload = GossipPayload()


@dataclass(frozen=True, slots=True)
class Ticked:
    """Timer event, sent at least every 100 ms."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class PeerCalled:
    """Call of another member; the answer carries the same ``request_id``."""

    now_ms: float
    request_id: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Answer to the call ``call_id``."""

    now_ms: float
    call_id: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """Failure or timeout of the call ``call_id``."""

    now_ms: float
    call_id: int


@dataclass(frozen=True, slots=True)
class SeedsListed:
    """The platform's list of live entry VMs, which may be stale."""

    now_ms: float
    seeds: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """Request to leave the fleet gracefully."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class RevisionApplied:
    """Configuration revision that this daemon has in force."""

    now_ms: float
    revision: int


MembershipEvent = (
    Ticked
    | PeerCalled
    | PeerAnswered
    | PeerFailed
    | SeedsListed
    | LeaveRequested
    | RevisionApplied
)


@dataclass(frozen=True, slots=True)
class CallPeer:
    """Command to send a frame; the outcome carries the same ``call_id``."""

    call_id: int
    address: str
    frame: Frame
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class AnswerPeer:
    """Command to answer the incoming call ``request_id``."""

    request_id: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Live members: all of the local data centre, a sample of each other one.

    Parameters
    ----------
    live : tuple of Member
        Live members ordered by name, including this daemon.
    unreachable : tuple of str
        Other data centres whose sample was not confirmed recently.
    has_platform_list : bool
        Whether the platform's list was received. If so, a data centre that is
        neither in ``live`` nor in ``unreachable`` has no entry VM.
    """

    live: tuple[Member, ...]
    unreachable: tuple[str, ...] = ()
    has_platform_list: bool = False


@dataclass(frozen=True, slots=True)
class ContactMade:
    """A member of the local data centre answered a call.

    ``sent_ms`` is the time when the call was sent: a late answer proves contact
    only as of then.
    """

    sent_ms: float


@dataclass(frozen=True, slots=True)
class DeclaredDead:
    """Other members had declared this daemon dead."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process has replaced this daemon under its name."""

    by: Member


MembershipCommand = (
    CallPeer | AnswerPeer | MembersChanged | ContactMade | DeclaredDead | Superseded
)
