"""Messages of the at-most-once claims on idempotency keys.

All times without another word are monotonic milliseconds of the daemon's clock.
"""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec
import xxhash

from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import Ran, StoredValue

SEGMENTS = 64  # every daemon must count the same; a key's segment never moves
DIGEST_BYTES = 16  # 128 bits: callers can't find two requests of one digest
SEND_WINDOW_MS = 60_000  # far below CLAIM_TTL_MS, so no expired claim is sent
CLAIM_TTL_MS = 900_000  # callers retry for at most ten minutes


class ClaimState(StrEnum):
    """Name what is known of a claimed request."""

    CLAIMED = 'claimed'
    FINISHED = 'finished'
    NOT_RUN = 'not_run'


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Hold one claim as the store keeps it.

    Parameters
    ----------
    key : str
        Digest of caller and idempotency key.
    request : str
        Digest of the request's body and target.
    claim_id : str
        Owner's name and incarnation and its number of the claim.
    timeout_ms : float
        Time that the request had left when it was claimed, in milliseconds.
    state : ClaimState
        What is known of the request.
    outcome : str
        Answer of the backend server once finished.
    outcome_kept : bool
        False when the answer was too long to keep.
    seen_store_ms : float
        Store's clock when a daemon first read the claim; 0 before.
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
    """Allow one forwarding of a request; its claim is in the store.

    Parameters
    ----------
    key : str
        Digest of caller and idempotency key.
    claim_id : str
        Identity of the claim.
    send_by_ms : float
        Time from which on the request must never be sent.
    """

    key: str
    claim_id: str
    send_by_ms: float

    def may_send(self, now_ms: float) -> bool:
        """Tell whether the request may still be sent; ask right before sending."""
        return now_ms < self.send_by_ms


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the outcome of a request that has already run.

    ``outcome_kept`` is False when the outcome was too long to keep.
    """

    outcome: str
    outcome_kept: bool = True


@dataclass(frozen=True, slots=True)
class InFlight:
    """Refuse a second run while the first one's fate is unknown."""

    retry_after_ms: float
    ran: Ran = Ran.UNKNOWN


@dataclass(frozen=True, slots=True)
class Mismatch:
    """Refuse a key that was used for another request."""

    ran: Ran = Ran.NO


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Refuse a request whose claim isn't known to be in the store.

    Nothing was sent and nothing will be, so ``ran`` is ``no``.
    """

    step: str
    reason: str
    retry_after_ms: float
    ran: Ran = Ran.NO


Decision = Granted | Replay | InFlight | Mismatch | StoreUnavailable


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """Ask for a claim; ``ticket`` names the asker in the decision."""

    now_ms: float
    ticket: int
    key: str
    request: str
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Take the outcome of a request that was granted and has run."""

    now_ms: float
    granted: Granted
    outcome: str


@dataclass(frozen=True, slots=True)
class RequestNotRun:
    """Take the certainty that a granted request has not run and never will."""

    now_ms: float
    granted: Granted


@dataclass(frozen=True, slots=True)
class SegmentRead:
    """Take the store's answer to ``ReadSegment``."""

    now_ms: float
    segment: int
    answer: StoredValue | Absent | Unanswered


@dataclass(frozen=True, slots=True)
class SegmentSwapped:
    """Take the store's answer to ``SwapSegment``."""

    now_ms: float
    segment: int
    answer: Swapped | Conflict | Unanswered


@dataclass(frozen=True, slots=True)
class ClaimTick:
    """Let time pass; sent at least every 50 ms while claims are open."""

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
    """Read a segment from the store."""

    segment: int


@dataclass(frozen=True, slots=True)
class SwapSegment:
    """Write a segment if its version is the expected one."""

    segment: int
    text: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class Decided:
    """Answer the asker named by ``ticket``."""

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
    """Return the digest of a request, to tell a retry from another request."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def choose_segment(key: str) -> int:
    """Return the segment, from 0 on, that holds a key's claim."""
    return xxhash.xxh3_64_intdigest(key.encode()) % SEGMENTS


def segment_key(segment: int) -> str:
    """Return the store's key of a segment."""
    return f'claims/{segment}'
