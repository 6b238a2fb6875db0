"""Messages between an entry VM and a backend server.

They follow this project's interpretation of the backend servers' HTTP interface.
Over HTTP, only the backend adapter and the stand-in exchange them.
"""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether a request may have been executed."""

    NO = 'no'
    UNKNOWN = 'unknown'


class RefusalReason(StrEnum):
    """Reason for which a backend server rejects or fails a call."""

    SNAPSHOT_GONE = 'snapshot_gone'
    COLD = 'cold'
    SHED = 'shed'
    LEAVING = 'leaving'
    EXPIRED = 'expired'
    WRONG_SERVICE = 'wrong_service'
    FAILED = 'failed'


class ServerState(StrEnum):
    """Lifecycle state that a backend server reports."""

    LIVE = 'live'
    COLD = 'cold'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class DocRange:
    """Half-open range of documents, from ``first`` up to but excluding ``end``."""

    first: int
    end: int


@dataclass(frozen=True, slots=True)
class SnapshotInfo:
    """Describe one index snapshot that a backend server can search.

    Parameters
    ----------
    snapshot : int
        Number of the snapshot; a later index has a higher one.
    service : str
        Service whose shard the server holds.
    ranges : tuple of DocRange
        Documents of this service's shard in the snapshot.
    total_docs : int
        Number of documents in the snapshot, over all services.
    """

    snapshot: int
    service: str
    ranges: tuple[DocRange, ...]
    total_docs: int


@dataclass(frozen=True, slots=True)
class Hit:
    """One matching document."""

    doc: int
    score: float
    text: str


@dataclass(frozen=True, slots=True)
class SearchCall:
    """Ask a backend server to search its shard (``POST /v1/search``).

    Parameters
    ----------
    request_id : str
        Identifier of this attempt; echoed in the reply.
    service : str
        Service whose shard is searched.
    route : str
        Name of the search; evidence for version moves is kept per route.
    snapshot : int
        Snapshot to search.
    text : str
        Search text.
    hits_max : int
        Maximum number of hits to return.
    timeout_ms : float
        Time left until the caller's deadline, in milliseconds.
    """

    request_id: str
    service: str
    route: str
    snapshot: int
    text: str
    hits_max: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SearchReply:
    """Return one shard's hits (status 200 of ``POST /v1/search``)."""

    request_id: str
    service: str
    snapshot: int
    ranges: tuple[DocRange, ...]
    hits: tuple[Hit, ...]
    version: str
    incarnation: str
    state: ServerState = ServerState.LIVE


@dataclass(frozen=True, slots=True)
class RunCall:
    """Ask a backend server to run a non-idempotent request (``POST /v1/run``)."""

    request_id: str
    service: str
    payload: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class RunReply:
    """Return the outcome of a non-idempotent request that ran."""

    request_id: str
    service: str
    outcome: str
    version: str
    incarnation: str
    state: ServerState = ServerState.LIVE


@dataclass(frozen=True, slots=True)
class CallRefusal:
    """Reject a call (status 409, 429 or 503) and state whether it may have run.

    ``ran`` is ``no`` if the server has not started the request, and ``unknown``
    after an internal failure (status 500, reason ``failed``).
    """

    request_id: str
    reason: RefusalReason
    ran: Ran
    incarnation: str
    version: str
    state: ServerState = ServerState.LIVE


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Ask a backend server to cancel an attempt (``POST /v1/cancel``)."""

    request_id: str


@dataclass(frozen=True, slots=True)
class HealthReport:
    """Return the health that a backend server reports (``GET /v1/health``)."""

    server: str
    service: str
    incarnation: str
    version: str
    state: ServerState
    snapshots: tuple[SnapshotInfo, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Return a backend server's load (``GET /v1/load``); may be stale or wrong.

    ``cold_allowance`` is the number of concurrent calls that a cold server can
    handle; it equals ``slots`` once the server is warm.
    """

    server: str
    slots: int
    busy: int
    connections: int
    connections_max: int
    cold_allowance: int
