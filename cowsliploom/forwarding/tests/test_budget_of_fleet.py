"""The sum of all extra calls keeps its bound in any window, whoever is lost."""

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
CALM_MS = 15_000
CALM_SHARE = 0.3  # of the troubles come while no call fails


def nothing(simulation):
    """Leave all alone."""
    simulation.run(8000)


def kill_all_twice(simulation):
    """Kill all processes, and once more soon after they serve again."""
    for _ in range(2):
        for name in NAMES:
            simulation.kill(name)
        simulation.run(3000)


def restart_in_turn(simulation):
    """Stop and start all, one after the other."""
    for name in NAMES:
        simulation.kill(name, down_ms=1000)
        simulation.run(800)


def freeze_most(simulation):
    """Freeze all but one for longer than they count as live, and let them wake."""
    for name in NAMES[1:]:
        simulation.freeze(name, 6000)
    simulation.run(9000)


def cut_in_two(simulation):
    """Cut the fleet in two for longer than members are spoken of."""
    simulation.cut(NAMES[:3], group=1)
    simulation.run(25_000)
    simulation.cut(NAMES, group=0)
    simulation.run(5000)


def cut_and_kill(simulation):
    """Cut one off from the others, and kill all while it is."""
    simulation.cut(NAMES[:3], group=1)
    simulation.run(2000)
    for name in NAMES:
        simulation.kill(name)
    simulation.run(25_000)


def cut_and_kill_twice(simulation):
    """Kill all in each of two groups, and once more when they have settled."""
    cut_and_kill(simulation)
    for name in NAMES:
        simulation.kill(name)
    simulation.run(15_000)


def kill_all_again_and_again(simulation):
    """Kill all every two seconds."""
    for _ in range(6):
        for name in NAMES:
            simulation.kill(name)
        simulation.run(2000)


def cut_in_three_and_kill_each(simulation):
    """Kill all in each of three groups, one group after the other."""
    groups = (NAMES[:2], NAMES[2:4], NAMES[4:])
    for group, names in enumerate(groups, start=1):
        simulation.cut(names, group)
    for names in groups:
        simulation.run(1000)
        for name in names:
            simulation.kill(name)
    simulation.run(25_000)


def add_while_cut(simulation):
    """Add two to one side of a cut, of which the other side hears nothing."""
    simulation.cut(NAMES[:3], group=1)
    simulation.run(1000)
    for name in ('new-a', 'new-b'):
        simulation.add(name)
    simulation.run(15_000)


def cut_in_calm(simulation):
    """Cut the fleet in two, and let both sides save before calls fail."""
    simulation.is_calm = True
    simulation.cut(NAMES[:3], group=1)
    simulation.run(CALM_MS)
    simulation.is_calm = False
    simulation.run(10_000)


def start_apart_in_calm(simulation):
    """Start all in three groups that never meet, and let them save."""
    simulation.is_calm = True
    cut_in_three_and_kill_each(simulation)
    simulation.is_calm = False
    simulation.run(10_000)


def kill_all_once_they_have_met(simulation):
    """Kill all every two seconds; calls fail when the new ones know each other."""
    for _ in range(4):
        simulation.is_calm = True
        for name in NAMES:
            simulation.kill(name)
        simulation.run(1500)
        simulation.is_calm = False
        simulation.run(500)


def let_requests_come_in_bursts(simulation):
    """Let many requests come for a while, and none for another."""
    for _ in range(4):
        simulation.run(2500, requests=3)
        simulation.run(5000, requests=0)


def cut_each_off(simulation):
    """Cut each from all others."""
    for group, name in enumerate(NAMES, start=1):
        simulation.cut([name], group)
    simulation.run(25_000)


def replace_all(simulation):
    """Take away one after the other, and put a new one in its place."""
    for name in NAMES:
        simulation.remove(name)
        simulation.add(f'new-{name}')
        simulation.run(1500)


def add_many(simulation):
    """Double the fleet at once."""
    for name in NAMES:
        simulation.add(f'new-{name}')
    simulation.run(15_000)


def kill_soon(simulation, names):
    """Kill some as soon as they have spent what the calm has left them."""
    simulation.run(1000)
    for name in names:
        simulation.kill(name)
    simulation.run(12_000)


def kill_all_soon(simulation):
    """Kill all processes."""
    kill_soon(simulation, NAMES)


def kill_some_soon(simulation):
    """Kill four of the seven."""
    kill_soon(simulation, NAMES[:4])


def move_requests_soon(simulation):
    """Let all requests come to others than those that have spent."""
    simulation.run(1000)
    for name in NAMES[:4]:
        simulation.freeze(name, 15_000)
    simulation.run(12_000)


