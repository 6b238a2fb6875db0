"""Claims, outcomes and uncertain writes of one daemon pending in one segment."""

from dataclasses import dataclass, replace

from cowsliploom.coordination._claims import (
    SEND_WINDOW_MS,
    ClaimRecord,
    ClaimRequested,
    ClaimState,
    Decided,
    Decision,
    Granted,
    StoreUnavailable,
)
from cowsliploom.coordination._claims_segment import (
    CLAIMS_MAX_BYTES,
    SEGMENT_MAX_BYTES,
    Records,
    finish_record,
    may_claim,
    resolve_duplicate,
    size_bytes,
)

PENDING_MAX = 256  # pending claims per daemon and segment
UPDATES_MAX = 1024  # outcomes kept during a store outage, per segment
UNCERTAIN_MAX = 256  # rejected claims whose write may still apply, per segment
RETRY_AFTER_MS = 1000  # sent to callers while the store is unavailable
NOT_ATTEMPTED = -1  # version of a claim that has not been part of a write


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """Requested claim; it keeps its id through all write attempts."""

    ticket: int
    record: ClaimRecord
    requested_ms: float
    deadline_ms: float
    attempted_version: int = NOT_ATTEMPTED

    @property
    def send_by_ms(self) -> float:
        """Return the time from which the request must not be sent."""
        return min(self.deadline_ms, self.requested_ms + SEND_WINDOW_MS)

    def grant(self) -> Granted:
        """Return the permission to send."""
        return Granted(self.record.key, self.record.claim_id, self.send_by_ms)


@dataclass(frozen=True, slots=True)
class OutcomeUpdate:
    """State and outcome of a granted request, to be written to the store."""

    granted: Granted
    state: ClaimState
    outcome: str = ''


@dataclass(frozen=True, slots=True)
class UncertainWrite:
    """Rejected claim whose write at ``version`` may still be applied."""

    granted: Granted
    version: int


@dataclass(frozen=True, slots=True)
class SegmentView:
    """Content of a segment at one version, and its encoded size.

    ``has_new_stamps`` is true if the records carry read times that are not stored.
    """

    version: int
    records: Records
    size_bytes: int
    has_new_stamps: bool = False


