"""Processor time of electing owners at the scale of one large data centre.

Prints JSON. Run: ``python -m benchmarks.ownership_cost``.
"""

import json
import time
from collections.abc import Callable

from cowsliploom.coordination import (
    Member,
    MembersChanged,
    MembershipSettings,
    Ownership,
    WatchedServer,
)

MEMBERS = 325  # 2,600 daemons in 8 data centres
SERVERS = 1500  # 12,000 backend servers in 8 data centres
CHECKS = 10_000
NS_PER_MS = 1_000_000
NS_PER_US = 1000


def measure_cpu_ms(work: Callable[[], object]) -> float:
    """Return the processor time of one call, in milliseconds."""
    start_ns = time.thread_time_ns()
    work()
    return round((time.thread_time_ns() - start_ns) / NS_PER_MS, 3)


def check_ownership(ownership: Ownership) -> None:
    """Check the ownership of servers ``CHECKS`` times."""
    for number in range(CHECKS):
        ownership.owns(f'server-{number % SERVERS}', number)


def main() -> None:
    """Measure elections after membership changes, and ownership checks."""
    members = tuple(Member(f'vm-{number}', '', 'dc') for number in range(MEMBERS))
    joined = (*members, Member('joiner', '', 'dc'))
    servers = tuple(
        WatchedServer(f'server-{number}', 'dc') for number in range(SERVERS)
    )
    ownership = Ownership('vm-0', 'dc', MembershipSettings())
    ownership.members_changed(0, MembersChanged(members))
    report = {
        'members': MEMBERS,
        'servers': SERVERS,
        'first_election_ms': measure_cpu_ms(lambda: ownership.watch(0, servers)),
        'unchanged_configuration_ms': measure_cpu_ms(
            lambda: ownership.watch(0, servers)
        ),
        'join_ms': measure_cpu_ms(
            lambda: ownership.members_changed(1, MembersChanged(joined))
        ),
        'death_ms': measure_cpu_ms(
            lambda: ownership.members_changed(2, MembersChanged(members))
        ),
        'check_us': round(
            measure_cpu_ms(lambda: check_ownership(ownership)) * NS_PER_US / CHECKS, 3
        ),
    }
    print(json.dumps(report, indent=2))


if __name__ == '__main__':
    main()
