"""Events that the router takes and commands that it gives.

All times are monotonic milliseconds of the entry VM's own clock.
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
    """Take a configuration of a higher revision into use."""

    now_ms: float
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class EntriesCounted:
    """Take the number of live entry VMs that share each backend server."""

    now_ms: float
    entries: int


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    """Take the set of backend servers whose cold start this entry VM owns."""

    now_ms: float
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class ServersLeaving:
    """Take the platform's word on backend servers that are leaving."""

    now_ms: float
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class ServersWarm:
    """Take the owners' word on servers that have shown to be warm again."""

    now_ms: float
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """Take a caller's search."""

    now_ms: float
    query_id: str
    search: str
    text: str
    caller: str
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RunArrived:
    """Take a caller's non-idempotent request whose claim, if any, is written."""

    now_ms: float
    run_id: str
    service: str
    payload: str
    caller: str
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Drop a query or a run whose caller has gone."""

    now_ms: float
    query_id: str


@dataclass(frozen=True, slots=True)
class SearchReplied:
    """Take a backend server's answer to the call ``call_id``."""

    now_ms: float
    call_id: str
    server: str
    reply: SearchReply


@dataclass(frozen=True, slots=True)
class RunReplied:
    """Take a backend server's outcome of a non-idempotent call."""

    now_ms: float
    call_id: str
    server: str
    reply: RunReply


@dataclass(frozen=True, slots=True)
class CallRefused:
    """Take a backend server's refusal."""

    now_ms: float
    call_id: str
    server: str
    refusal: CallRefusal


class FailureStep(StrEnum):
    """Name the step at which a call failed."""

    CONNECT = 'connect'
    SEND = 'send'
    RECEIVE = 'receive'
    DECODE = 'decode'


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Take a call that got no readable answer.

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
    """Take a backend server's health."""

    now_ms: float
    server: str
    report: HealthReport


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Take a backend server's load, which may lag or lie."""

    now_ms: float
    server: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """Take a health or load probe that got no answer."""

    now_ms: float
    server: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass; sent at least every 10 ms while work is in flight."""

    now_ms: float


Event = (
    ConfigurationApplied
    | EntriesCounted
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
    """Send a search call; fail it at ``deadline_ms``."""

    call_id: str
    server: str
    call: SearchCall
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class SendRun:
    """Send a non-idempotent call, once; fail it at ``deadline_ms``."""

    call_id: str
    server: str
    call: RunCall
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class CancelSent:
    """Cancel a call whose answer is no longer wanted."""

    call_id: str
    server: str


@dataclass(frozen=True, slots=True)
class RetireConnections:
    """Close a server's idle connections; the next call opens a fresh one."""

    server: str


@dataclass(frozen=True, slots=True)
class Coverage:
    """Tell how much of the pinned snapshot an answer covers, in documents."""

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
    """Name why the entry VM refuses a caller."""

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
    """Refuse a query or a run, and say truly whether it may have run.

    Parameters
    ----------
    query_id : str
        Query or run that is refused.
    cause : RefusalCause
        Why.
    step : str
        Step at which the work ended, such as ``'admit'`` or ``'receive'``.
    peer : str
        Backend server concerned; empty when none is.
    ran : Ran
        ``no`` only when no byte could have been acted on.
    retry_after_ms : float
        Wait that may help, in milliseconds; 0 when none does.
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
    | CancelSent
    | RetireConnections
    | AnswerQuery
    | AnswerRun
    | RefuseCaller
    | RecordSample
)
