"""Cost of the configuration by its size, and of concurrent operators.

Run with ``python -m benchmarks.configuration``; prints JSON. The store is in memory,
with a fixed latency for concurrent operators; the configuration log is the
production class. The size of the configuration as a single value is given for
comparison.
"""

import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass

from cowsliploom.adapters import SystemClock
from cowsliploom.ports import Clock
from cowsliploom.resources import (
    Accepted,
    Change,
    ConfigurationLog,
    ConfigurationView,
    DataCentreSpec,
    DataCentreState,
    Kind,
    Resource,
    ServerSpec,
    ServiceSpec,
    encode_configuration,
)
from cowsliploom.standins import MemoryStore

STORE_LATENCY_MS = 4  # network round trip and the store's processing
SIZES = (100, 1000, 4000, 12_000)
SERVERS_PER_SERVICE = 8
SERVICES_PER_CHANGE = 500  # more services would make request bodies over 2 MB
OPERATORS = (1, 2, 4, 8)
RACE_S = 5
THINK_MS = (0, 500)  # without pause, and two changes per second and operator
CHANGES = 20
DEADLINE_MS = 20_000
CALL_TIMEOUT_MS = 1000
MS_PER_S = 1000


class DelayedStore(MemoryStore):
    """In-memory store with a fixed latency, like that of a remote store."""

    def read(self, key, timeout_ms):  # type: ignore[no-untyped-def]
        """Read a key after the latency."""
        pause(STORE_LATENCY_MS)
        return super().read(key, timeout_ms)

    def swap(  # type: ignore[no-untyped-def]
        self, key, text, expected_version, timeout_ms
    ):
        """Write a key after the latency, if its version is the expected one."""
        pause(STORE_LATENCY_MS)
        return super().swap(key, text, expected_version, timeout_ms)


@dataclass(frozen=True)
class SizeCosts:
    """Hold the costs at one configuration size."""

    servers: int
    one_value_bytes: int
    largest_chunk_bytes: int
    head_bytes: int
    read_whole_cpu_ms: float
    change_cpu_ms: float
    change_calls: float
    follow_change_cpu_ms: float
    follow_change_calls: float


@dataclass(frozen=True)
class RaceResult:
    """Hold the results of operators that change the configuration concurrently."""

    operators: int
    think_ms: float
    accepted_per_s: float
    refused: int
    calls_per_accepted: float
    p50_ms: float
    worst_ms: float


def pause(wait_ms: float) -> None:
    """Block the thread for ``wait_ms`` milliseconds."""
    threading.Event().wait(wait_ms / MS_PER_S)


def open_log(store: MemoryStore, clock: Clock, seed: int) -> ConfigurationLog:
    """Return a separate log on the store, as each daemon has one."""
    return ConfigurationLog(store, clock, pause, random.Random(seed), CALL_TIMEOUT_MS)


def make_service(number: int, slots: int = 2) -> Resource:
    """Return a service whose servers have names and addresses of typical length."""
    servers = tuple(
        ServerSpec(
            f'service-{number:05}-{replica}',
            f'10.{number // 250}.{number % 250}.{replica + 1}:9000',
            'gogledd',
            '2026-12-04.1',
        )
        for replica in range(SERVERS_PER_SERVICE)
    )
    return Resource(
        Kind.SERVICE, f'service-{number:05}', ServiceSpec(servers, slots, 25, 6)
    )


