"""Events that the controller of version moves handles, and commands it returns."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import LeaseCall, LeaseResult, StoredValue
from cowsliploom.rollout._judge import MovesDeclared, VetoReceived
from cowsliploom.rollout._moves import AnnounceFact, MoveState


@dataclass(frozen=True, slots=True)
class CandidateChanged:
    """Report whether this daemon is one of the few that may become the controller."""

    now_ms: float
    is_candidate: bool


@dataclass(frozen=True, slots=True)
class LeaseAnswered:
    """Report the store's answer to the ``CallLease`` that was sent at ``sent_ms``."""

    now_ms: float
    sent_ms: float
    answer: LeaseResult | Unanswered


@dataclass(frozen=True, slots=True)
class StateRead:
    """Report the store's answer to ``ReadState``."""

    now_ms: float
    move: str
    answer: StoredValue | Absent | Unanswered


@dataclass(frozen=True, slots=True)
class StateSwapped:
    """Report the store's answer to ``SwapState``."""

    now_ms: float
    move: str
    answer: Swapped | Conflict | Unanswered


@dataclass(frozen=True, slots=True)
class ShareReceived:
    """Report a state that another daemon read from the store at ``version``."""

    now_ms: float
    move: str
    state: MoveState
    version: int


@dataclass(frozen=True, slots=True)
class ControllerTick:
    """Report the time and what the judge has counted so far.

    Parameters
    ----------
    now_ms : float
        Monotonic time.
    samples : mapping of str to int
        Calls of each move's new version so far, by move.
    suspects : frozenset of str
        Moves with some evidence against them; their steps don't end early.
    inconclusive : frozenset of str
        Moves whose tests are inconclusive; their shares aren't raised for now.
    unproven : frozenset of str
        Moves that must not finish for now, as the tests don't favour a good version.
    requests : mapping of str to int
        Calls of each move's service counted so far, by move.
    baseline_ms : mapping of str to mapping
        Baseline latency of the old version on each route, by move.
    baked_ms : mapping of str to float
        Since when all live daemons have judged the full share, by move; minus infinity
        if one has not.
    """

    now_ms: float
    samples: Mapping[str, int]
    suspects: frozenset[str] = frozenset()
    inconclusive: frozenset[str] = frozenset()
    unproven: frozenset[str] = frozenset()
    requests: Mapping[str, int] = field(default_factory=dict)
    baseline_ms: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    baked_ms: Mapping[str, float] = field(default_factory=dict)


ControllerEvent = (
    MovesDeclared
    | CandidateChanged
    | LeaseAnswered
    | StateRead
    | StateSwapped
    | ShareReceived
    | VetoReceived
    | ControllerTick
)


@dataclass(frozen=True, slots=True)
class CallLease:
    """Acquire, renew or release the controller's lease."""

    call: LeaseCall
    sent_ms: float


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read a move's state from the store."""

    move: str


@dataclass(frozen=True, slots=True)
class SwapState:
    """Write a move's state if its version is the expected one."""

    move: str
    text: str
    expected_version: int


ControllerCommand = CallLease | ReadState | SwapState | AnnounceFact
