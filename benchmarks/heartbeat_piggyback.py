"""Compare piggybacked heartbeats and delayed join with dedicated probes.

Three failure detectors, in one data centre of a given size:

* ``probes``: the membership as implemented, with probes on pseudo-random rings;
* ``ages``: the paper's bounded tax, piggybacked on the same frames: each frame
  carries the age of the last sign of life of every member, and the receiver keeps
  the smaller age of each;
* ``broadcast``: the paper's periodic processes without a broadcast medium, where
  each member calls every other one in every period.

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

from benchmarks.fleet_measure import MS_PER_S, Meter, measure_call, start_timed_fleet
from benchmarks.membership_slopes import is_held_live, measure_detection
from cowsliploom.coordination import Member, MembershipSettings, MemberUpdate
from cowsliploom.coordination._view import DataCentreView

SIZES = (8, 32, 128, 325)
QUICK_SIZES = (8, 32)
SETTLE_MS = 20_000
MEASURE_MS = 20_000
AGE_BYTES = 2  # units of 10 ms reach two minutes; names are implied by the order
JOIN_WAIT_MS = 20_000
NS_PER_MS = 1_000_000

Row = dict[str, Any]


@dataclass(slots=True)
class _AgeMember:
    """Hold when each member was last seen alive, on a common clock."""

    successors: list[int]
    last_seen_ms: list[float]
    turn: int = 0
    worst_age_ms: float = field(default=0)


class AgeFleet:
    """Exchange the ages of all members on the frames of the ring probes.

    Parameters
    ----------
    size : int
        Number of members.
    settings : MembershipSettings
        Source of the probe interval and the number of rings.
    seed : int
        Seed of the random generator.
    """

    def __init__(self, size: int, settings: MembershipSettings, seed: int) -> None:
        self.size = size
        self.settings = settings
        self.random = random.Random(seed)
        self.frames = 0
        self.merge_ns = 0
        names = [f'vm-{number}' for number in range(size)]
        self.members = [
            _AgeMember(
                _ring_successors(names, number, settings.rings),
                list(itertools.repeat(0, size)),
            )
            for number in range(size)
        ]

    def run(self, span_ms: float) -> None:
        """Let each member probe once per interval, at an independent random time."""
        interval_ms = self.settings.probe_interval_ms
        start_ms: float = 0
        while start_ms < span_ms:
            probe_times = sorted(
                (start_ms + self.random.uniform(0, interval_ms), number)
                for number in range(self.size)
            )
            for now_ms, number in probe_times:
                self._exchange(now_ms, number)
            start_ms += interval_ms

    def worst_age_ms(self) -> float:
        """Return the highest age seen of a member, all of which run throughout."""
        return max(member.worst_age_ms for member in self.members)

    def _exchange(self, now_ms: float, number: int) -> None:
        prober = self.members[number]
        prober.turn += 1
        target_number = prober.successors[prober.turn % len(prober.successors)]
        target = self.members[target_number]
        prober.last_seen_ms[number] = now_ms
        target.last_seen_ms[target_number] = now_ms
        start_ns = time.thread_time_ns()
        merged = list(map(max, prober.last_seen_ms, target.last_seen_ms))
        self.merge_ns += time.thread_time_ns() - start_ns
        for member in (prober, target):
            if now_ms > SETTLE_MS:
                age_ms = now_ms - min(member.last_seen_ms)
                member.worst_age_ms = max(member.worst_age_ms, age_ms)
            member.last_seen_ms = merged.copy()
        self.frames += 2


def _ring_successors(names: list[str], number: int, rings: int) -> list[int]:
    view = DataCentreView(len(names))
    for name in names:
        view.merge(MemberUpdate(Member(name, '', 'dc')))
    chosen = view.ring_successors(names[number], rings)
    return [names.index(member.name) for member in chosen]


def measure_probes(size: int) -> Row:
    """Return the idle traffic, detection and join time of the actual membership."""
    loop = start_timed_fleet(('dc',) * size)
    meter = Meter(loop)
    loop.run(SETTLE_MS)
    meter.reset()
    loop.run(MEASURE_MS)
    sent = sum(meter.sent_bytes.values()) / size / MEASURE_MS * MS_PER_S
    loop.start('joiner', 'dc', seeds=loop.listed())
    join_ms = loop.run_until(
        lambda: all(is_held_live(vm, 'joiner') for vm in loop.vms.values()),
        JOIN_WAIT_MS,
        10,
    )
    first_gone_ms, last_gone_ms = measure_detection(loop)
    return {
        'payload_bytes_per_s': round(sent),
        'first_detection_ms': round(first_gone_ms),
        'last_detection_ms': round(last_gone_ms),
        'join_spread_ms': round(join_ms),
    }


def measure_ages(size: int, settings: MembershipSettings) -> Row:
    """Return bytes, and the detection time that tolerates the same freezes."""
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
    """Return the cost of calling every other member in each period."""
    calls = (size - 1) * MS_PER_S / settings.probe_interval_ms
    return {
        'calls_per_s': round(calls),
        'processor_percent': round(calls * call_ms / 10, 1),
        'bytes_per_s': round(calls * call_bytes),
    }


def main() -> None:
    """Measure all fleet sizes and print the results."""
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
