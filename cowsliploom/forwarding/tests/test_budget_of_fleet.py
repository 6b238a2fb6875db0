"""The sum of all extra calls keeps its bound in any window, whoever is lost."""

import random

import pytest

from cowsliploom.forwarding.tests.budget_world import (
    CONSTANT,
    SETTLED_MS,
    FleetWorld,
    live_share,
)

NAMES = tuple('abcdefg')
SEEDS = 30


def nothing(world):
    """Leave all alone."""
    world.run(8000)


def kill_all_twice(world):
    """Kill all processes, and once more soon after they serve again."""
    for _ in range(2):
        for name in NAMES:
            world.kill(name)
        world.run(3000)


def restart_in_turn(world):
    """Stop and start all, one after the other."""
    for name in NAMES:
        world.kill(name, down_ms=1000)
        world.run(800)


def freeze_most(world):
    """Freeze all but one for longer than they count as live, and let them wake."""
    for name in NAMES[1:]:
        world.freeze(name, 6000)
    world.run(9000)


def cut_in_two(world):
    """Cut the fleet in two for longer than members are spoken of."""
    world.cut(NAMES[:3], group=1)
    world.run(25_000)
    world.cut(NAMES, group=0)
    world.run(5000)


def cut_and_kill(world):
    """Cut one off from the others, and kill all while it is."""
    world.cut(NAMES[:3], group=1)
    world.run(2000)
    for name in NAMES:
        world.kill(name)
    world.run(25_000)


def cut_and_kill_twice(world):
    """Kill all in each of two groups, and once more when they have settled."""
    cut_and_kill(world)
    for name in NAMES:
        world.kill(name)
    world.run(15_000)


def kill_all_again_and_again(world):
    """Kill all every two seconds."""
    for _ in range(6):
        for name in NAMES:
            world.kill(name)
        world.run(2000)


def cut_each_off(world):
    """Cut each from all others."""
    for group, name in enumerate(NAMES, start=1):
        world.cut([name], group)
    world.run(25_000)


def replace_all(world):
    """Take away one after the other, and put a new one in its place."""
    for name in NAMES:
        world.remove(name)
        world.add(f'new-{name}')
        world.run(1500)


def add_many(world):
    """Double the fleet at once."""
    for name in NAMES:
        world.add(f'new-{name}')
    world.run(15_000)


def kill_soon(world, names):
    """Kill some as soon as they have spent what the calm has left them."""
    world.run(1000)
    for name in names:
        world.kill(name)
    world.run(12_000)


def kill_all_soon(world):
    """Kill all processes."""
    kill_soon(world, NAMES)


def kill_some_soon(world):
    """Kill four of the seven."""
    kill_soon(world, NAMES[:4])


def move_requests_soon(world):
    """Let all requests come to others than those that have spent."""
    world.run(1000)
    for name in NAMES[:4]:
        world.freeze(name, 15_000)
    world.run(12_000)


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


def play(case, calm_ms=0, **changes):
    """Play a case on a fleet that has served for a while, first in calm."""
    world = FleetWorld(NAMES, **changes)
    world.is_calm = True
    world.run(SETTLED_MS + calm_ms)
    world.is_calm = False
    world.run(0 if calm_ms else 5000)
    case(world)
    world.run(3000)
    return world


@pytest.mark.parametrize('case', [nothing, *CASES])
def test_the_sum_keeps_the_bound_whoever_is_lost(case):
    assert play(case).excess() <= 0


@pytest.mark.parametrize('case', [nothing, *AFTER_CALM])
def test_what_a_calm_has_saved_is_not_spent_twice(case):
    """Processes spent what old requests had paid, and others what new ones paid."""
    assert play(case, calm_ms=15_000).excess() <= 0


@pytest.mark.parametrize('case', CASES)
def test_shares_by_who_is_live_pass_the_bound_in_the_same_cases(case):
    """The control: without these cases the bound holds, so they do the harm."""
    assert play(nothing, share_of=live_share).excess() <= 0
    assert play(case, share_of=live_share).excess() > 0


def test_the_constant_part_is_used_by_members_that_see_each_other():
    world = play(nothing)
    assert world.excess() > -CONSTANT
    without = play(nothing, share_of=lambda entry: 0)
    assert world.most_extra() > without.most_extra() + CONSTANT / 4


def trouble(world, rng):
    """Do something to some of the entry VMs."""
    names = list(world.entries)
    some = rng.sample(names, rng.randint(1, len(names)))
    match rng.choice(('kill', 'freeze', 'cut', 'heal', 'replace')):
        case 'kill':
            for name in some:
                world.kill(name, rng.choice((200, 1000, 3000)))
        case 'freeze':
            for name in some:
                world.freeze(name, rng.choice((500, 3000, 7000)))
        case 'cut':
            world.cut(some, group=1)
        case 'heal':
            world.cut(names, group=0)
        case 'replace':
            world.remove(some[0])
            world.add(f'{some[0]}+')


@pytest.mark.parametrize('seed', range(SEEDS))
def test_the_sum_keeps_the_bound_in_troubles_that_overlap(seed):
    rng = random.Random(seed)
    world = FleetWorld(NAMES)
    world.run(SETTLED_MS + 4000)
    for _ in range(12):
        trouble(world, rng)
        world.run(rng.choice((300, 1500, 4000)), rng.choice((0, 1, 2)))
    assert world.excess() <= 0