class PendingClaims:
    """Hold the pending changes to one segment and draft its next write.

    Parameters
    ----------
    owner : str
        Prefix of the ids of the claims made here.
    """

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self._pending: dict[int, PendingClaim] = {}
        self._updates: dict[str, OutcomeUpdate] = {}
        self._uncertain: dict[str, UncertainWrite] = {}
        self._decided: list[Decided] = []

    def __len__(self) -> int:
        """Return the number of pending claims, outcomes and uncertain writes."""
        return len(self._pending) + len(self._updates) + len(self._uncertain)

    def pop_decided(self) -> tuple[Decided, ...]:
        """Return the decisions made since the last call."""
        decided = tuple(self._decided)
        self._decided = []
        return decided

    def add(self, request: ClaimRequested, *, store_unavailable: bool) -> None:
        """Queue a claim, or reject it immediately while the store is unavailable."""
        record = ClaimRecord(
            key=request.key,
            request=request.request,
            claim_id=f'{self.owner}/{request.ticket}',
            timeout_ms=request.deadline_ms - request.now_ms,
        )
        claim = PendingClaim(
            request.ticket, record, request.now_ms, request.deadline_ms
        )
        if store_unavailable:
            self._reject(claim, 'claim.read', 'the store does not answer')
        elif len(self._pending) >= PENDING_MAX:
            self._reject(claim, 'claim.queue', 'too many open claims')
        else:
            self._pending[claim.ticket] = claim

    def add_update(self, update: OutcomeUpdate) -> None:
        """Queue the outcome of a granted request; beyond the limit drop the oldest."""
        self._updates[update.granted.claim_id] = update
        if len(self._updates) > UPDATES_MAX:
            self._updates.pop(next(iter(self._updates)))

    def expire_claims(self, now_ms: float) -> None:
        """Reject the claims past their deadline."""
        for claim in tuple(self._pending.values()):
            if now_ms >= claim.send_by_ms:
                self._reject(claim, 'claim.write', 'deadline passed before the claim')

    def reject_all(self, reason: str) -> None:
        """Reject all queued claims, as the store is unavailable."""
        for claim in tuple(self._pending.values()):
            self._reject(claim, 'claim.read', reason)

    def needs_read_after(self, read_ms: float, records: Records) -> bool:
        """Return whether a claim conflicts with a record read before its request."""
        return any(
            claim.requested_ms > read_ms and _is_key_taken(claim, records)
            for claim in self._pending.values()
        )

    def settle(self, now_ms: float, view: SegmentView) -> None:
        """Grant the stored claims and resolve the uncertain writes."""
        for claim in tuple(self._pending.values()):
            if not _contains(view, claim.record.key, claim.record.claim_id):
                continue
            if now_ms < claim.send_by_ms:
                self._decide(claim, claim.grant())
            else:
                self._reject(claim, 'claim.write', 'deadline passed during the claim')
        for claim_id, uncertain in tuple(self._uncertain.items()):
            if _contains(view, uncertain.granted.key, claim_id):
                self._uncertain.pop(claim_id)
                self.add_update(OutcomeUpdate(uncertain.granted, ClaimState.NOT_RUN))
            elif view.version > uncertain.version:
                self._uncertain.pop(claim_id)

    def draft(self, now_ms: float, view: SegmentView) -> SegmentView | None:
        """Return the content to write next, or None when nothing changes.

        Notes
        -----
        While the result of a write is unknown, the same content is written again: a
        write at the same version prevents the earlier one from being applied later.
        """
        drafted = replace(view, records=dict(view.records))
        drafted = self._draft_updates(drafted)
        drafted = self._draft_claims(now_ms, drafted)
        if drafted.records != view.records or view.has_new_stamps or self._uncertain:
            return replace(drafted, has_new_stamps=False)
        return None

    def _draft_updates(self, view: SegmentView) -> SegmentView:
        size = view.size_bytes
        for claim_id, update in tuple(self._updates.items()):
            stored = view.records.get(update.granted.key)
            if stored is None or stored.claim_id != claim_id:
                self._updates.pop(claim_id)
            elif stored.state is ClaimState.CLAIMED:
                updated = _apply(update, stored, SEGMENT_MAX_BYTES - size)
                size += size_bytes(updated) - size_bytes(stored)
                view.records[stored.key] = updated
            else:
                self._updates.pop(claim_id)
        return replace(view, size_bytes=size)

    def _draft_claims(self, now_ms: float, view: SegmentView) -> SegmentView:
        size = view.size_bytes
        drafted: set[str] = set()
        for claim in tuple(self._pending.values()):
            key = claim.record.key
            growth = size_bytes(claim.record)
            if key in drafted:
                continue  # left for the write after the result of this one
            if now_ms >= claim.send_by_ms:
                self._reject(claim, 'claim.write', 'deadline passed before the claim')
            elif _is_key_taken(claim, view.records):
                duplicate = resolve_duplicate(view.records[key], claim.record.request)
                self._decide(claim, duplicate)
            elif size + growth > CLAIMS_MAX_BYTES:
                self._reject(claim, 'claim.write', 'the segment is full')
            else:
                size += growth
                drafted.add(key)
                view.records[key] = claim.record
                self._pending[claim.ticket] = replace(
                    claim, attempted_version=view.version
                )
        return replace(view, size_bytes=size)

    def _decide(self, claim: PendingClaim, decision: Decision) -> None:
        self._pending.pop(claim.ticket, None)
        self._decided.append(Decided(claim.ticket, decision))

    def _reject(self, claim: PendingClaim, step: str, reason: str) -> None:
        self._decide(claim, StoreUnavailable(step, reason, RETRY_AFTER_MS))
        if claim.attempted_version == NOT_ATTEMPTED:
            return
        self._uncertain[claim.record.claim_id] = UncertainWrite(
            claim.grant(), claim.attempted_version
        )
        if len(self._uncertain) > UNCERTAIN_MAX:
            self._uncertain.pop(next(iter(self._uncertain)))


def _is_key_taken(claim: PendingClaim, records: Records) -> bool:
    return not may_claim(records.get(claim.record.key), claim.record.request)


def _contains(view: SegmentView, key: str, claim_id: str) -> bool:
    stored = view.records.get(key)
    return stored is not None and stored.claim_id == claim_id


def _apply(update: OutcomeUpdate, stored: ClaimRecord, room_bytes: int) -> ClaimRecord:
    if update.state is ClaimState.FINISHED:
        return finish_record(stored, update.outcome, room_bytes)
    return replace(stored, state=update.state)
