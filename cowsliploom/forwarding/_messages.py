"""Events that an exchange handles, and the commands and replies it returns.

All times are milliseconds of the entry VM's monotonic clock.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from cowsliploom.forwarding._servers import LoadReport, Server

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request from a caller.

    Parameters
    ----------
    request_id : str
        The caller's id for this attempt.
    method, host, target : str
        Request line and host; ``target`` is path and query.
    headers : tuple of (str, str)
        Headers to forward.
    body : bytes
        Complete body.
    arrived_ms : float
        When the last byte was read.
    patience_ms : float
        Caller's timeout, counted from ``arrived_ms``.
    path_ms : float
        Network time from and to the caller, derived from its connection.
    key : str
        Key by which the caller identifies itself; left out of representations.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    arrived_ms: float
    patience_ms: float
    path_ms: float = 0
    key: str = field(default='', repr=False)


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A complete answer of a backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers to forward to the caller.
    body : bytes
        Complete body.
    signature : str
        Signature that the server put on the answer; empty if it is unsigned.
    ran : bool
        False only if the server states that it did not run the request.
    wrong_server : bool
        Whether another incarnation of the server now uses the address.
    load : LoadReport or None
        Load that the server reported with the answer.
    is_encoded : bool
        Whether the body has a content encoding that was not requested.
    """

    status: int
    headers: Headers = ()
    body: bytes = b''
    signature: str = ''
    ran: bool = True
    wrong_server: bool = False
    load: LoadReport | None = None
    is_encoded: bool = False

    @property
    def is_good(self) -> bool:
        """Whether this is a success that may be forwarded."""
        success = 200 <= self.status < 300
        return success and bool(self.signature) and not self.is_encoded


class CallStep(StrEnum):
    """Step at which a call failed; ``LOCAL`` if this process had no room for it."""

    LOCAL = 'local'
    CONNECT = 'connect'
    SEND = 'send'
    RECEIVE = 'receive'
    DECODE = 'decode'


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """A call was answered."""

    now_ms: float
    call_id: int
    answer: BackendAnswer


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call ended without an answer.

    ``may_have_run`` is False only when no byte of the request was sent.
    """

    now_ms: float
    call_id: int
    step: CallStep
    reason: str
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller has closed its connection."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Ticked:
    """The timer of the exchange has fired."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process is stopping, so the request is answered now."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class RelayAnswered:
    """A relay has sent the merged answers to several calls.

    Parameters
    ----------
    now_ms : float
        Time of this entry VM's monotonic clock.
    answers : tuple of (int, BackendAnswer)
        Call id and answer. The first answer holds the greatest records of all of
        them, so they are only valid together.
    """

    now_ms: float
    answers: tuple[tuple[int, BackendAnswer], ...]


@dataclass(frozen=True, slots=True)
class RelayCallFailed:
    """A relay has reported that a call got no usable answer."""

    now_ms: float
    call_id: int
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class RelayCallsSent:
    """A relay has reported to which server it sent each call."""

    now_ms: float
    servers: tuple[tuple[int, str], ...]


ExchangeEvent = (
    CallAnswered
    | CallFailed
    | CallerLeft
    | Stopping
    | Ticked
    | RelayAnswered
    | RelayCallFailed
    | RelayCallsSent
)


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the request to a server, with a timeout of ``patience_ms``."""

    call_id: int
    server: Server
    patience_ms: float


@dataclass(frozen=True, slots=True)
class RelayCall:
    """One call that a relay makes, and its shard."""

    call_id: int
    shard: str


@dataclass(frozen=True, slots=True)
class SendToRelay:
    """Have a relay send the request to the servers of some shards.

    Parameters
    ----------
    relay : Server
        The relay, tracked like a backend server.
    calls : tuple of RelayCall
        One for each shard.
    route : str
        Name of the request's route.
    records_max : int
        Number of greatest records to return.
    patience_ms : float
        Timeout of the calls to servers.
    report_after_ms : float
        Delay after which the relay reports the answers it has.
    """

    relay: Server
    calls: tuple[RelayCall, ...]
    route: str
    records_max: int
    patience_ms: float
    report_after_ms: float


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancel a call whose answer is no longer needed, by closing its connection."""

    call_id: int


class Outcome(StrEnum):
    """How a request ended."""

    FORWARDED = 'passed'
    MERGED = 'gathered'
    NO_ROUTE = 'no route'
    NO_KEY = 'no key'
    NOT_ALLOWED = 'not allowed'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed out'
    CALLER_LEFT = 'caller left'


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """Reply with the answer of a backend server."""

    answer: BackendAnswer


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Reply with the greatest records of all shard answers.

    Parameters
    ----------
    signatures : tuple of str
        Signatures of the shard answers that were merged.
    missing : int
        Number of shards without an answer.
    body : bytes
        The records, greatest first.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """Reply that the request has ended without a result.

    Parameters
    ----------
    outcome : Outcome
        ``REFUSED`` guarantees that the request has not run and never will.
    reason : str
        Reason for the log and the caller.
    retry_after_ms : float
        Delay after which the caller may retry; 0 if not stated.
    """

    outcome: Outcome
    reason: str
    retry_after_ms: float = 0


Reply = ForwardedAnswer | MergedAnswer | ErrorReply
Command = (
    SendCall | SendToRelay | CancelCall | ForwardedAnswer | MergedAnswer | ErrorReply
)
