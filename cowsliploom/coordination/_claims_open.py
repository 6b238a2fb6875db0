"""What one daemon still has to claim, record or settle in one segment."""

from dataclasses import dataclass, replace

from cowsliploom.coordination._claims import (
    SEND_WINDOW_MS,
    ClaimRequested,
    ClaimRecord,
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
    judge_duplicate,
    may_claim,
    size_bytes,
)

ASKS_MAX = 256  # open claims of one daemon in one segment
UPDATES_MAX = 1024  # outcomes kept through a store outage, a segment
UNCLEAR_MAX = 256  # refused claims whose write may still land, a segment
RETRY_AFTER_MS = 1000  # told to callers while the store is out
NOT_TRIED = -1  # version of a claim that no write has carried


@dataclass(frozen=True, slots=True)
class Ask:
    """Hold a claim that is asked for; one identity through all its writes."""

    ticket: int
    record: ClaimRecord
    asked_ms: float
    deadline_ms: float
    tried_version: int = NOT_TRIED

    @property
    def send_by_ms(self) -> float:
        """Return the time from which on the request must never be sent."""
        return min(self.deadline_ms, self.asked_ms + SEND_WINDOW_MS)

    def grant(self) -> Granted:
        """Return the permission to send."""
        return Granted(self.record.key, self.record.claim_id, self.send_by_ms)


@dataclass(frozen=True, slots=True)
class Update:
    """Hold what became of a granted request."""

    granted: Granted
    state: ClaimState
    outcome: str = ''


@dataclass(frozen=True, slots=True)
class Unclear:
    """Hold a refused claim whose write at ``version`` may still land."""

    granted: Granted
    version: int


@dataclass(frozen=True, slots=True)
class SegmentView:
    """Hold a segment's content at one version, and its size as text.

    ``is_stamped`` is true when the content has times that the store lacks.
    """

    version: int
    records: Records
    size_bytes: int
    is_stamped: bool = False


class OpenClaims:
    """Hold the open work on one segment and decide what the next write changes.

    Parameters
    ----------
    owner : str
        Prefix of the identity of the claims made here.
    """

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self._asks: dict[int, Ask] = {}
        self._updates: dict[str, Update] = {}
        self._unclear: dict[str, Unclear] = {}
        self._decided: list[Decided] = []

    def __len__(self) -> int:
        """Return how many claims, outcomes and unclear writes are not done."""
        return len(self._asks) + len(self._updates) + len(self._unclear)

    def take_decided(self) -> tuple[Decided, ...]:
        """Return the decisions made since the last call."""
        decided = tuple(self._decided)
        self._decided = []
        return decided

    def ask(self, asked: ClaimRequested, *, store_out: bool) -> None:
        """Queue a claim, or refuse it at once while the store is out."""
        record = ClaimRecord(
            key=asked.key,
            request=asked.request,
            claim_id=f'{self.owner}/{asked.ticket}',
            timeout_ms=asked.deadline_ms - asked.now_ms,
        )
        ask = Ask(asked.ticket, record, asked.now_ms, asked.deadline_ms)
        if store_out:
            self._refuse(ask, 'claim.read', 'the store does not answer')
        elif len(self._asks) >= ASKS_MAX:
            self._refuse(ask, 'claim.queue', 'too many open claims')
        else:
            self._asks[ask.ticket] = ask

    def update(self, update: Update) -> None:
        """Queue what became of a granted request; the oldest gives way."""
        self._updates[update.granted.claim_id] = update
        if len(self._updates) > UPDATES_MAX:
            self._updates.pop(next(iter(self._updates)))

    def expire(self, now_ms: float) -> None:
        """Refuse the claims past their deadline."""
        for ask in tuple(self._asks.values()):
            if now_ms >= ask.send_by_ms:
                self._refuse(ask, 'claim.write', 'deadline passed before the claim')

    def refuse_all(self, reason: str) -> None:
        """Refuse all queued claims, as the store is out."""
        for ask in tuple(self._asks.values()):
            self._refuse(ask, 'claim.read', reason)

    def needs_read_after(self, read_ms: float, records: Records) -> bool:
        """Tell whether a queued claim meets a record read before it was asked."""
        return any(
            ask.asked_ms > read_ms and _is_taken(ask, records)
            for ask in self._asks.values()
        )

    def settle(self, now_ms: float, view: SegmentView) -> None:
        """Grant the claims that the store holds and settle the unclear ones."""
        for ask in tuple(self._asks.values()):
            if not _holds(view, ask.record.key, ask.record.claim_id):
                continue
            if now_ms < ask.send_by_ms:
                self._decide(ask, ask.grant())
            else:
                self._refuse(ask, 'claim.write', 'deadline passed during the claim')
        for claim_id, unclear in tuple(self._unclear.items()):
            if _holds(view, unclear.granted.key, claim_id):
                self._unclear.pop(claim_id)
                self.update(Update(unclear.granted, ClaimState.NOT_RUN))
            elif view.version > unclear.version:
                self._unclear.pop(claim_id)

    def draft(self, now_ms: float, view: SegmentView) -> SegmentView | None:
        """Return the content to write next, or None when nothing changes.

        Notes
        -----
        While a write is unclear, the same content is written again: a write at the
        unclear one's version keeps that one from landing later.
        """
        drafted = replace(view, records=dict(view.records))
        drafted = self._draft_updates(drafted)
        drafted = self._draft_claims(now_ms, drafted)
        if drafted.records != view.records or view.is_stamped or self._unclear:
            return replace(drafted, is_stamped=False)
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
        for ask in tuple(self._asks.values()):
            key = ask.record.key
            growth = size_bytes(ask.record)
            if key in drafted:
                continue  # decided by the next write, once this one is known
            if now_ms >= ask.send_by_ms:
                self._refuse(ask, 'claim.write', 'deadline passed before the claim')
            elif _is_taken(ask, view.records):
                duplicate = judge_duplicate(view.records[key], ask.record.request)
                self._decide(ask, duplicate)
            elif size + growth > CLAIMS_MAX_BYTES:
                self._refuse(ask, 'claim.write', 'the segment is full')
            else:
                size += growth
                drafted.add(key)
                view.records[key] = ask.record
                self._asks[ask.ticket] = replace(ask, tried_version=view.version)
        return replace(view, size_bytes=size)

    def _decide(self, ask: Ask, decision: Decision) -> None:
        self._asks.pop(ask.ticket, None)
        self._decided.append(Decided(ask.ticket, decision))

    def _refuse(self, ask: Ask, step: str, reason: str) -> None:
        self._decide(ask, StoreUnavailable(step, reason, RETRY_AFTER_MS))
        if ask.tried_version == NOT_TRIED:
            return
        self._unclear[ask.record.claim_id] = Unclear(ask.grant(), ask.tried_version)
        if len(self._unclear) > UNCLEAR_MAX:
            self._unclear.pop(next(iter(self._unclear)))


def _is_taken(ask: Ask, records: Records) -> bool:
    return not may_claim(records.get(ask.record.key), ask.record.request)


def _holds(view: SegmentView, key: str, claim_id: str) -> bool:
    stored = view.records.get(key)
    return stored is not None and stored.claim_id == claim_id


def _apply(update: Update, stored: ClaimRecord, room_bytes: int) -> ClaimRecord:
    if update.state is ClaimState.FINISHED:
        return finish_record(stored, update.outcome, room_bytes)
    return replace(stored, state=update.state)
