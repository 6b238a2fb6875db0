"""Extra calls of all entry VMs together stay in bound in any window, under faults."""

import random
from functools import partial

import pytest

from cowsliploom.forwarding.tests.budget_simulation import (
    CONSTANT,
    SETTLED_MS,
    FleetSimulation,
    live_budget,
    live_share,
    small_budget,
    token_budget,
    unpaid_budget,
    unseeded_share,
)

NAMES = tuple('abcdefg')
SEEDS = 30
SAVING_MS = 15_000
NO_FAILURE_SHARE = 0.3  # of the faults occur while no call fails


def no_faults(simulation):
    """Inject no fault."""
    simulation.run(8000)


def kill_all_twice(simulation):
    """Kill all processes, and again soon after they restarted."""
    for _ in range(2):
        for name in NAMES:
            simulation.kill(name)
        simulation.run(3000)


def restart_in_turn(simulation):
    """Restart all processes one after the other."""
    for name in NAMES:
        simulation.kill(name, down_ms=1000)
        simulation.run(800)


def freeze_most(simulation):
    """Freeze all but one until they no longer count as live, then resume them."""
    for name in NAMES[1:]:
        simulation.freeze(name, 6000)
    simulation.run(9000)


def partition_in_two(simulation):
    """Partition the fleet in two until members are no longer gossiped."""
    simulation.partition(NAMES[:3], group=1)
    simulation.run(25_000)
    simulation.partition(NAMES, group=0)
    simulation.run(5000)


def partition_and_kill(simulation):
    """Partition the fleet in two, and kill all processes meanwhile."""
    simulation.partition(NAMES[:3], group=1)
    simulation.run(2000)
    for name in NAMES:
        simulation.kill(name)
    simulation.run(25_000)


def partition_and_kill_twice(simulation):
    """Kill all in each of two partitions, and again once they have settled."""
    partition_and_kill(simulation)
    for name in NAMES:
        simulation.kill(name)
    simulation.run(15_000)


def kill_all_repeatedly(simulation):
    """Kill all every two seconds."""
    for _ in range(6):
        for name in NAMES:
            simulation.kill(name)
        simulation.run(2000)


def partition_in_three_and_kill_each(simulation):
    """Kill all in each of three partitions, one partition after the other."""
    groups = (NAMES[:2], NAMES[2:4], NAMES[4:])
    for group, names in enumerate(groups, start=1):
        simulation.partition(names, group)
    for names in groups:
        simulation.run(1000)
        for name in names:
            simulation.kill(name)
    simulation.run(25_000)


def add_during_partition(simulation):
    """Add two members to one side of a partition, unknown to the other side."""
    simulation.partition(NAMES[:3], group=1)
    simulation.run(1000)
    for name in ('new-a', 'new-b'):
        simulation.add(name)
    simulation.run(15_000)


def partition_before_failures(simulation):
    """Partition the fleet in two; both sides save tokens before calls fail."""
    simulation.calls_succeed = True
    simulation.partition(NAMES[:3], group=1)
    simulation.run(SAVING_MS)
    simulation.calls_succeed = False
    simulation.run(10_000)


def start_partitioned_before_failures(simulation):
    """Start all in three partitions that save tokens before calls fail."""
    simulation.calls_succeed = True
    partition_in_three_and_kill_each(simulation)
    simulation.calls_succeed = False
    simulation.run(10_000)


def kill_all_after_discovery(simulation):
    """Kill all every two seconds; calls fail once the new ones know each other."""
    for _ in range(4):
        simulation.calls_succeed = True
        for name in NAMES:
            simulation.kill(name)
        simulation.run(1500)
        simulation.calls_succeed = False
        simulation.run(500)


def send_requests_in_bursts(simulation):
    """Alternate between many requests and none."""
    for _ in range(4):
        simulation.run(2500, requests=3)
        simulation.run(5000, requests=0)


def isolate_each(simulation):
    """Partition each from all others."""
    for group, name in enumerate(NAMES, start=1):
        simulation.partition([name], group)
    simulation.run(25_000)


def replace_all(simulation):
    """Replace the members one after the other."""
    for name in NAMES:
        simulation.remove(name)
        simulation.add(f'new-{name}')
        simulation.run(1500)


def double_fleet(simulation):
    """Double the fleet at once."""
    for name in NAMES:
        simulation.add(f'new-{name}')
    simulation.run(15_000)


def kill_after_spending(simulation, names):
    """Kill some once they have spent their saved tokens."""
    simulation.run(1000)
    for name in names:
        simulation.kill(name)
    simulation.run(12_000)


def kill_all_after_spending(simulation):
    """Kill all once they have spent their saved tokens."""
    kill_after_spending(simulation, NAMES)


def kill_some_after_spending(simulation):
    """Kill four of seven once they have spent their saved tokens."""
    kill_after_spending(simulation, NAMES[:4])


def move_requests_after_spending(simulation):
    """Send all requests to other members than those that have spent."""
    simulation.run(1000)
    for name in NAMES[:4]:
        simulation.freeze(name, 15_000)
    simulation.run(12_000)


