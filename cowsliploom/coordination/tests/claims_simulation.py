"""Simulation of claim registries that share a faulty store, with a run log."""

from dataclasses import dataclass, field
from enum import StrEnum

from cowsliploom.coordination import (
    ClaimRegistry,
    ClaimRequested,
    ClaimTick,
    Decided,
    Granted,
    Mismatch,
    ReadSegment,
    RequestFinished,
    RequestNotRun,
    SegmentRead,
    SegmentSwapped,
    StoreUnavailable,
    SwapSegment,
    digest_key,
)
from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import StoredValue

TIMEOUT_MS = 2000
STORE_EPOCH_MS = 1_000_000_000_000


class Fault(StrEnum):
    """Fault of a store call."""

    NONE = 'none'
    REFUSED = 'refused'
    LOST_REQUEST = 'lost_request'
    LOST_ANSWER = 'lost_answer'
    APPLIED_LATE = 'lands_late'


def unanswered(step: str, *, maybe_applied: bool = True) -> Unanswered:
    return Unanswered(step, 'store', maybe_applied=maybe_applied, reason='test')


@dataclass
class FakeStore:
    """Store with compare-and-swap; ``fenced=False`` skips the version check."""

    fenced: bool = True
    values: dict[int, tuple[int, str]] = field(default_factory=dict)

    def read(self, segment: int, store_ms: float) -> StoredValue | Absent:
        if segment not in self.values:
            return Absent(str(segment))
        version, text = self.values[segment]
        return StoredValue(str(segment), version, text, store_ms)

    def swap(self, call: SwapSegment) -> Swapped | Conflict:
        version = self.values.get(call.segment, (0, ''))[0]
        if self.fenced and version != call.expected_version:
            return Conflict(version)
        self.values[call.segment] = (version + 1, call.text)
        return Swapped(version + 1)


@dataclass
class Call:
    """Store call in flight."""

    daemon: int
    command: ReadSegment | SwapSegment


@dataclass
class ClaimsSimulation:
    """Simulate daemons, callers and backend servers; ``advance`` moves the time."""

    daemons: int = 2
    store: FakeStore = field(default_factory=FakeStore)
    now_ms: float = 0
    is_store_out: bool = False
    finishes: bool = True

    def __post_init__(self):
        self.registries = [
            ClaimRegistry(f'entry-{index}#1') for index in range(self.daemons)
        ]
        self.dead: set[int] = set()
        self.paused: set[int] = set()
        self.crash_before_send: set[int] = set()
        self.crash_after_send: set[int] = set()
        self.calls: list[Call] = []
        self.late_swaps: list[SwapSegment] = []
        self.requested: dict[int, tuple[int, str]] = {}
        self.decisions: dict[int, object] = {}
        self.runs: list[tuple[int, str]] = []
        self.granted: list[tuple[int, Granted]] = []
        self.deferred_events: dict[int, list[tuple]] = {}
        self.store_calls = 0

    def request_claim(self, daemon: int, key: str = 'k', body: str = 'body') -> int:
        ticket = len(self.requested) + 1
        self.requested[ticket] = (daemon, key)
        deadline_ms = self.now_ms + TIMEOUT_MS
        digest = digest_key('caller', key)
        self.step(
            daemon,
            ClaimRequested(self.now_ms, ticket, digest, body, deadline_ms),
            ticket,
        )
        return ticket

    def step(self, daemon: int, event, ticket: int = 0) -> None:
        if daemon in self.dead:
            return
        if daemon in self.paused:
            self.deferred_events.setdefault(daemon, []).append((event, ticket))
            return
        for command in self.registries[daemon].step(event):
            match command:
                case Decided(decided_ticket, decision):
                    self._record_decision(daemon, decided_ticket, decision)
                case ReadSegment() | SwapSegment():
                    self.calls.append(Call(daemon, command))

    def resume(self, daemon: int) -> None:
        self.paused.discard(daemon)
        for event, ticket in self.deferred_events.pop(daemon, []):
            delayed = type(event)(
                self.now_ms,
                *[getattr(event, name) for name in event.__slots__ if name != 'now_ms'],
            )
            self.step(daemon, delayed, ticket)

    def advance(self, step_ms: float) -> None:
        self.now_ms += step_ms
        for daemon in range(self.daemons):
            self.step(daemon, ClaimTick(self.now_ms))

    def answer(self, index: int = 0, fault: Fault = Fault.NONE) -> None:
        """Process one store call, with a fault."""
        call = self.calls.pop(index)
        self.store_calls += 1
        if self.is_store_out:
            fault = Fault.REFUSED
        self.step(call.daemon, self._reach_store(call.command, fault))

    def apply_late_swaps(self) -> None:
        """Apply the delayed swaps whose callers have given up."""
        for command in self.late_swaps:
            self.store.swap(command)
        self.late_swaps = []

    def settle(self, rounds: int = 40) -> None:
        """Answer all calls without faults for a number of rounds."""
        for _ in range(rounds):
            while self.calls:
                self.answer()
            self.advance(20)

    def false_refusals(self) -> list[int]:
        """Return the tickets rejected as not run whose request has run."""
        ran = {ticket for ticket, _ in self.runs}
        refusals = (StoreUnavailable, Mismatch)
        return [
            ticket
            for ticket, decision in self.decisions.items()
            if isinstance(decision, refusals) and ticket in ran
        ]

    def keys_run_twice(self) -> list[str]:
        """Return the keys that have run more than once."""
        keys = [key for _, key in self.runs]
        return sorted({key for key in keys if keys.count(key) > 1})

    def _reach_store(self, command, fault: Fault):
        segment = command.segment
        if isinstance(command, ReadSegment):
            return SegmentRead(self.now_ms, segment, self._read(segment, fault))
        return SegmentSwapped(self.now_ms, segment, self._swap(command, fault))

    def _read(self, segment: int, fault: Fault):
        if fault is Fault.NONE:
            return self.store.read(segment, STORE_EPOCH_MS + self.now_ms)
        return unanswered('store.read', maybe_applied=fault is not Fault.REFUSED)

    def _swap(self, command: SwapSegment, fault: Fault):
        match fault:
            case Fault.NONE:
                return self.store.swap(command)
            case Fault.REFUSED:
                return unanswered('store.swap', maybe_applied=False)
            case Fault.LOST_ANSWER:
                self.store.swap(command)
            case Fault.APPLIED_LATE:
                self.late_swaps.append(command)
        return unanswered('store.swap')

    def _record_decision(self, daemon: int, ticket: int, decision) -> None:
        assert ticket not in self.decisions, 'one decision per ticket'
        self.decisions[ticket] = decision
        if isinstance(decision, Granted):
            self.granted.append((ticket, decision))
            self._send(daemon, ticket, decision)

    def _send(self, daemon: int, ticket: int, granted: Granted) -> None:
        if daemon in self.crash_before_send:
            self.dead.add(daemon)
            return
        if not granted.may_send(self.now_ms):
            self.step(daemon, RequestNotRun(self.now_ms, granted))
            return
        self.runs.append((ticket, self.requested[ticket][1]))
        if daemon in self.crash_after_send:
            self.dead.add(daemon)
        elif self.finishes:
            self.step(
                daemon, RequestFinished(self.now_ms, granted, f'outcome {ticket}')
            )
