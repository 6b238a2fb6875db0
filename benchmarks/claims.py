"""Store calls of claims: any daemon as writer compared with one writer per segment.

Run with ``python -m benchmarks.claims``; prints JSON and a short table. The
store is simulated with a fixed latency; the claim books are the production class.
"""

import heapq
import itertools
import json
import random
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from enum import StrEnum

import click

from cowsliploom.coordination import (
    ClaimRegistry,
    ClaimRequested,
    ClaimTick,
    Decided,
    Granted,
    ReadSegment,
    RequestFinished,
    SegmentRead,
    SegmentSwapped,
    SwapSegment,
    digest_key,
)
from cowsliploom.coordination._claims import ClaimCommand, ClaimEvent, choose_segment
from cowsliploom.ports import Absent, Conflict, Swapped
from cowsliploom.protocol import StoredValue

STORE_LATENCY_MS = 4  # network round trip and the store's processing
BOOKING_MS = 50  # time of a backend server for a booking
FORWARD_MS = 3  # round trip to the segment's writer, when that is another daemon
TICK_MS = 250
DEADLINE_MS = 5000
P99 = 0.99


class Policy(StrEnum):
    """Which daemons write a segment."""

    ANY = 'any daemon'
    ONE = 'one writer'


@dataclass(frozen=True)
class Load:
    """Describe the load of one run."""

    policy: Policy
    daemons: int
    claims_per_s: int
    seconds: int


@dataclass(frozen=True)
class RunResult:
    """Hold the results of one run."""

    policy: Policy
    daemons: int
    claims_per_s: int
    granted: int
    reads_per_s: float
    swaps_per_s: float
    conflicts_per_s: float
    claim_median_ms: float
    claim_p99_ms: float


class EventQueue:
    """Queue of pending events and commands, ordered by time."""

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, int, ClaimEvent | ClaimCommand]] = []
        self._order = itertools.count()

    def __bool__(self) -> bool:
        """Return whether an entry is pending."""
        return bool(self._queue)

    def push(self, at_ms: float, daemon: int, event: ClaimEvent | ClaimCommand) -> None:
        """Add an event or command of a daemon."""
        heapq.heappush(self._queue, (at_ms, next(self._order), daemon, event))

    def pop(self) -> tuple[float, int, ClaimEvent | ClaimCommand]:
        """Remove the earliest entry and return its time, daemon and event."""
        at_ms, _, daemon, event = heapq.heappop(self._queue)
        return at_ms, daemon, event


@dataclass
class RunStats:
    """Hold the counts of store calls and the latencies of claims."""

    reads: int = 0
    swaps: int = 0
    conflicts: int = 0
    latencies_ms: list[float] = field(default_factory=list)