AFTER_SAVING_CASES = (
    kill_all_after_spending,
    kill_some_after_spending,
    move_requests_after_spending,
)
CASES = (
    kill_all_twice,
    restart_in_turn,
    freeze_most,
    partition_in_two,
    partition_and_kill,
    partition_and_kill_twice,
    kill_all_repeatedly,
    isolate_each,
    replace_all,
    double_fleet,
)
OTHER_CASES = (
    partition_in_three_and_kill_each,
    add_during_partition,
    partition_before_failures,
    start_partitioned_before_failures,
    kill_all_after_discovery,
    send_requests_in_bursts,
)
ALL_CASES = (no_faults, *CASES, *OTHER_CASES, *AFTER_SAVING_CASES)


def run_case(case, saving_ms=0, **changes):
    """Run a case on a fleet that has served for a while, first without failures."""
    simulation = FleetSimulation(NAMES, **changes)
    simulation.calls_succeed = True
    simulation.run(SETTLED_MS + saving_ms)
    simulation.calls_succeed = False
    simulation.run(0 if saving_ms else 5000)
    case(simulation)
    simulation.run(3000)
    return simulation


@pytest.mark.parametrize('case', ALL_CASES)
def test_extra_calls_of_all_vms_stay_in_bound_under_faults(case):
    assert run_case(case).excess() <= 0


@pytest.mark.parametrize('case', ALL_CASES)
def test_saved_tokens_are_not_spent_twice_under_faults(case):
    """Guards against VMs spending for old requests while others spend for new ones."""
    assert run_case(case, SAVING_MS).excess() <= 0


@pytest.mark.parametrize('case', CASES)
def test_shares_by_live_members_exceed_the_bound_in_the_same_cases(case):
    """Control: the bound holds without these faults, so they cause the excess."""
    assert run_case(no_faults, make_budget=live_budget).excess() <= 0
    assert run_case(case, make_budget=live_budget).excess() > 0


@pytest.mark.parametrize('case', AFTER_SAVING_CASES)
def test_window_budget_exceeds_the_bound_after_saving(case):
    """Control: the bound holds without these faults, and without saved tokens."""
    assert run_case(no_faults, SAVING_MS, make_budget=small_budget).excess() <= 0
    assert run_case(case, make_budget=small_budget).excess() <= 0
    assert run_case(case, SAVING_MS, make_budget=small_budget).excess() > 0


@pytest.mark.parametrize(
    ('case', 'lacks'),
    [
        (partition_before_failures, {'share_of': live_share}),
        (start_partitioned_before_failures, {'share_of': unseeded_share}),
        (kill_all_after_discovery, {'settled_ms': 1000}),
    ],
)
def test_budget_lacking_a_part_of_the_rule_exceeds_the_bound(case, lacks):
    """Control of each part: silent members, seeds, a process's first window."""
    lacking = partial(token_budget, **lacks)
    assert run_case(no_faults, SAVING_MS, make_budget=lacking).excess() <= 0
    assert run_case(case, SAVING_MS, make_budget=lacking).excess() > 0


def test_constant_part_is_used_by_members_that_know_each_other():
    simulation = run_case(no_faults)
    assert simulation.excess() > -CONSTANT
    without = run_case(no_faults, make_budget=unpaid_budget)
    assert simulation.most_extra() > without.most_extra() + CONSTANT / 4


def inject_fault(simulation, rng):
    """Inject a random fault at some of the entry VMs."""
    names = list(simulation.entries)
    some = rng.sample(names, rng.randint(1, len(names)))
    match rng.choice(('kill', 'freeze', 'partition', 'heal', 'replace')):
        case 'kill':
            for name in some:
                simulation.kill(name, rng.choice((200, 1000, 3000)))
        case 'freeze':
            for name in some:
                simulation.freeze(name, rng.choice((500, 3000, 7000)))
        case 'partition':
            simulation.partition(some, group=rng.choice((1, 2)))
        case 'heal':
            simulation.partition(names, group=0)
        case 'replace':
            simulation.remove(some[0])
            simulation.add(f'{some[0]}+')


def run_faults(seed, **changes):
    """Run a series of random faults."""
    rng = random.Random(seed)
    simulation = FleetSimulation(NAMES, **changes)
    simulation.run(SETTLED_MS + 4000)
    for _ in range(12):
        simulation.calls_succeed = rng.random() < NO_FAILURE_SHARE
        inject_fault(simulation, rng)
        simulation.run(rng.choice((300, 1500, 4000)), rng.choice((0, 1, 2)))
    return simulation


@pytest.mark.parametrize('seed', range(SEEDS))
def test_extra_calls_of_all_vms_stay_in_bound_under_mixed_faults(seed):
    assert run_faults(seed).excess() <= 0


@pytest.mark.parametrize('seed', range(4))
def test_shares_by_live_members_exceed_the_bound_under_mixed_faults(seed):
    """Control."""
    assert run_faults(seed, make_budget=live_budget).excess() > 0
