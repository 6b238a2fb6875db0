"""Store calls of claims: any daemon writes against one writer a segment.

Run with ``python -m benchmarks.claims``; prints JSON and a short table. The
store answers after a fixed time; the claim books are the real ones.
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
    ClaimRequested,
    ClaimRegistry,
    ClaimTick,
    Decided,
    Granted,
    RequestFinished,
    ReadSegment,
    SegmentRead,
    SegmentSwapped,
    SwapSegment,
    digest_key,
)
from cowsliploom.coordination._claims import ClaimCommand, ClaimEvent, choose_segment
from cowsliploom.ports import Absent, Conflict, Swapped
from cowsliploom.protocol import StoredValue

STORE_MS = 4  # one way there and back, and the store's own work
RUN_MS = 50  # a backend server's time for a booking
HOP_MS = 3  # to the segment's writer and back, when that is another daemon
TICK_MS = 250
DEADLINE_MS = 5000
P99 = 0.99


class Policy(StrEnum):
    """Name who writes a segment."""

    ANY = 'any daemon'
    ONE = 'one writer'


@dataclass(frozen=True)
class Load:
    """Describe one run."""

    policy: Policy
    daemons: int
    claims_per_s: int
    seconds: int


@dataclass(frozen=True)
class Figures:
    """Hold the figures of one run."""

    policy: Policy
    daemons: int
    claims_per_s: int
    granted: int
    reads_per_s: float
    swaps_per_s: float
    conflicts_per_s: float
    claim_median_ms: float
    claim_p99_ms: float


class Timeline:
    """Hold what happens later, in order of time."""

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, int, ClaimEvent | ClaimCommand]] = []
        self._order = itertools.count()

    def __bool__(self) -> bool:
        """Tell whether anything is left."""
        return bool(self._queue)

    def push(self, at_ms: float, daemon: int, event: ClaimEvent | ClaimCommand) -> None:
        """Add what happens at a daemon."""
        heapq.heappush(self._queue, (at_ms, next(self._order), daemon, event))

    def pop(self) -> tuple[float, int, ClaimEvent | ClaimCommand]:
        """Take what happens next."""
        at_ms, _, daemon, event = heapq.heappop(self._queue)
        return at_ms, daemon, event


@dataclass
class Tally:
    """Count calls on the store and hold the times of the claims."""

    reads: int = 0
    swaps: int = 0
    conflicts: int = 0
    latencies_ms: list[float] = field(default_factory=list)


class Run:
    """Play one load in simulated time."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.books = [ClaimRegistry(f'entry-{idx}#1') for idx in range(load.daemons)]
        self.values: dict[int, tuple[int, str]] = {}
        self.timeline = Timeline()
        self.tally = Tally()

    def play(self) -> Figures:
        """Play the load and return its figures."""
        self._plan()
        while self.timeline:
            now_ms, daemon, event = self.timeline.pop()
            if isinstance(event, (ReadSegment, SwapSegment)):
                self.timeline.push(
                    now_ms + STORE_MS / 2, daemon, self._answer(now_ms, event)
                )
            elif not isinstance(event, Decided):
                self._perform(now_ms, daemon, self.books[daemon].step(event))
        return self._figures()

    def _plan(self) -> None:
        end_ms = self.load.seconds * 1000
        now_ms = self.rng.expovariate(self.load.claims_per_s) * 1000
        for ticket in itertools.count(1):
            if now_ms >= end_ms:
                break
            key = digest_key('caller', str(ticket))
            asked = ClaimRequested(now_ms, ticket, key, 'body', now_ms + DEADLINE_MS)
            self.timeline.push(now_ms, self._writer(key), asked)
            now_ms += self.rng.expovariate(self.load.claims_per_s) * 1000
        for tick_ms in range(0, end_ms + DEADLINE_MS, TICK_MS):
            for daemon in range(self.load.daemons):
                self.timeline.push(tick_ms, daemon, ClaimTick(tick_ms))

    def _writer(self, key: str) -> int:
        if self.load.policy is Policy.ONE:
            return choose_segment(key) % self.load.daemons
        return self.rng.randrange(self.load.daemons)

    def _perform(
        self, now_ms: float, daemon: int, commands: Iterable[ClaimCommand]
    ) -> None:
        for command in commands:
            match command:
                case Decided(decision=Granted() as granted):
                    hop_ms = HOP_MS if self.load.policy is Policy.ONE else 0
                    asked_ms = granted.send_by_ms - DEADLINE_MS
                    self.tally.latencies_ms.append(now_ms - asked_ms + hop_ms)
                    done_ms = now_ms + RUN_MS
                    self.timeline.push(
                        done_ms, daemon, RequestFinished(done_ms, granted, 'done')
                    )
                case ReadSegment() | SwapSegment():
                    self.timeline.push(now_ms + STORE_MS / 2, daemon, command)

    def _answer(self, now_ms: float, command: ReadSegment | SwapSegment) -> ClaimEvent:
        answered_ms = now_ms + STORE_MS / 2
        if isinstance(command, SwapSegment):
            swapped = self._swap(command)
            return SegmentSwapped(answered_ms, command.segment, swapped)
        self.tally.reads += 1
        return SegmentRead(
            answered_ms, command.segment, self._read(now_ms, command.segment)
        )

    def _read(self, now_ms: float, segment: int) -> StoredValue | Absent:
        if segment not in self.values:
            return Absent(str(segment))
        version, text = self.values[segment]
        return StoredValue(str(segment), version, text, 1 + now_ms)

    def _swap(self, command: SwapSegment) -> Swapped | Conflict:
        self.tally.swaps += 1
        version = self.values.get(command.segment, (0, ''))[0]
        if version != command.expected_version:
            self.tally.conflicts += 1
            return Conflict(version)
        self.values[command.segment] = (version + 1, command.text)
        return Swapped(version + 1)

    def _figures(self) -> Figures:
        ranked = sorted(self.tally.latencies_ms)
        seconds = self.load.seconds
        return Figures(
            policy=self.load.policy,
            daemons=self.load.daemons,
            claims_per_s=self.load.claims_per_s,
            granted=len(ranked),
            reads_per_s=self.tally.reads / seconds,
            swaps_per_s=self.tally.swaps / seconds,
            conflicts_per_s=self.tally.conflicts / seconds,
            claim_median_ms=ranked[len(ranked) // 2],
            claim_p99_ms=ranked[int(len(ranked) * P99)],
        )


@click.command()
@click.option('--seconds', default=10, help='Simulated seconds of each run.')
@click.option('--seed', default=1, help='Seed of arrivals.')
def main(seconds: int, seed: int) -> None:
    """Play all loads and print the figures."""
    sizes = itertools.product((8, 32, 128), (20, 100, 500), Policy)
    loads = [
        Load(policy, daemons, claims_per_s, seconds)
        for daemons, claims_per_s, policy in sizes
    ]
    figures = [Run(load, seed).play() for load in loads]
    print(json.dumps([asdict(row) for row in figures], indent=1))
    print('policy      daemons claims/s  reads/s  swaps/s conflicts/s  ms median  p99')
    for row in figures:
        print(
            f'{row.policy:11} {row.daemons:7} {row.claims_per_s:8} '
            f'{row.reads_per_s:8.1f} {row.swaps_per_s:8.1f} '
            f'{row.conflicts_per_s:11.1f} {row.claim_median_ms:10.1f} '
            f'{row.claim_p99_ms:5.1f}'
        )


if __name__ == '__main__':
    main()