class Simulation:
    """Run one load in simulated time."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.claim_books = [
            ClaimRegistry(f'entry-{idx}#1') for idx in range(load.daemons)
        ]
        self.values: dict[int, tuple[int, str]] = {}
        self.events = EventQueue()
        self.stats = RunStats()

    def run(self) -> RunResult:
        """Run the load and return its results."""
        self._schedule_events()
        while self.events:
            now_ms, daemon, event = self.events.pop()
            if isinstance(event, (ReadSegment, SwapSegment)):
                self.events.push(
                    now_ms + STORE_LATENCY_MS / 2,
                    daemon,
                    self._call_store(now_ms, event),
                )
            elif not isinstance(event, Decided):
                self._execute(now_ms, daemon, self.claim_books[daemon].step(event))
        return self._summarise()

    def _schedule_events(self) -> None:
        end_ms = self.load.seconds * 1000
        now_ms = self.rng.expovariate(self.load.claims_per_s) * 1000
        for ticket in itertools.count(1):
            if now_ms >= end_ms:
                break
            key = digest_key('caller', str(ticket))
            asked = ClaimRequested(now_ms, ticket, key, 'body', now_ms + DEADLINE_MS)
            self.events.push(now_ms, self._writer(key), asked)
            now_ms += self.rng.expovariate(self.load.claims_per_s) * 1000
        for tick_ms in range(0, end_ms + DEADLINE_MS, TICK_MS):
            for daemon in range(self.load.daemons):
                self.events.push(tick_ms, daemon, ClaimTick(tick_ms))

    def _writer(self, key: str) -> int:
        if self.load.policy is Policy.ONE:
            return choose_segment(key) % self.load.daemons
        return self.rng.randrange(self.load.daemons)

    def _execute(
        self, now_ms: float, daemon: int, commands: Iterable[ClaimCommand]
    ) -> None:
        for command in commands:
            match command:
                case Decided(decision=Granted() as granted):
                    forward_ms = FORWARD_MS if self.load.policy is Policy.ONE else 0
                    requested_ms = granted.send_by_ms - DEADLINE_MS
                    self.stats.latencies_ms.append(now_ms - requested_ms + forward_ms)
                    done_ms = now_ms + BOOKING_MS
                    self.events.push(
                        done_ms, daemon, RequestFinished(done_ms, granted, 'done')
                    )
                case ReadSegment() | SwapSegment():
                    self.events.push(now_ms + STORE_LATENCY_MS / 2, daemon, command)

    def _call_store(
        self, now_ms: float, command: ReadSegment | SwapSegment
    ) -> ClaimEvent:
        answered_ms = now_ms + STORE_LATENCY_MS / 2
        if isinstance(command, SwapSegment):
            swapped = self._swap(command)
            return SegmentSwapped(answered_ms, command.segment, swapped)
        self.stats.reads += 1
        return SegmentRead(
            answered_ms, command.segment, self._read(now_ms, command.segment)
        )

    def _read(self, now_ms: float, segment: int) -> StoredValue | Absent:
        if segment not in self.values:
            return Absent(str(segment))
        version, text = self.values[segment]
        return StoredValue(str(segment), version, text, 1 + now_ms)

    def _swap(self, command: SwapSegment) -> Swapped | Conflict:
        self.stats.swaps += 1
        version = self.values.get(command.segment, (0, ''))[0]
        if version != command.expected_version:
            self.stats.conflicts += 1
            return Conflict(version)
        self.values[command.segment] = (version + 1, command.text)
        return Swapped(version + 1)

    def _summarise(self) -> RunResult:
        latencies = sorted(self.stats.latencies_ms)
        seconds = self.load.seconds
        return RunResult(
            policy=self.load.policy,
            daemons=self.load.daemons,
            claims_per_s=self.load.claims_per_s,
            granted=len(latencies),
            reads_per_s=self.stats.reads / seconds,
            swaps_per_s=self.stats.swaps / seconds,
            conflicts_per_s=self.stats.conflicts / seconds,
            claim_median_ms=latencies[len(latencies) // 2],
            claim_p99_ms=latencies[int(len(latencies) * P99)],
        )


@click.command()
@click.option('--seconds', default=10, help='Simulated seconds of each run.')
@click.option('--seed', default=1, help='Seed of the arrivals.')
def main(seconds: int, seed: int) -> None:
    """Run all loads and print the results."""
    sizes = itertools.product((8, 32, 128), (20, 100, 500), Policy)
    loads = [
        Load(policy, daemons, claims_per_s, seconds)
        for daemons, claims_per_s, policy in sizes
    ]
    results = [Simulation(load, seed).run() for load in loads]
    print(json.dumps([asdict(row) for row in results], indent=1))
    print('policy      daemons claims/s  reads/s  swaps/s conflicts/s  ms median  p99')
    for row in results:
        print(
            f'{row.policy:11} {row.daemons:7} {row.claims_per_s:8} '
            f'{row.reads_per_s:8.1f} {row.swaps_per_s:8.1f} '
            f'{row.conflicts_per_s:11.1f} {row.claim_median_ms:10.1f} '
            f'{row.claim_p99_ms:5.1f}'
        )


if __name__ == '__main__':
    main()