def fill_configuration(log: ConfigurationLog, servers: int) -> None:
    """Declare a data centre, and services with ``servers`` servers in total."""
    data_centre = Resource(Kind.DATA_CENTRE, 'gogledd', DataCentreSpec())
    log.apply(Change('place', (data_centre,)), log.clock.now_ms() + DEADLINE_MS)
    services = [make_service(each) for each in range(servers // SERVERS_PER_SERVICE)]
    for first in range(0, len(services), SERVICES_PER_CHANGE):
        change = Change(
            f'fill-{first}', tuple(services[first : first + SERVICES_PER_CHANGE])
        )
        outcome = log.apply(change, log.clock.now_ms() + DEADLINE_MS)
        if not isinstance(outcome, Accepted):
            raise RuntimeError(f'fill: got {outcome}, expected Accepted')


def count_calls(store: MemoryStore) -> int:
    """Return the number of store calls so far."""
    counters = store.counters
    return counters.reads + counters.swaps + counters.watches


def cpu_ms() -> float:
    """Return the processor time of this thread, in milliseconds."""
    return time.thread_time() * MS_PER_S


def read_whole(store: MemoryStore, clock: Clock) -> ConfigurationView:
    """Read the whole configuration, as a daemon does at its start."""
    view = open_log(store, clock, 1).read()
    if not isinstance(view, ConfigurationView):
        raise TypeError(f'read: got {view}, expected a view')
    return view


def measure_size(servers: int) -> SizeCosts:
    """Measure reading, changing and watching a configuration of one size."""
    clock = SystemClock()
    store = MemoryStore(clock)
    writer = open_log(store, clock, 1)
    fill_configuration(writer, servers)
    start_cpu_ms = cpu_ms()
    view = read_whole(store, clock)
    read_cpu_ms = cpu_ms() - start_cpu_ms
    start_cpu_ms, calls = cpu_ms(), count_calls(store)
    for attempt in range(CHANGES):
        change = Change(f'change-{attempt}', (make_service(attempt, slots=3),))
        writer.apply(change, clock.now_ms() + DEADLINE_MS)
    change_cpu_ms = (cpu_ms() - start_cpu_ms) / CHANGES
    change_calls = (count_calls(store) - calls) / CHANGES
    follow_cpu_ms, follow_calls = measure_following(store, clock, writer)
    stored = store.state._values.items()  # noqa: SLF001
    values = {key: len(each.value) for key, each in stored}
    head = values.pop('config/head')
    return SizeCosts(
        servers,
        len(encode_configuration(view.configuration)),
        max(values.values()),
        head,
        round(read_cpu_ms, 2),
        round(change_cpu_ms, 2),
        change_calls,
        round(follow_cpu_ms, 2),
        follow_calls,
    )


def measure_following(
    store: MemoryStore, clock: Clock, writer: ConfigurationLog
) -> tuple[float, float]:
    """Return the processor time and store calls of a watching daemon per change."""
    follower = open_log(store, clock, 2)
    follower.read()
    spent_ms, calls = float(0), 0
    for attempt in range(CHANGES):
        change = Change(f'follow-{attempt}', (make_service(attempt, slots=4),))
        writer.apply(change, clock.now_ms() + DEADLINE_MS)
        start_cpu_ms, before = cpu_ms(), count_calls(store)
        follower.wait(1)
        spent_ms += cpu_ms() - start_cpu_ms
        calls += count_calls(store) - before
    return spent_ms / CHANGES, calls / CHANGES


def run_operator(store: MemoryStore, operator: int, think_ms: float) -> list[float]:
    """Change one resource for ``RACE_S``; return latencies, -1 if not accepted."""
    rng = random.Random(operator)
    clock = SystemClock()
    log = open_log(store, clock, operator)
    end_ms = clock.now_ms() + RACE_S * MS_PER_S
    latencies = []
    number = 0
    while clock.now_ms() < end_ms:
        number += 1
        state = DataCentreState.OUT if number % 2 else DataCentreState.IN
        resource = Resource(
            Kind.DATA_CENTRE, f'place-{operator}', DataCentreSpec(state)
        )
        started_ms = clock.now_ms()
        change = Change(f'{operator}-{number}', (resource,))
        outcome = log.apply(change, started_ms + DEADLINE_MS)
        accepted = isinstance(outcome, Accepted)
        latencies.append(clock.now_ms() - started_ms if accepted else -1)
        pause(rng.uniform(0, 2 * think_ms))
    return latencies


def measure_race(operators: int, think_ms: float) -> RaceResult:
    """Measure operators that change different resources concurrently.

    ``think_ms`` is the mean pause of an operator between two changes. With 0 the
    store is always busy, and one operator may win every conflict.
    """
    store = DelayedStore(SystemClock())
    with ThreadPoolExecutor(operators) as threads:
        operator_runs = [
            threads.submit(run_operator, store, operator, think_ms)
            for operator in range(operators)
        ]
        latencies = [each for run in operator_runs for each in run.result()]
    accepted = sorted(each for each in latencies if each >= 0)
    return RaceResult(
        operators,
        think_ms,
        round(len(accepted) / RACE_S, 1),
        len(latencies) - len(accepted),
        round(count_calls(store) / len(accepted), 2),
        round(accepted[len(accepted) // 2], 1),
        round(accepted[-1], 1),
    )


def main() -> None:
    """Measure all sizes and numbers of operators, and print the results."""
    results = {
        'store_ms': STORE_LATENCY_MS,
        'sizes': [asdict(measure_size(servers)) for servers in SIZES],
        'races': [
            asdict(measure_race(operators, think_ms))
            for think_ms in THINK_MS
            for operators in OPERATORS
        ],
    }
    print(json.dumps(results, indent=2))


if __name__ == '__main__':
    main()
