"""The duty to report usage: one holder at a time, each window reported once."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec

from cowsliploom.usage._rules import UsageRules

RETRY_MS = 500.0  # between attempts of a failed call
RENEW_SHARE = 0.3  # of the lease's life
ACT_MARGIN_SHARE = 0.3  # of the lease's life, at the end of which no report is sent
ERA_TOKENS = 2**32  # tokens of one era; those of a later era are higher


class DutyRecord(msgspec.Struct, frozen=True):
    """What the store keeps about the duty, whoever holds it.

    Parameters
    ----------
    token : int
        Fencing token of the latest holder.
    window : int
        Latest window whose counts are fixed.
    counts : mapping of str to int, or None
        These counts; None if the window is not reported from this record.
    era : int
        Era of the store in which the record was written.
    """

    token: int
    window: int
    counts: Mapping[str, int] | None = None
    era: int = 0


@dataclass(frozen=True, slots=True)
class StoredDuty:
    """The duty as this member's copy of the store has it.

    Parameters
    ----------
    record : DutyRecord or None
        The record; None if there is none.
    revision : int
        Its revision; 0 if there is none.
    is_held : bool
        Whether the store names a holder, whose lease lives.
    era : int
        How often the store has come back from an older copy.
    """

    record: DutyRecord | None = None
    revision: int = 0
    is_held: bool = False
    era: int = 0


@dataclass(frozen=True, slots=True)
class DutyTick:
    """Report the time and what this member knows.

    Parameters
    ----------
    now_ms, true_ms : float
        Monotonic time, and true time.
    is_candidate : bool
        Whether this member is to hold the duty if nobody does.
    stored : StoredDuty
        The duty as this member's copy of the store has it.
    reported : int
        Latest window that any member knows to be reported.
    totals : mapping of str to int
        Counts of the next window to be fixed.
    """

    now_ms: float
    true_ms: float
    is_candidate: bool
    stored: StoredDuty
    reported: int
    totals: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class DutyWritten:
    """The store has accepted a record, under the lease if it was acquired."""

    now_ms: float
    sent_ms: float
    revision: int
    era: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class WriteRefused:
    """The store has refused a record, as it has changed."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class LeaseKept:
    """The store has renewed the lease by a call that was sent at ``sent_ms``."""

    now_ms: float
    sent_ms: float


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease has ended, or this member can't know whether it still holds it."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class ReportAccepted:
    """The platform has accepted the report of a window."""

    now_ms: float
    window: int


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call failed, or got no answer; it may have taken effect."""

    now_ms: float


DutyEvent = (
    DutyTick
    | DutyWritten
    | WriteRefused
    | LeaseKept
    | LeaseEnded
    | ReportAccepted
    | CallFailed
)


@dataclass(frozen=True, slots=True)
class AcquireDuty:
    """Get a lease, and write the record and the holder's name under it."""

    record: DutyRecord
    revision: int
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease."""

    lease: int


@dataclass(frozen=True, slots=True)
class FreezeWindow:
    """Write the counts of a window before they are reported."""

    record: DutyRecord
    revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class SendReport:
    """Report the counts of a window; a repeat carries the same."""

    window: int
    counts: Mapping[str, int]
    token: int


DutyCommand = AcquireDuty | RenewLease | FreezeWindow | SendReport


@dataclass(frozen=True, slots=True)
class _Held:
    record: DutyRecord
    revision: int
    era: int
    lease: int
    until_ms: float
    renewed_ms: float
    acts_from_ms: float


class UsageDuty:
    """Acquire the duty, keep its lease, and report one window after the other.

    Parameters
    ----------
    rules : UsageRules
        Windows and times.

    Notes
    -----
    A report is sent only after its counts are in the store, so a later holder repeats
    the same ones. A new holder waits for the life of a lease before it acts, so no two
    holders act in turn within that time. A holder acts by the monotonic clock from when
    it asked for its lease, so its time ends before that of the store.
    """

    def __init__(self, rules: UsageRules) -> None:
        self._rules = rules
        self._held: _Held | None = None
        self._pending: DutyRecord | None = None
        self._is_call_open = False
        self._retry_ms = float('-inf')
        self._reported = 0
        self._token_seen = 0

    @property
    def is_held(self) -> bool:
        """Whether this member holds the duty, as far as it knows."""
        return self._held is not None

    @property
    def reported(self) -> int:
        """Latest window that this member has reported."""
        return self._reported

    @property
    def next_window(self) -> int:
        """The window whose counts are fixed next; 0 while the duty isn't held."""
        return self._held.record.window + 1 if self._held else 0

    def step(self, event: DutyEvent) -> DutyCommand | None:
        """Handle an event and return the call to make, if any; one at a time."""
        if isinstance(event, DutyTick):
            return self._tick(event)
        self._is_call_open = False
        match event:
            case DutyWritten():
                self._on_written(event)
            case LeaseKept() if self._held is not None:
                until_ms = event.sent_ms + self._rules.lease_ms
                self._held = replace(
                    self._held, until_ms=until_ms, renewed_ms=event.sent_ms
                )
            case ReportAccepted(window=window):
                self._reported = max(self._reported, window)
            case LeaseEnded():
                self._held = None
                self._retry_ms = event.now_ms + RETRY_MS
            case CallFailed() | WriteRefused():
                self._retry_ms = event.now_ms + RETRY_MS
        return None

    def abandon(self) -> None:
        """Stop acting at once, as after a suspension; the lease runs out by itself."""
        self._held = None

    def _tick(self, tick: DutyTick) -> DutyCommand | None:
        self._held = None if self._held is None else _confirmed(self._held, tick)
        held = self._held
        self._reported = max(self._reported, tick.reported)
        if tick.stored.record is not None:
            self._token_seen = max(self._token_seen, tick.stored.record.token)
        if self._is_call_open or tick.now_ms < self._retry_ms:
            return None
        command = self._acquire(tick) if held is None else self._work(held, tick)
        self._is_call_open = command is not None
        return command

    def _acquire(self, tick: DutyTick) -> DutyCommand | None:
        stored = tick.stored
        if stored.is_held or not tick.is_candidate:
            return None
        token = max(self._token_seen + 1, stored.era * ERA_TOKENS)
        self._pending = self._next_record(tick, token)
        return AcquireDuty(self._pending, stored.revision, self._rules.lease_ms)

    def _next_record(self, tick: DutyTick, token: int) -> DutyRecord:
        """Return the record that a new holder starts from.

        In a new era the store may have lost the counts of windows that are reported
        already, so none that could be is reported again.
        """
        stored = tick.stored
        known = stored.record
        if known is not None and known.era == stored.era:
            if known.window >= tick.reported:
                return msgspec.structs.replace(known, token=token)
            return DutyRecord(token, tick.reported, era=stored.era)
        window = self._rules.window_at(tick.true_ms) - 1
        return DutyRecord(token, max(window, tick.reported), era=stored.era)

    def _work(self, held: _Held, tick: DutyTick) -> DutyCommand | None:
        if tick.now_ms >= held.renewed_ms + RENEW_SHARE * self._rules.lease_ms:
            return RenewLease(held.lease)
        margin_ms = ACT_MARGIN_SHARE * self._rules.lease_ms
        if not held.acts_from_ms <= tick.now_ms < held.until_ms - margin_ms:
            return None
        record = held.record
        if record.counts is not None and record.window > self._reported:
            return SendReport(record.window, record.counts, record.token)
        following = max(record.window, self._reported) + 1
        if tick.true_ms < self._rules.settled_ms(following):
            return None
        counts = tick.totals if following == record.window + 1 else {}
        self._pending = DutyRecord(record.token, following, dict(counts), held.era)
        return FreezeWindow(self._pending, held.revision, held.lease)

    def _on_written(self, written: DutyWritten) -> None:
        record = self._pending
        if record is None:
            return
        if written.lease:
            self._held = _Held(
                record,
                written.revision,
                written.era,
                written.lease,
                until_ms=written.sent_ms + self._rules.lease_ms,
                renewed_ms=written.sent_ms,
                acts_from_ms=written.now_ms + self._rules.lease_ms,
            )
        elif self._held is not None:
            self._held = replace(self._held, record=record, revision=written.revision)


def _confirmed(held: _Held, tick: DutyTick) -> _Held | None:
    """Return the duty as still held, or None.

    A write whose answer was lost shows in the store, under the same token.
    """
    stored = tick.stored
    if tick.now_ms >= held.until_ms or stored.era != held.era:
        return None
    if stored.record is None or stored.revision <= held.revision:
        return held
    if stored.record.token != held.record.token:
        return None
    return replace(held, record=stored.record, revision=stored.revision)
