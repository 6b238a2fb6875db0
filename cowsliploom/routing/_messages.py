"""Events that the router handles and commands that it returns.

All times are milliseconds of the entry VM's monotonic clock.
"""

from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.protocol import (
    CallRefusal,
    HealthReport,
    Hit,
    LoadReport,
    Ran,
    RunCall,
    RunReply,
    SearchCall,
    SearchReply,
)
from cowsliploom.resources import Configuration
from cowsliploom.rollout import RecordSample, SharesChanged


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A configuration of a higher revision took effect."""

    now_ms: float
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class EntryCountChanged:
    """The number of live entry VMs that share each backend server changed."""

    now_ms: float
    entries: int


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    """The set of servers whose cold start this entry VM owns changed."""

    now_ms: float
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class ServersLeaving:
    """The platform listed the backend servers that are leaving."""

    now_ms: float
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class ServersWarm:
    """Owners reported servers that have completed their warm-up."""

    now_ms: float
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller's search arrived."""

    now_ms: float
    query_id: str
    search: str
    text: str
    caller: str
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RunArrived:
    """A caller's non-idempotent request arrived; its claim, if any, is written."""

    now_ms: float
    run_id: str
    service: str
    payload: str
    caller: str
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a query or a run disconnected."""

    now_ms: float
    query_id: str


@dataclass(frozen=True, slots=True)
class SearchReplied:
    """A backend server replied to the search call ``call_id``."""

    now_ms: float
    call_id: str
    server: str
    reply: SearchReply


@dataclass(frozen=True, slots=True)
class RunReplied:
    """A backend server replied to a non-idempotent call."""

    now_ms: float
    call_id: str
    server: str
    reply: RunReply


@dataclass(frozen=True, slots=True)
class CallRefused:
    """A backend server refused a call."""

    now_ms: float
    call_id: str
    server: str
    refusal: CallRefusal


class FailureStep(StrEnum):
    """Step at which a call failed."""

    CONNECT = 'connect'
    SEND = 'send'
    RECEIVE = 'receive'
    DECODE = 'decode'


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call got no readable reply.

    ``ran`` is ``no`` only when no byte of the request was sent.
    """

    now_ms: float
    call_id: str
    server: str
    step: FailureStep
    ran: Ran
    timed_out: bool


@dataclass(frozen=True, slots=True)
class HealthReported:
    """A backend server reported its health."""

    now_ms: float
    server: str
    report: HealthReport


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A backend server reported its load, which may be outdated or wrong."""

    now_ms: float
    server: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A health or load probe got no response."""

    now_ms: float
    server: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent at least every 10 ms while work is in flight."""

    now_ms: float


Event = (
    ConfigurationApplied
    | EntryCountChanged
    | OwnershipChanged
    | ServersLeaving
    | ServersWarm
    | SharesChanged
    | QueryArrived
    | RunArrived
    | CallerLeft
    | SearchReplied
    | RunReplied
    | CallRefused
    | CallFailed
    | HealthReported
    | LoadReported
    | ProbeFailed
    | Tick
)


@dataclass(frozen=True, slots=True)
class SendSearch:
    """Send a search call that times out at ``deadline_ms``."""

    call_id: str
    server: str
    call: SearchCall
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class SendRun:
    """Send a non-idempotent call once; it times out at ``deadline_ms``."""

    call_id: str
    server: str
    call: RunCall
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel a call whose reply is no longer needed."""

    call_id: str
    server: str


@dataclass(frozen=True, slots=True)
class RetireConnections:
    """Close a server's idle connections; the next call opens a new one."""

    server: str


@dataclass(frozen=True, slots=True)
class Coverage:
    """Part of the pinned snapshot that an answer covers, in documents."""

    covered_docs: int
    total_docs: int
    missing_services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerQuery:
    """Answer a caller's search from one snapshot."""

    query_id: str
    snapshot: int
    coverage: Coverage
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class AnswerRun:
    """Answer a caller's non-idempotent request that ran."""

    run_id: str
    outcome: str


class RefusalCause(StrEnum):
    """Reason why the entry VM refuses a caller."""

    UNKNOWN_SEARCH = 'unknown_search'
    UNKNOWN_SERVICE = 'unknown_service'
    NO_SNAPSHOT = 'no_snapshot'
    OVERLOADED = 'overloaded'
    NO_SERVER = 'no_server'
    DEADLINE = 'deadline'
    STOPPING = 'stopping'
    BACKEND = 'backend'


@dataclass(frozen=True, slots=True)
class RefuseCaller:
    """Refuse a query or a run, and state whether it may have run.

    Parameters
    ----------
    query_id : str
        Refused query or run.
    cause : RefusalCause
        Reason for the refusal.
    step : str
        Step at which processing ended, such as ``'admit'`` or ``'receive'``.
    peer : str
        Backend server involved; empty if none.
    ran : Ran
        ``no`` only if no server can have acted on the request.
    retry_after_ms : float
        Suggested delay before a retry, in milliseconds; 0 for no suggestion.
    """

    query_id: str
    cause: RefusalCause
    step: str
    peer: str
    ran: Ran
    retry_after_ms: float


Command = (
    SendSearch
    | SendRun
    | CancelAttempt
    | RetireConnections
    | AnswerQuery
    | AnswerRun
    | RefuseCaller
    | RecordSample
)
