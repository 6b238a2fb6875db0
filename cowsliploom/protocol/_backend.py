"""Messages between an entry VM and a backend server.

The shapes are this project's reading of the backend servers' HTTP interface.
Only the backend adapter and the stand-in import them.
"""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Tell whether a request may have been acted on."""

    NO = 'no'
    UNKNOWN = 'unknown'


class RefusalReason(StrEnum):
    """Name why a backend server refused a call before it ran."""

    SNAPSHOT_GONE = 'snapshot_gone'
    COLD = 'cold'
    SHED = 'shed'
    LEAVING = 'leaving'
    EXPIRED = 'expired'
    WRONG_SERVICE = 'wrong_service'
    FAILED = 'failed'


class ServerState(StrEnum):
    """Name the state that a backend server reports of itself."""

    LIVE = 'live'
    COLD = 'cold'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class DocRange:
    """Cover documents ``first`` up to, but not including, ``end``."""

    first: int
    end: int


@dataclass(frozen=True, slots=True)
class SnapshotInfo:
    """Describe one index snapshot that a backend server can answer from.

    Parameters
    ----------
    snapshot : int
        Number of the snapshot; a later index has a higher one.
    service : str
        Service whose shard the server holds.
    ranges : tuple of DocRange
        Documents of this service's shard in the snapshot.
    total_docs : int
        Documents in the whole index at this snapshot, over all services.
    """

    snapshot: int
    service: str
    ranges: tuple[DocRange, ...]
    total_docs: int


@dataclass(frozen=True, slots=True)
class Hit:
    """Hold one matching document."""

    doc: int
    score: float
    text: str


@dataclass(frozen=True, slots=True)
class SearchCall:
    """Ask a backend server to search its shard (``POST /v1/search``).

    Parameters
    ----------
    request_id : str
        Identity of this attempt; the reply repeats it.
    service : str
        Service whose shard is asked.
    route : str
        Name of the search, for evidence per route.
    snapshot : int
        Snapshot that the answer must come from.
    text : str
        What to look for.
    hits_max : int
        Upper bound on returned hits.
    timeout_ms : float
        Time left to the caller, in milliseconds.
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
    """Refuse a call (status 409, 429 or 503) and say whether it ran.

    ``ran`` is ``no`` when the server has not started the work; an internal
    failure (status 500, reason ``failed``) says ``unknown``.
    """

    request_id: str
    reason: RefusalReason
    ran: Ran
    incarnation: str
    version: str
    state: ServerState = ServerState.LIVE


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Ask a backend server to drop an attempt (``POST /v1/cancel``)."""

    request_id: str


@dataclass(frozen=True, slots=True)
class HealthReport:
    """Return a backend server's own view of itself (``GET /v1/health``)."""

    server: str
    service: str
    incarnation: str
    version: str
    state: ServerState
    snapshots: tuple[SnapshotInfo, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Return a backend server's load (``GET /v1/load``); it may lag or lie.

    ``cold_allowance`` is the number of calls at once that a cold server bears;
    it equals ``slots`` once the server is warm.
    """

    server: str
    slots: int
    busy: int
    connections: int
    connections_max: int
    cold_allowance: int