AFTER_CALM = (kill_all_soon, kill_some_soon, move_requests_soon)
CASES = (
    kill_all_twice,
    restart_in_turn,
    freeze_most,
    cut_in_two,
    cut_and_kill,
    cut_and_kill_twice,
    kill_all_again_and_again,
    cut_each_off,
    replace_all,
    add_many,
)
NEW_CASES = (
    cut_in_three_and_kill_each,
    add_while_cut,
    cut_in_calm,
    start_apart_in_calm,
    kill_all_once_they_have_met,
    let_requests_come_in_bursts,
)
ALL_CASES = (nothing, *CASES, *NEW_CASES, *AFTER_CALM)


def driver(case, calm_ms=0, **changes):
    """Play a case on a fleet that has served for a while, first in calm."""
    simulation = FleetSimulation(NAMES, **changes)
    simulation.is_calm = True
    simulation.run(SETTLED_MS + calm_ms)
    simulation.is_calm = False
    simulation.run(0 if calm_ms else 5000)
    case(simulation)
    simulation.run(3000)
    return simulation


@pytest.mark.parametrize('case', ALL_CASES)
def test_the_sum_keeps_the_bound_whoever_is_lost(case):
    assert driver(case).excess() <= 0


@pytest.mark.parametrize('case', ALL_CASES)
def test_what_a_calm_has_saved_is_not_spent_twice(case):
    """Processes spent what old requests had paid, and others what new ones paid."""
    assert driver(case, CALM_MS).excess() <= 0


@pytest.mark.parametrize('case', CASES)
def test_shares_by_who_is_live_pass_the_bound_in_the_same_cases(case):
    """The control: without these cases the bound holds, so they do the harm."""
    assert driver(nothing, make_budget=live_budget).excess() <= 0
    assert driver(case, make_budget=live_budget).excess() > 0


@pytest.mark.parametrize('case', AFTER_CALM)
def test_payment_by_all_requests_of_a_window_passes_the_bound_after_a_calm(case):
    """The control: the bound holds without these cases, and without the calm."""
    assert driver(nothing, CALM_MS, make_budget=small_budget).excess() <= 0
    assert driver(case, make_budget=small_budget).excess() <= 0
    assert driver(case, CALM_MS, make_budget=small_budget).excess() > 0


@pytest.mark.parametrize(
    ('case', 'lacks'),
    [
        (cut_in_calm, {'share_of': live_share}),
        (start_apart_in_calm, {'share_of': unseeded_share}),
        (kill_all_once_they_have_met, {'settled_ms': 1000}),
    ],
)
def test_tokens_without_a_part_of_the_rule_pass_the_bound(case, lacks):
    """The control of each part: who is silent, the seeds, a process's first window."""
    lacking = partial(token_budget, **lacks)
    assert driver(nothing, CALM_MS, make_budget=lacking).excess() <= 0
    assert driver(case, CALM_MS, make_budget=lacking).excess() > 0


def test_the_constant_part_is_used_by_members_that_see_each_other():
    simulation = driver(nothing)
    assert simulation.excess() > -CONSTANT
    without = driver(nothing, make_budget=unpaid_budget)
    assert simulation.most_extra() > without.most_extra() + CONSTANT / 4


def trouble(simulation, rng):
    """Do something to some of the entry VMs."""
    names = list(simulation.entries)
    some = rng.sample(names, rng.randint(1, len(names)))
    match rng.choice(('kill', 'freeze', 'cut', 'heal', 'replace')):
        case 'kill':
            for name in some:
                simulation.kill(name, rng.choice((200, 1000, 3000)))
        case 'freeze':
            for name in some:
                simulation.freeze(name, rng.choice((500, 3000, 7000)))
        case 'cut':
            simulation.cut(some, group=rng.choice((1, 2)))
        case 'heal':
            simulation.cut(names, group=0)
        case 'replace':
            simulation.remove(some[0])
            simulation.add(f'{some[0]}+')


def play_troubles(seed, **changes):
    """Play a series of troubles."""
    rng = random.Random(seed)
    simulation = FleetSimulation(NAMES, **changes)
    simulation.run(SETTLED_MS + 4000)
    for _ in range(12):
        simulation.is_calm = rng.random() < CALM_SHARE
        trouble(simulation, rng)
        simulation.run(rng.choice((300, 1500, 4000)), rng.choice((0, 1, 2)))
    return simulation


@pytest.mark.parametrize('seed', range(SEEDS))
def test_the_sum_keeps_the_bound_in_troubles_that_overlap(seed):
    assert play_troubles(seed).excess() <= 0


@pytest.mark.parametrize('seed', range(4))
def test_shares_by_who_is_live_pass_the_bound_in_troubles_that_overlap(seed):
    """The control."""
    assert play_troubles(seed, make_budget=live_budget).excess() > 0
