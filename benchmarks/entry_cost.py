"""Measure the cost of one entry daemon: idle, and per sub-request.

Run as ``python -m benchmarks.entry_cost``. Prints JSON: processor time
and resident memory from ``/proc``, and the latency of sequential searches. The
idle cost is that of the control plane: probes, membership, the configuration
watch, and the claims and version move tasks with no work.
"""

import json
import os
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from benchmarks._deployment import Deployment
from tests.processes.fleet import Daemon
from tests.processes.shape import Shape
from tests.processes.world import World

SETTLE_S = 12  # covers the ownership hold-off and the first probes
IDLE_S = 10
SEARCHES = 400
US_PER_S = 1_000_000
PERCENT = 100
KB_PER_MB = 1024
UTIME_FIELD = 11  # index after the closing bracket of the command in /proc/PID/stat
STIME_FIELD = 12


@dataclass(frozen=True, slots=True)
class EntryCost:
    """Hold the costs of one entry daemon."""

    servers: int
    services: int
    idle_core_percent: float
    resident_mb: float
    us_per_sub_request: float
    median_ms: float


def read_processor_s(daemon: Daemon) -> float:
    """Return the processor time used by a process, in seconds."""
    stat = Path(f'/proc/{daemon.process.pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def read_resident_mb(daemon: Daemon) -> float:
    """Return the resident memory of a process, in megabytes."""
    status = Path(f'/proc/{daemon.process.pid}/status').read_text()
    lines = [line for line in status.splitlines() if line.startswith('VmRSS')]
    return int(lines[0].split()[1]) / KB_PER_MB


def measure_idle(entry: Daemon) -> float:
    """Return the processor use of an idle entry daemon, in percent of a core."""
    before_s = read_processor_s(entry)
    time.sleep(IDLE_S)
    return (read_processor_s(entry) - before_s) / IDLE_S * PERCENT


def measure_searches(world: World, entry: Daemon) -> tuple[float, list[float]]:
    """Return the processor time of all searches in seconds, and sorted latencies."""
    before_s = read_processor_s(entry)
    times_ms: list[float] = []
    for _ in range(SEARCHES):
        started_s = time.monotonic()
        reply = world.search(entry, 'sour line')
        times_ms.append((time.monotonic() - started_s) * 1000)
        if reply.status != 200:
            raise RuntimeError(f'search: got status {reply.status}, expected 200')
    return read_processor_s(entry) - before_s, sorted(times_ms)


def measure(world: World) -> EntryCost:
    """Measure one adaptive entry daemon."""
    entry = next(each for each in world.entries if each.name == 'adaptive-0')
    time.sleep(SETTLE_S)
    idle_percent = measure_idle(entry)
    busy_s, times_ms = measure_searches(world, entry)
    idle_s = sum(times_ms) / 1000 * idle_percent / PERCENT
    sub_requests = SEARCHES * world.shape.services
    return EntryCost(
        len(world.addresses),
        world.shape.services,
        round(idle_percent, 2),
        round(read_resident_mb(entry), 1),
        round((busy_s - idle_s) / sub_requests * US_PER_S, 1),
        round(times_ms[len(times_ms) // 2], 1),
    )


def main() -> None:
    """Measure an entry daemon and print its costs."""
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(folder, Shape()) as world:
            world.apply_shape()
            print(json.dumps(asdict(measure(world)), indent=1))


if __name__ == '__main__':
    main()
