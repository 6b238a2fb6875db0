"""One daemon's reads and grouped writes of one claim segment."""

from dataclasses import replace
from enum import Enum, auto

import msgspec

from cowsliploom.coordination._claims import (
    ClaimRequested,
    ClaimCommand,
    ClaimEvent,
    ClaimState,
    RequestNotRun,
    RequestFinished,
    ReadSegment,
    SegmentRead,
    SegmentSwapped,
    SwapSegment,
)
from cowsliploom.coordination._claims_pending import (
    OpenClaims,
    SegmentView,
    Update,
)
from cowsliploom.coordination._claims_outage import StoreOutage
from cowsliploom.coordination._claims_segment import (
    age_records,
    decode_records,
    encode_records,
)
from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import StoredValue

READ_TRIES = 2  # one lost answer is not an outage
UNREADABLE_MS = 5000  # between looks at a segment that isn't one
REREAD_MS = 30_000  # an older copy is read again, so that claims expire
NEVER_MS = float('-inf')
EMPTY = SegmentView(version=0, records={}, size_bytes=0)


class _Phase(Enum):
    IDLE = auto()
    READING = auto()
    WRITING = auto()


class SegmentWriter:
    """Hold one daemon's view of one segment and its open call on the store.

    One call is open at a time; what arrives meanwhile rides in the next write.

    Parameters
    ----------
    segment : int
        Number of the segment.
    owner : str
        Name and incarnation of the daemon.
    outage : StoreOutage
        Shared by the writers of all segments.
    """

    def __init__(self, segment: int, owner: str, outage: StoreOutage) -> None:
        self.segment = segment
        self._outage = outage
        self._open = OpenClaims(owner)
        self._phase = _Phase.IDLE
        self._view = EMPTY
        self._draft = EMPTY
        self._read_ms = NEVER_MS
        self._read_failures = 0
        self._unreadable_until_ms = NEVER_MS

    def __len__(self) -> int:
        """Return how many claims, outcomes and unclear writes are not done."""
        return len(self._open)

    def take(self, event: ClaimEvent) -> None:
        """Take an event that concerns this segment."""
        match event:
            case ClaimRequested(now_ms=now_ms):
                self._open.ask(event, store_out=self._is_out(now_ms))
            case RequestFinished(granted=granted, outcome=outcome):
                self._open.update(Update(granted, ClaimState.FINISHED, outcome))
            case RequestNotRun(granted=granted):
                self._open.update(Update(granted, ClaimState.NOT_RUN))
            case SegmentRead(now_ms=now_ms, answer=answer):
                self._take_read(now_ms, answer)
            case SegmentSwapped(answer=answer):
                self._take_swap(answer)

    def expire(self, now_ms: float) -> None:
        """Refuse the claims past their deadline."""
        self._open.expire(now_ms)

    def is_unused(self, now_ms: float) -> bool:
        """Tell whether the writer may be dropped with its copy of the segment."""
        if self._open or self._phase is not _Phase.IDLE:
            return False
        return now_ms >= max(self._unreadable_until_ms, self._read_ms + REREAD_MS)

    def pump(self, now_ms: float) -> tuple[ClaimCommand, ...]:
        """Start the next call if there is need; return decisions and the call."""
        call = self._next_call(now_ms)
        return (*self._open.take_decided(), *call)

    def _next_call(self, now_ms: float) -> tuple[ClaimCommand, ...]:
        if self._phase is not _Phase.IDLE or not self._open:
            return ()
        self._open.settle(now_ms, self._view)
        if self._is_out(now_ms):
            self._open.refuse_all('the store does not answer')
            return ()
        if self._must_read(now_ms):
            self._outage.start_call(now_ms)
            self._phase = _Phase.READING
            self._read_ms = now_ms
            return (ReadSegment(self.segment),)
        draft = self._open.draft(now_ms, self._view)
        if draft is None:
            return ()
        self._outage.start_call(now_ms)
        self._phase = _Phase.WRITING
        self._draft = draft
        text = encode_records(draft.records)
        return (SwapSegment(self.segment, text, draft.version),)

    def _must_read(self, now_ms: float) -> bool:
        if now_ms >= self._read_ms + REREAD_MS:
            return True
        return self._open.needs_read_after(self._read_ms, self._view.records)

    def _take_read(
        self, now_ms: float, answer: StoredValue | Absent | Unanswered
    ) -> None:
        self._phase = _Phase.IDLE
        match answer:
            case Unanswered(reason=reason):
                self._fail_read(now_ms, reason)
            case Absent():
                self._outage.succeed()
                self._view = EMPTY
                self._read_failures = 0
            case StoredValue():
                self._outage.succeed()
                self._decode(now_ms, answer)

    def _take_swap(self, answer: Swapped | Conflict | Unanswered) -> None:
        self._phase = _Phase.IDLE
        match answer:
            case Swapped(version):
                self._outage.succeed()
                self._view = replace(self._draft, version=version)
            case Conflict() | Unanswered():
                self._forget()
        self._draft = EMPTY

    def _decode(self, now_ms: float, answer: StoredValue) -> None:
        try:
            records = decode_records(answer.value)
        except msgspec.MsgspecError as error:
            self._forget()
            self._unreadable_until_ms = now_ms + UNREADABLE_MS
            self._open.refuse_all(f'segment {self.segment} is unreadable: {error}')
            return
        self._read_failures = 0
        self._view = SegmentView(
            version=answer.version,
            records=age_records(records, answer.store_ms),
            size_bytes=len(answer.value.encode()),
            is_stamped=any(not row.seen_store_ms for row in records.values()),
        )

    def _forget(self) -> None:
        self._read_ms = NEVER_MS
        self._view = EMPTY

    def _fail_read(self, now_ms: float, reason: str) -> None:
        self._forget()
        self._read_failures += 1
        if self._read_failures >= READ_TRIES or self._outage.is_failing:
            self._read_failures = 0
            self._outage.fail(now_ms)
            self._open.refuse_all(reason)

    def _is_out(self, now_ms: float) -> bool:
        return now_ms < self._unreadable_until_ms or self._outage.is_out(now_ms)
