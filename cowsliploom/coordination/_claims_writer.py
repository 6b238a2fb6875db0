"""Reads and batched writes of one claim segment by one daemon."""

from dataclasses import replace
from enum import Enum, auto

import msgspec

from cowsliploom.coordination._claims import (
    ClaimCommand,
    ClaimEvent,
    ClaimRequested,
    ClaimState,
    ReadSegment,
    RequestFinished,
    RequestNotRun,
    SegmentRead,
    SegmentSwapped,
    SwapSegment,
)
from cowsliploom.coordination._claims_outage import StoreOutage
from cowsliploom.coordination._claims_pending import (
    OutcomeUpdate,
    PendingClaims,
    SegmentView,
)
from cowsliploom.coordination._claims_segment import (
    decode_records,
    encode_records,
    stamp_and_expire,
)
from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import StoredValue

READ_ATTEMPTS = 2  # a single lost answer does not mean an outage
UNREADABLE_RETRY_MS = 5000  # delay before an undecodable segment is read again
COPY_MAX_AGE_MS = 30_000  # an older copy is read again, so that claims expire
NEVER_MS = float('-inf')
EMPTY = SegmentView(version=0, records={}, size_bytes=0)


class _Phase(Enum):
    IDLE = auto()
    READING = auto()
    WRITING = auto()


class SegmentWriter:
    """Read and write one segment on behalf of one daemon.

    At most one store call is open; changes that arrive meanwhile are batched into
    the next write.

    Parameters
    ----------
    segment : int
        Number of the segment.
    owner : str
        Name and incarnation of the daemon.
    outage : StoreOutage
        Outage state shared by the writers of all segments.
    """

    def __init__(self, segment: int, owner: str, outage: StoreOutage) -> None:
        self.segment = segment
        self._outage = outage
        self._pending = PendingClaims(owner)
        self._phase = _Phase.IDLE
        self._view = EMPTY
        self._draft = EMPTY
        self._read_ms = NEVER_MS
        self._read_failures = 0
        self._unreadable_until_ms = NEVER_MS

    def __len__(self) -> int:
        """Return the number of pending claims, outcomes and uncertain writes."""
        return len(self._pending)

    def handle(self, event: ClaimEvent) -> None:
        """Process an event that concerns this segment."""
        match event:
            case ClaimRequested(now_ms=now_ms):
                self._pending.add(event, store_unavailable=self._is_unavailable(now_ms))
            case RequestFinished(granted=granted, outcome=outcome):
                self._pending.add_update(
                    OutcomeUpdate(granted, ClaimState.FINISHED, outcome)
                )
            case RequestNotRun(granted=granted):
                self._pending.add_update(OutcomeUpdate(granted, ClaimState.NOT_RUN))
            case SegmentRead(now_ms=now_ms, answer=answer):
                self._handle_read(now_ms, answer)
            case SegmentSwapped(answer=answer):
                self._handle_swap(answer)

    def expire_claims(self, now_ms: float) -> None:
        """Reject the claims past their deadline."""
        self._pending.expire_claims(now_ms)

    def is_unused(self, now_ms: float) -> bool:
        """Return whether the writer and its copy of the segment may be dropped."""
        if self._pending or self._phase is not _Phase.IDLE:
            return False
        return now_ms >= max(self._unreadable_until_ms, self._read_ms + COPY_MAX_AGE_MS)

    def next_commands(self, now_ms: float) -> tuple[ClaimCommand, ...]:
        """Return the decisions made and the next store call, if one is needed."""
        call = self._next_call(now_ms)
        return (*self._pending.pop_decided(), *call)

    def _next_call(self, now_ms: float) -> tuple[ClaimCommand, ...]:
        if self._phase is not _Phase.IDLE or not self._pending:
            return ()
        self._pending.settle(now_ms, self._view)
        if self._is_unavailable(now_ms):
            self._pending.reject_all('the store does not answer')
            return ()
        if self._must_read(now_ms):
            self._outage.start_call(now_ms)
            self._phase = _Phase.READING
            self._read_ms = now_ms
            return (ReadSegment(self.segment),)
        draft = self._pending.draft(now_ms, self._view)
        if draft is None:
            return ()
        self._outage.start_call(now_ms)
        self._phase = _Phase.WRITING
        self._draft = draft
        text = encode_records(draft.records)
        return (SwapSegment(self.segment, text, draft.version),)

    def _must_read(self, now_ms: float) -> bool:
        if now_ms >= self._read_ms + COPY_MAX_AGE_MS:
            return True
        return self._pending.needs_read_after(self._read_ms, self._view.records)

    def _handle_read(
        self, now_ms: float, answer: StoredValue | Absent | Unanswered
    ) -> None:
        self._phase = _Phase.IDLE
        match answer:
            case Unanswered(reason=reason):
                self._handle_read_failure(now_ms, reason)
            case Absent():
                self._outage.record_success()
                self._view = EMPTY
                self._read_failures = 0
            case StoredValue():
                self._outage.record_success()
                self._decode(now_ms, answer)

    def _handle_swap(self, answer: Swapped | Conflict | Unanswered) -> None:
        self._phase = _Phase.IDLE
        match answer:
            case Swapped(version):
                self._outage.record_success()
                self._view = replace(self._draft, version=version)
            case Conflict() | Unanswered():
                self._discard_copy()
        self._draft = EMPTY

    def _decode(self, now_ms: float, answer: StoredValue) -> None:
        try:
            records = decode_records(answer.value)
        except msgspec.MsgspecError as error:
            self._discard_copy()
            self._unreadable_until_ms = now_ms + UNREADABLE_RETRY_MS
            self._pending.reject_all(f'segment {self.segment} is unreadable: {error}')
            return
        self._read_failures = 0
        self._view = SegmentView(
            version=answer.version,
            records=stamp_and_expire(records, answer.store_ms),
            size_bytes=len(answer.value.encode()),
            has_new_stamps=any(not row.seen_store_ms for row in records.values()),
        )

    def _discard_copy(self) -> None:
        self._read_ms = NEVER_MS
        self._view = EMPTY

    def _handle_read_failure(self, now_ms: float, reason: str) -> None:
        self._discard_copy()
        self._read_failures += 1
        if self._read_failures >= READ_ATTEMPTS or self._outage.is_failing:
            self._read_failures = 0
            self._outage.record_failure(now_ms)
            self._pending.reject_all(reason)

    def _is_unavailable(self, now_ms: float) -> bool:
        return now_ms < self._unreadable_until_ms or self._outage.blocks_calls(now_ms)
