"""Messages of the at-most-once claims on idempotency keys.

Unless stated otherwise, times are milliseconds of the daemon's monotonic clock.
"""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec
import xxhash

from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import Ran, StoredValue

SEGMENTS = 64  # must be equal in all daemons and fixed: it maps a key to its segment
DIGEST_BYTES = 16  # 128 bits, so callers can't construct a collision
SEND_WINDOW_MS = 60_000  # far below CLAIM_TTL_MS, so no expired claim is sent
CLAIM_TTL_MS = 900_000  # longer than the ten minutes for which callers retry


class ClaimState(StrEnum):
    """State of a claimed request."""

    CLAIMED = 'claimed'
    FINISHED = 'finished'
    NOT_RUN = 'not_run'


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim as stored.

    Parameters
    ----------
    key : str
        Digest of caller and idempotency key.
    request : str
        Digest of the request's body and target.
    claim_id : str
        Name and incarnation of the owner, and its number for the claim.
    timeout_ms : float
        Time that the request had left when it was claimed, in milliseconds.
    state : ClaimState
        Whether the request is claimed, finished or known not to have run.
    outcome : str
        Answer of the backend server once the request has finished.
    outcome_kept : bool
        False when the answer was too long to keep.
    seen_store_ms : float
        Store clock when a daemon first read the claim; 0 until then.
    """

    key: str
    request: str
    claim_id: str
    timeout_ms: float
    state: ClaimState = ClaimState.CLAIMED
    outcome: str = ''
    outcome_kept: bool = True
    seen_store_ms: float = 0


@dataclass(frozen=True, slots=True)
class Granted:
    """Decision to forward a request once; its claim is in the store.

    Parameters
    ----------
    key : str
        Digest of caller and idempotency key.
    claim_id : str
        Identity of the claim.
    send_by_ms : float
        Time from which the request must not be sent.
    """

    key: str
    claim_id: str
    send_by_ms: float

    def may_send(self, now_ms: float) -> bool:
        """Return whether the request may still be sent; check right before sending."""
        return now_ms < self.send_by_ms


@dataclass(frozen=True, slots=True)
class Replay:
    """Decision to return the outcome of a request that has already run.

    ``outcome_kept`` is False when the outcome was too long to keep.
    """

    outcome: str
    outcome_kept: bool = True


@dataclass(frozen=True, slots=True)
class InFlight:
    """Rejection of a duplicate while the outcome of the first run is unknown."""

    retry_after_ms: float
    ran: Ran = Ran.UNKNOWN


@dataclass(frozen=True, slots=True)
class Mismatch:
    """Rejection of a key that was used for a different request."""

    ran: Ran = Ran.NO


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Rejection of a request whose claim isn't known to be in the store.

    The request was not sent and will not be, so ``ran`` is ``no``.
    """

    step: str
    reason: str
    retry_after_ms: float
    ran: Ran = Ran.NO


Decision = Granted | Replay | InFlight | Mismatch | StoreUnavailable


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """Request for a claim; the decision carries the same ``ticket``."""

    now_ms: float
    ticket: int
    key: str
    request: str
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Outcome of a granted request that has run."""

    now_ms: float
    granted: Granted
    outcome: str


@dataclass(frozen=True, slots=True)
class RequestNotRun:
    """Report that a granted request has not run and will not run."""

    now_ms: float
    granted: Granted


@dataclass(frozen=True, slots=True)
class SegmentRead:
    """Answer of the store to ``ReadSegment``."""

    now_ms: float
    segment: int
    answer: StoredValue | Absent | Unanswered


@dataclass(frozen=True, slots=True)
class SegmentSwapped:
    """Answer of the store to ``SwapSegment``."""

    now_ms: float
    segment: int
    answer: Swapped | Conflict | Unanswered


@dataclass(frozen=True, slots=True)
class ClaimTick:
    """Timer event, sent at least every 50 ms while claims are open."""

    now_ms: float


ClaimEvent = (
    ClaimRequested
    | RequestFinished
    | RequestNotRun
    | SegmentRead
    | SegmentSwapped
    | ClaimTick
)


@dataclass(frozen=True, slots=True)
class ReadSegment:
    """Command to read a segment from the store."""

    segment: int


@dataclass(frozen=True, slots=True)
class SwapSegment:
    """Command to write a segment if its version is the expected one."""

    segment: int
    text: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class Decided:
    """Decision on the claim request that carried ``ticket``."""

    ticket: int
    decision: Decision


ClaimCommand = ReadSegment | SwapSegment | Decided


def digest_key(caller: str, key: str) -> str:
    """Return the digest of a caller's idempotency key.

    Examples
    --------
    >>> digest_key('van-desk', 'k1') == digest_key('van-desk', 'k1')
    True
    >>> digest_key('van-desk', 'k1') == digest_key('van-des', 'kk1')
    False
    """
    return digest_request(msgspec.json.encode([caller, key]))


def digest_request(body: bytes) -> str:
    """Return the digest that distinguishes a retry from another request."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def choose_segment(key: str) -> int:
    """Return the zero-based segment that holds the claim of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % SEGMENTS


def segment_key(segment: int) -> str:
    """Return the store key of a segment."""
    return f'claims/{segment}'
