"""What a request's exchange takes and gives.

All times are milliseconds of the entry VM's steady clock.
"""

from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.forwarding._servers import LoadReport, Server

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a caller's whole request.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt.
    method, host, target : str
        Request line and host; ``target`` is path and query.
    headers : tuple of (str, str)
        Headers that are passed on.
    body : bytes
        Whole body.
    arrived_ms : float
        When the last byte was read.
    patience_ms : float
        How long the caller waits from then on.
    path_ms : float
        What the way from and to the caller takes of its time, by its connection.
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


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Hold a backend server's whole answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers that are passed on to the caller.
    body : bytes
        Whole body.
    signature : str
        The server's mark on what it answered; empty without one.
    ran : bool
        False only where the server says that it didn't run the request.
    wrong_server : bool
        Whether another incarnation has the address.
    load : LoadReport or None
        What it says of its load.
    is_encoded : bool
        Whether the body is in an encoding that nobody asked for.
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
        """Tell whether this is a success that may be passed on."""
        success = 200 <= self.status < 300
        return success and bool(self.signature) and not self.is_encoded


class CallStep(StrEnum):
    """Name the step at which a call failed."""

    CONNECT = 'connect'
    SEND = 'send'
    RECEIVE = 'receive'
    DECODE = 'decode'


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """Take the answer to a call."""

    now_ms: float
    call_id: int
    answer: BackendAnswer


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Take a call that got no answer.

    ``may_have_run`` is False only when no byte of the request was sent.
    """

    now_ms: float
    call_id: int
    step: CallStep
    reason: str
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Take the word that the caller has closed its connection."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Ticked:
    """Let time pass."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Stopping:
    """Take the word that the process ends, so that the request is answered now."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class RelayAnswered:
    """Take the answers to several calls that a relay has merged.

    Parameters
    ----------
    now_ms : float
        Time by the own steady clock.
    answers : tuple of (int, BackendAnswer)
        Call and answer; the first holds the greatest records of them all, so they
        are taken together.
    """

    now_ms: float
    answers: tuple[tuple[int, BackendAnswer], ...]


@dataclass(frozen=True, slots=True)
class RelayCallFailed:
    """Take the word of a relay that a call came to nothing."""

    now_ms: float
    call_id: int
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class RelayCallsSent:
    """Take the word of a relay on which server it asked for each call."""

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
    """Send the request to a server; its answer is due in ``patience_ms``."""

    call_id: int
    server: Server
    patience_ms: float


@dataclass(frozen=True, slots=True)
class RelayedCall:
    """Name one call of a share, and the shard that it is for."""

    call_id: int
    shard: str


@dataclass(frozen=True, slots=True)
class SendToRelay:
    """Let a relay send the request to the servers of some shards.

    Parameters
    ----------
    relay : Server
        The relay, tracked like a server.
    calls : tuple of RelayedCall
        One for each shard.
    route : str
        Name of the request's route.
    records_max : int
        Greatest records that are needed.
    patience_ms : float
        Time that servers have.
    report_after_ms : float
        When what has come is to be told.
    """

    relay: Server
    calls: tuple[RelayedCall, ...]
    route: str
    records_max: int
    patience_ms: float
    report_after_ms: float


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Close the connection of a call whose answer nobody needs."""

    call_id: int


class Outcome(StrEnum):
    """Name how a request ended."""

    FORWARDED = 'passed'
    MERGED = 'gathered'
    NO_ROUTE = 'no route'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed out'
    CALLER_LEFT = 'caller left'


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """Answer with what the backend server said."""

    answer: BackendAnswer


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Answer with the greatest records of the parts.

    Parameters
    ----------
    signatures : tuple of str
        Marks of the parts that are in.
    missing : int
        Shards that are left out.
    body : bytes
        The records, greatest first.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """Answer that the request has ended without a result.

    Parameters
    ----------
    outcome : Outcome
        ``REFUSED`` promises that it has not run and never will.
    reason : str
        Why, for the log and the caller.
    retry_after_ms : float
        When to come back; 0 says nothing.
    """

    outcome: Outcome
    reason: str
    retry_after_ms: float = 0


Reply = ForwardedAnswer | MergedAnswer | ErrorReply
Command = (
    SendCall | SendToRelay | CancelCall | ForwardedAnswer | MergedAnswer | ErrorReply
)
