"""Store calls, and time until a change is in force, by fleet size.

Prints JSON. Run: ``python -m benchmarks.store_calls``.
"""

import functools
import json

from cowsliploom.coordination.tests.configuration_store import (
    ConfigurationStore,
    RevisionChecker,
)
from cowsliploom.coordination.tests.fleet_loop import FleetLoop, start_fleet

SIZES = (4, 8, 16, 32, 64)
SETTLE_MS = 60_000
CHANGES = 40
CHANGE_INTERVAL_MS = 17_600  # 4,900 changes of configuration a day
TIMEOUT_MS = 8000
STEP_MS = 20
MS_PER_MINUTE = 60_000


def measure(size: int) -> dict[str, float]:
    """Return the metrics of one data centre with ``size`` daemons."""
    loop = start_fleet(FleetLoop(seed=1), ('dc',) * size)
    store = ConfigurationStore(loop)
    judge = RevisionChecker(loop)
    loop.run(SETTLE_MS)
    store.counts.clear()
    start_ms = loop.now_ms
    delays_ms = []
    for _ in range(CHANGES):
        store.write()
        in_force = functools.partial(judge.in_force, store.revision)
        delay_ms = loop.run_until(in_force, TIMEOUT_MS, STEP_MS)
        delays_ms.append(delay_ms)
        loop.run(CHANGE_INTERVAL_MS - delay_ms)
    minutes = (loop.now_ms - start_ms) / MS_PER_MINUTE
    return {
        'size': size,
        'calls_per_minute': round(store.counts.total() / minutes, 1),
        'watches_per_minute': round(store.counts['watch'] / minutes, 1),
        'polls_per_minute': round(store.counts['poll'] / minutes, 1),
        'in_force_median_ms': sorted(delays_ms)[CHANGES // 2],
        'in_force_worst_ms': max(delays_ms),
    }


def main() -> None:
    """Measure all fleet sizes and print the results."""
    print(json.dumps([measure(size) for size in SIZES], indent=2))


if __name__ == '__main__':
    main()
