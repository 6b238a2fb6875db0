"""Compare the routing policy with the baseline under faults, in simulated time.

Run as ``python -m benchmarks.routing_policies``. Prints JSON. Three entry VMs and
20 services of two servers with two slots; the overload cases have 8 services. The
load is 200 queries a second, about a fifth of the capacity, with 200 ms to answer.
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
WARM_MS = 1000
FAULT_MS = 2000
END_MS = 6000
DRAIN_MS = 500
PER_SECOND = 200
CAPACITY_PER_SECOND = 900  # four slots a service, some 4.1 ms a call
SEED = 1

Policy = type[Router] | type[NaiveRouter]
Fault = Callable[[Loop], None]
Figures = dict[str, float]


@dataclass(frozen=True)
class Case:
    """Describe one case.

    Parameters
    ----------
    straggler_ratio : float
        Share of calls that take 80 ms.
    fault : callable
        Fault that strikes after two seconds.
    per_second : float
        Queries a second over all entry VMs.
    services : int
        Fan-out.
    searches : tuple of str
        Search kinds, in turn.
    """

    straggler_ratio: float = 0
    fault: Fault | None = None
    per_second: float = PER_SECOND
    services: int = 20
    searches: tuple[str, ...] = ('briefing',)


def lose_replica(loop: Loop) -> None:
    """Stop one server."""
    loop.servers['s0r0'].is_dead = True


def turn_cold(loop: Loop) -> None:
    """Restart one server, cold."""
    loop.servers['s0r0'].turn_cold('i2')


def turn_centre_cold(loop: Loop) -> None:
    """Restart all servers of one data centre, cold."""
    for server in loop.servers.values():
        if server.replica == 0:
            server.turn_cold('i2')


def slow_servers(loop: Loop) -> None:
    """Slow one server in twenty by ten times."""
    for name in ('s0r0', 's7r1'):
        loop.servers[name].slowdown = 10


MIX = ('urgent', 'briefing', 'idle')
CASES = {
    'fault-free': Case(),
    '1% stragglers': Case(straggler_ratio=0.01),
    '5% stragglers': Case(straggler_ratio=0.05),
    '5% of servers slow': Case(fault=slow_servers),
    'lost replica': Case(fault=lose_replica),
    'cold server': Case(fault=turn_cold),
    'cold data centre': Case(fault=turn_centre_cold),
    'capacity': Case(per_second=CAPACITY_PER_SECOND, services=8, searches=MIX),
    '2x capacity': Case(per_second=2 * CAPACITY_PER_SECOND, services=8, searches=MIX),
}


def run_case(policy: Policy, case: Case) -> Figures:
    """Run one case and return its figures."""
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
    figures = summarise(loop, WARM_MS)
    counts = sum_counters([router.counters for router in routers])
    extra = counts['hedges'] + counts['retries']
    figures['extra_load'] = extra / counts['sub_requests']
    figures['requeues'] = counts['requeues'] / counts['sub_requests']
    figures['cold_overloads'] = sum(
        server.cold_overloads for server in loop.servers.values()
    )
    whole = figures['answers'] - figures['partial']
    figures['whole_per_s'] = whole * 1000 / (END_MS - WARM_MS)
    figures.update(urgent_figures(loop, case))
    return {name: round(figure, 4) for name, figure in figures.items()}


def urgent_figures(loop: Loop, case: Case) -> Figures:
    """Return figures of the most urgent search kind, where there are several."""
    if len(case.searches) == 1:
        return {}
    spent = sorted(
        time_ms - loop.arrived[query_id][0]
        for entry in loop.entries
        for query_id, (time_ms, _) in entry.answers.items()
        if loop.arrived[query_id][1] == 'urgent'
    )
    asked = sum(search == 'urgent' for _, search in loop.arrived.values())
    return {
        'urgent_p99_ms': spent[int(0.99 * (len(spent) - 1))],
        'urgent_answered': len(spent) / asked,
    }


def sum_counters(readings: list[RouterCounters]) -> dict[str, int]:
    """Add up the counters of all routers."""
    return {
        name.name: sum(getattr(reading, name.name) for reading in readings)
        for name in fields(RouterCounters)
    }


def main() -> None:
    """Print the figures of all cases by policy."""
    figures: dict[str, dict[str, Figures]] = {}
    policies: tuple[Policy, ...] = (Router, NaiveRouter)
    for name, policy in itertools.product(CASES, policies):
        if len(sys.argv) > 1 and name not in sys.argv[1:]:
            continue
        row = run_case(policy, CASES[name])
        figures.setdefault(name, {})[policy.__name__] = row
    print(json.dumps({'seed': SEED, 'cases': figures}, indent=1))


if __name__ == '__main__':
    main()
