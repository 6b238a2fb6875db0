"""Compare the routing policy with the baseline under faults, in simulated time.

Run as ``python -m benchmarks.routing_policies``. Prints JSON. Three entry VMs, and
20 services of two servers with two slots each; the overload cases have 8 services.
The load is 200 queries per second, about a fifth of the capacity, with a timeout of
200 ms.
"""

import itertools
import json
import sys
from collections.abc import Callable
from dataclasses import dataclass, fields

from cowsliploom.routing import NaiveRouter, Router, RouterCounters, RouterSettings
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.loop import Loop, summarise

ENTRIES = 3
WARMUP_MS = 1000
FAULT_MS = 2000
END_MS = 6000
DRAIN_MS = 500
QUERIES_PER_S = 200
CAPACITY_PER_S = 900  # four slots per service, about 4.1 ms per call
SEED = 1

Policy = type[Router] | type[NaiveRouter]
Fault = Callable[[Loop], None]
Metrics = dict[str, float]


@dataclass(frozen=True)
class Case:
    """Describe one benchmark case.

    Parameters
    ----------
    straggler_ratio : float
        Share of calls that take 80 ms.
    fault : callable
        Fault that is injected after two seconds.
    per_second : float
        Queries per second over all entry VMs.
    services : int
        Number of services that each query fans out to.
    searches : tuple of str
        Searches that the queries use in turn.
    """

    straggler_ratio: float = 0
    fault: Fault | None = None
    per_second: float = QUERIES_PER_S
    services: int = 20
    searches: tuple[str, ...] = ('briefing',)


def kill_replica(loop: Loop) -> None:
    """Stop one server."""
    loop.servers['s0r0'].is_dead = True


def make_server_cold(loop: Loop) -> None:
    """Restart one server, which leaves it cold."""
    loop.servers['s0r0'].turn_cold('i2')


def make_data_centre_cold(loop: Loop) -> None:
    """Restart all servers of one data centre, which leaves them cold."""
    for server in loop.servers.values():
        if server.replica == 0:
            server.turn_cold('i2')


def slow_servers(loop: Loop) -> None:
    """Make one server in twenty ten times slower."""
    for name in ('s0r0', 's7r1'):
        loop.servers[name].slowdown = 10


MIX = ('urgent', 'briefing', 'idle')
CASES = {
    'fault-free': Case(),
    '1% stragglers': Case(straggler_ratio=0.01),
    '5% stragglers': Case(straggler_ratio=0.05),
    '5% of servers slow': Case(fault=slow_servers),
    'lost replica': Case(fault=kill_replica),
    'cold server': Case(fault=make_server_cold),
    'cold data centre': Case(fault=make_data_centre_cold),
    'capacity': Case(per_second=CAPACITY_PER_S, services=8, searches=MIX),
    '2x capacity': Case(per_second=2 * CAPACITY_PER_S, services=8, searches=MIX),
}


def run_case(policy: Policy, case: Case) -> Metrics:
    """Run one case with one policy and return its metrics."""
    routers = [
        policy(f'e{number}', samples.DATA_CENTRES[number], RouterSettings(), number)
        for number in range(ENTRIES)
    ]
    loop = Loop(
        routers,
        services=case.services,
        seed=SEED,
        straggler_ratio=case.straggler_ratio,
    )
    loop.plan_arrivals(case.per_second, 100, END_MS, case.searches)
    if case.fault is not None:
        loop.at(FAULT_MS, case.fault, loop)
    loop.run(END_MS + DRAIN_MS)
    metrics = summarise(loop, WARMUP_MS)
    counts = sum_counters([router.counters for router in routers])
    extra = counts['hedges'] + counts['retries']
    metrics['extra_load'] = extra / counts['sub_requests']
    metrics['requeues'] = counts['requeues'] / counts['sub_requests']
    metrics['cold_overloads'] = sum(
        server.cold_overloads for server in loop.servers.values()
    )
    full_answers = metrics['answers'] - metrics['partial']
    metrics['whole_per_s'] = full_answers * 1000 / (END_MS - WARMUP_MS)
    metrics.update(urgent_metrics(loop, case))
    return {name: round(metric, 4) for name, metric in metrics.items()}


def urgent_metrics(loop: Loop, case: Case) -> Metrics:
    """Return metrics of the most urgent search, if the case has several."""
    if len(case.searches) == 1:
        return {}
    latencies_ms = sorted(
        time_ms - loop.arrived[query_id][0]
        for entry in loop.entries
        for query_id, (time_ms, _) in entry.answers.items()
        if loop.arrived[query_id][1] == 'urgent'
    )
    arrived = sum(search == 'urgent' for _, search in loop.arrived.values())
    return {
        'urgent_p99_ms': latencies_ms[int(0.99 * (len(latencies_ms) - 1))],
        'urgent_answered': len(latencies_ms) / arrived,
    }


def sum_counters(counters: list[RouterCounters]) -> dict[str, int]:
    """Return the sum of each counter over all routers."""
    return {
        counter.name: sum(
            getattr(router_counters, counter.name) for router_counters in counters
        )
        for counter in fields(RouterCounters)
    }


def main() -> None:
    """Run the selected cases, by default all, and print the metrics by policy."""
    metrics: dict[str, dict[str, Metrics]] = {}
    policies: tuple[Policy, ...] = (Router, NaiveRouter)
    for name, policy in itertools.product(CASES, policies):
        if len(sys.argv) > 1 and name not in sys.argv[1:]:
            continue
        row = run_case(policy, CASES[name])
        metrics.setdefault(name, {})[policy.__name__] = row
    print(json.dumps({'seed': SEED, 'cases': metrics}, indent=1))


if __name__ == '__main__':
    main()
