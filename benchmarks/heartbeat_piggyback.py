"""Weigh piggybacked heartbeats and delayed join against dedicated probes.

Three ways to know who lives, in one data centre of a given size:

* ``probes``: the membership as built, with probes on pseudo-random rings;
* ``ages``: the paper's bounded tax, put on the same frames: each carries how long
  ago every member was heard of, and the receiver keeps the smaller ages;
* ``broadcast``: the paper's periodic processes without a broadcast medium, where
  each member calls each other one in every period.

Prints JSON. Run: ``python -m benchmarks.heartbeat_piggyback [--quick]``.

References
----------
M. Clegg, K. Marzullo, "A Low-Cost Processor Group Membership Protocol for a Hard
Real-Time Distributed System", University of California, San Diego.
"""

import itertools
import json
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from benchmarks.fleet_measure import MS_PER_S, Meter, measure_call, timed_fleet
from benchmarks.membership_slopes import knows, measure_detection
from cowsliploom.coordination import Member, MembershipSettings, MemberUpdate
from cowsliploom.coordination._view import DataCentreView

SIZES = (8, 32, 128, 325)
QUICK_SIZES = (8, 32)
SETTLE_MS = 20_000
MEASURE_MS = 20_000
AGE_BYTES = 2  # in units of 10 ms, as wide as two minutes; order replaces names
JOIN_WAIT_MS = 20_000
NS_PER_MS = 1_000_000

Row = dict[str, Any]


@dataclass(slots=True)
class _Hearer:
    """Hold when each member was last heard of, by a common clock."""

    successors: list[int]
    heard_ms: list[float]
    turn: int = 0
    worst_age_ms: float = field(default=0)


class AgeFleet:
    """Exchange the ages of all members on the frames of the ring probes.

    Parameters
    ----------
    size : int
        Number of members.
    settings : MembershipSettings
        Gives the probe interval and the rings.
    seed : int
        Seed of the generator.
    """

    def __init__(self, size: int, settings: MembershipSettings, seed: int) -> None:
        self.size = size
        self.settings = settings
        self.random = random.Random(seed)
        self.frames = 0
        self.merge_ns = 0
        names = [f'vm-{number}' for number in range(size)]
        self.members = [
            _Hearer(
                _ring_successors(names, number, settings.rings),
                list(itertools.repeat(0, size)),
            )
            for number in range(size)
        ]

    def run(self, span_ms: float) -> None:
        """Let each member probe in each interval, at a random time of its own."""
        interval_ms = self.settings.probe_interval_ms
        start_ms: float = 0
        while start_ms < span_ms:
            moments = sorted(
                (start_ms + self.random.uniform(0, interval_ms), number)
                for number in range(self.size)
            )
            for now_ms, number in moments:
                self._exchange(now_ms, number)
            start_ms += interval_ms

    def worst_age_ms(self) -> float:
        """Return the highest age of a member that ran all the time."""
        return max(member.worst_age_ms for member in self.members)

    def _exchange(self, now_ms: float, number: int) -> None:
        prober = self.members[number]
        prober.turn += 1
        target_number = prober.successors[prober.turn % len(prober.successors)]
        target = self.members[target_number]
        prober.heard_ms[number] = now_ms
        target.heard_ms[target_number] = now_ms
        start_ns = time.thread_time_ns()
        merged = list(map(max, prober.heard_ms, target.heard_ms))
        self.merge_ns += time.thread_time_ns() - start_ns
        for member in (prober, target):
            if now_ms > SETTLE_MS:
                age_ms = now_ms - min(member.heard_ms)
                member.worst_age_ms = max(member.worst_age_ms, age_ms)
            member.heard_ms = merged.copy()
        self.frames += 2


def _ring_successors(names: list[str], number: int, rings: int) -> list[int]:
    view = DataCentreView(len(names))
    for name in names:
        view.merge(MemberUpdate(Member(name, '', 'dc')))
    chosen = view.ring_successors(names[number], rings)
    return [names.index(member.name) for member in chosen]


def measure_probes(size: int) -> Row:
    """Return bytes and detection time of the membership as built, when quiet."""
    loop = timed_fleet(('dc',) * size)
    meter = Meter(loop)
    loop.run(SETTLE_MS)
    meter.reset()
    loop.run(MEASURE_MS)
    sent = sum(meter.sent_bytes.values()) / size / MEASURE_MS * MS_PER_S
    loop.start('joiner', 'dc', seeds=loop.listed())
    join_ms = loop.run_until(
        lambda: all(knows(vm, 'joiner') for vm in loop.vms.values()), JOIN_WAIT_MS, 10
    )
    first_gone_ms, last_gone_ms = measure_detection(loop)
    return {
        'payload_bytes_per_s': round(sent),
        'first_detection_ms': round(first_gone_ms),
        'last_detection_ms': round(last_gone_ms),
        'join_spread_ms': round(join_ms),
    }


def measure_ages(size: int, settings: MembershipSettings) -> Row:
    """Return bytes and the detection time that spares the same freezes."""
    fleet = AgeFleet(size, settings, seed=1)
    fleet.run(SETTLE_MS + MEASURE_MS)
    span_s = (SETTLE_MS + MEASURE_MS) / MS_PER_S
    frames = fleet.frames / size / span_s
    return {
        'extra_bytes_per_s': round(frames * size * AGE_BYTES),
        'merge_ms_per_s': round(fleet.merge_ns / NS_PER_MS / size / span_s, 3),
        'worst_age_ms': round(fleet.worst_age_ms()),
        'detection_ms': round(fleet.worst_age_ms() + settings.suspicion_ms),
    }


def measure_broadcast(
    size: int, settings: MembershipSettings, call_ms: float, call_bytes: float
) -> Row:
    """Return what calling each other member in each period costs."""
    calls = (size - 1) * MS_PER_S / settings.probe_interval_ms
    return {
        'calls_per_s': round(calls),
        'processor_percent': round(calls * call_ms / 10, 1),
        'bytes_per_s': round(calls * call_bytes),
    }


def main() -> None:
    """Measure all sizes and print them."""
    settings = MembershipSettings()
    cost = measure_call()
    rows = []
    for size in QUICK_SIZES if '--quick' in sys.argv else SIZES:
        row = {
            'size': size,
            'probes': measure_probes(size),
            'ages': measure_ages(size, settings),
            'broadcast': measure_broadcast(
                size, settings, cost.processor_ms, cost.overhead_bytes
            ),
            'hold_off_ms': round(settings.hold_off_ms),
        }
        rows.append(row)
        print(json.dumps(row), file=sys.stderr)
    print(json.dumps({'rows': rows}, indent=2))


if __name__ == '__main__':
    main()
