"""Events, commands and frames of the coordination parts.

All times are monotonic milliseconds of the daemon's own clock.
"""

from dataclasses import dataclass
from enum import IntEnum

from cowsliploom.coordination._applied import AppliedMask
from cowsliploom.members import Member, MemberUpdate


class FrameKind(IntEnum):
    """Name what a frame asks or answers."""

    PROBE = 0
    PROBE_FOR = 1
    SYNC = 2
    SAMPLE = 3
    ANSWER = 4


@dataclass(frozen=True, slots=True)
class Fact:
    """Hold one grow-only fact; of one key the higher generation wins.

    Parameters
    ----------
    key : str
        Name of the fact, such as ``'veto/cellar-briefing'``.
    generation : int
        Order of the facts of one key.
    blob : bytes
        Content, not looked into here.
    """

    key: str
    generation: int
    blob: bytes = b''


@dataclass(frozen=True, slots=True)
class DataCentreAge:
    """Tell how long ago another data centre was heard of.

    ``digest`` sums up the sample of its members that it told at that time, and
    ``applied`` tells which of these have the newest revision in force.
    """

    data_centre: str
    age_ms: float
    digest: int = 0
    applied: AppliedMask = AppliedMask()


@dataclass(frozen=True, slots=True)
class DataCentreSample:
    """Hold the members of a data centre that the others know of, by its age."""

    data_centre: str
    members: tuple[MemberUpdate, ...]
    age_ms: float = 0


@dataclass(frozen=True, slots=True)
class GossipPayload:
    """Carry the configuration's revision and some facts on a frame.

    ``fact_digest`` sums up all facts of the sender, not only the carried ones.
    """

    revision: int = 0
    fact_digest: int = 0
    facts: tuple[Fact, ...] = ()


@dataclass(frozen=True, slots=True)
class Frame:
    """Carry one exchange between two members, either way.

    Parameters
    ----------
    kind : FrameKind
        What is asked, or that this answers.
    sender : Member
        Who sends, with its incarnation.
    digest : int
        Sum of the sender's live view of its own data centre; towards another
        data centre, of the sample that the other one should keep.
    updates : tuple of MemberUpdate
        Piggybacked updates; in a sync the whole view or the sample.
    samples : tuple of DataCentreSample
        Sample that was asked for.
    ages : tuple of DataCentreAge
        When the sender heard of the other data centres.
    target : str
        Member that a helper is asked to probe, or data centre whose sample is
        asked for.
    reached : bool
        Whether the helper reached the target.
    applied_revision : int
        Configuration revision that the sender has in force.
    applied : AppliedMask
        Members that have the newest revision in force, in the order of their names
        within a data centre, of the sample between two.
    news : GossipPayload
        Configuration and facts.
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
    """Let time pass; sent at least every 100 ms."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class PeerCalled:
    """Take a frame of another member; ``request_id`` names the open call."""

    now_ms: float
    request_id: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Take the answer to the call ``call_id``."""

    now_ms: float
    call_id: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """Take a call that failed or ran into its deadline."""

    now_ms: float
    call_id: int


@dataclass(frozen=True, slots=True)
class SeedsListed:
    """Take the platform's list of live entry VMs, which lags."""

    now_ms: float
    seeds: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """Leave the fleet in good order."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class RevisionApplied:
    """Take the configuration revision that this daemon has in force."""

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
    """Send a frame to a peer; its answer comes back under ``call_id``."""

    call_id: int
    address: str
    frame: Frame
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class AnswerPeer:
    """Answer the open call ``request_id``."""

    request_id: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Tell the live members: the whole own data centre, a sample of the others.

    Parameters
    ----------
    live : tuple of Member
        Live members in order of their names, this daemon included.
    unreachable : tuple of str
        Data centres with known members that were not heard of lately.
    absent : bool
        Whether a data centre that is neither in ``live`` nor in ``unreachable``
        is known to have no entry VM; the platform's list says so.
    """

    live: tuple[Member, ...]
    unreachable: tuple[str, ...] = ()
    absent: bool = False


@dataclass(frozen=True, slots=True)
class ContactMade:
    """Tell that a member of the own data centre answered.

    ``sent_ms`` is when the answered call was sent, so a late answer counts for
    no more than it proves.
    """

    sent_ms: float


@dataclass(frozen=True, slots=True)
class DeclaredDead:
    """Tell that others had given this daemon up for dead."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Superseded:
    """Tell that another process runs under this daemon's name."""

    by: Member


MembershipCommand = (
    CallPeer | AnswerPeer | MembersChanged | ContactMade | DeclaredDead | Superseded
)
