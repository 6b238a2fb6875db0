"""What is known of the store is ordered by its era before its revision."""

import asyncio

import pytest

from cowsliploom.gateway.tests.drill_world import (
    MOVE_S,
    MOVED,
    SERVERS,
    TO_VERSION,
    DrillWorld,
    run_skipping,
)
from cowsliploom.members import store_revision

# 1101, 1226: an earlier state was written over the end of a move; a task that failed.
SEEDS = (*range(24), 1101, 1226)
CALM_S = 4.0  # after which gateways have to act in time
APPLY_S = 3.0
HEAL_S = 8.0
MOVE_SLACK_S = 12.0  # of a move that drills threw back, without traffic


def run_world(seed, script):
    """Run a script in a new world."""

    async def run():
        world = DrillWorld(seed)
        await asyncio.sleep(4)
        await script(world)
        world.close()

    run_skipping(run())


def check_order(world):
    """Check that nothing that any gateway knew was taken back."""
    for gateway in world.gateways:
        assert gateway.revisions == sorted(gateway.revisions), gateway.member
        assert gateway.versions == sorted(gateway.versions), gateway.member


def check_agreement(world):
    """Check that all gateways know what the store has, and use it."""
    era = world.store.era
    items = world.store.copy().items
    expected = {
        key: store_revision(era, item['revision']) for key, item in items.items()
    }
    for gateway in world.gateways:
        held = gateway.view.mirror.items_with_prefix('')
        assert {item.key: item.revision for item in held} == expected, gateway.member
        assert {each.name for each in gateway.view.dispatcher.fleet} == set(SERVERS)


async def check_next_version(world):
    """Check that the next configuration is in force everywhere in time."""
    world.configure()
    await asyncio.sleep(APPLY_S)
    versions = [gateway.view.dispatcher.table.version for gateway in world.gateways]
    assert versions == [world.version] * len(versions)
    # Reports come at any time; the next watch brings them.
    await world.settle()
    check_agreement(world)


@pytest.mark.parametrize('drills', [1, 2])
@pytest.mark.parametrize('age_s', [0.5, 3, 6])
def test_version_after_a_drill_is_in_force(age_s, drills):
    """Guard against new versions that lost ones of a higher revision hide for good."""

    async def script(world):
        world.configure()
        await asyncio.sleep(1)
        for _ in range(drills):
            await world.drill(age_s, down_s=1)
        await asyncio.sleep(CALM_S)
        await check_next_version(world)
        check_order(world)

    run_world(1, script)


@pytest.mark.parametrize('seed', range(6))
def test_first_write_after_a_drill_is_not_skipped_by_a_watch_that_goes_on(seed):
    """Guard against a watch that goes on over a hole, as the store got past it."""

    async def script(world):
        await asyncio.sleep(world.random.uniform(0, 1))
        world.is_down = True
        world.store.restore(world.copies[-10])
        world.configure()
        for name in SERVERS * 8:
            world.report(name)
        world.is_down = False
        await asyncio.sleep(APPLY_S)
        versions = {each.view.dispatcher.table.version for each in world.gateways}
        assert versions == {world.version}
        check_order(world)

    run_world(seed, script)


def test_what_a_restored_store_lacks_stays_in_force_until_it_is_written_again():
    """Guard against servers, orders and evacuations that a drill takes away."""

    async def script(world):
        world.declare('op/evacuate/gone', b'{}')
        await asyncio.sleep(1)
        drill = asyncio.create_task(world.drill(age_s=3, down_s=1, again_s=1.5))
        while not drill.done():
            for gateway in world.gateways:
                fleet = gateway.view.dispatcher.fleet
                assert fleet.closed_data_centres == {'gone'}
                assert {each.name for each in fleet} == set(SERVERS)
            await asyncio.sleep(0.05)
        await asyncio.sleep(CALM_S)
        for gateway in world.gateways:
            fleet = gateway.view.dispatcher.fleet
            assert fleet.closed_data_centres == {'gone'}

    run_world(1, script)


def test_evacuation_that_is_not_ordered_again_ends():
    async def script(world):
        world.declare('op/evacuate/gone', b'{}')
        await asyncio.sleep(1)
        del world.declared['op/evacuate/gone']
        await world.drill(age_s=3, down_s=1)
        await asyncio.sleep(CALM_S)
        for gateway in world.gateways:
            assert not gateway.view.dispatcher.fleet.closed_data_centres

    run_world(1, script)


@pytest.mark.parametrize('at_s', [1, 3, 6, 9, MOVE_S + 1])
@pytest.mark.parametrize('age_s', [0.5, 2, 5])
def test_move_goes_on_after_a_drill(at_s, age_s):
    """Guard against a move that stands still, as its state was lost in a drill."""

    async def script(world):
        world.order()
        await asyncio.sleep(at_s)
        shares = [gateway.split.share or 0 for gateway in world.gateways]
        await world.drill(age_s, down_s=0.5)
        for _ in range(round((MOVE_S + MOVE_SLACK_S) * 10)):
            await asyncio.sleep(0.1)
            now = [gateway.split.share or 0 for gateway in world.gateways]
            assert all(map(float.__le__, map(float, shares), map(float, now)))
            shares = now
        assert world.statuses[-1] == 'completed'
        assert shares == [1] * len(shares)

    run_world(1, script)


@pytest.mark.parametrize('age_s', [0.5, 2, 5])
@pytest.mark.parametrize('is_killed', [False, True])
def test_version_that_was_found_bad_is_not_offered_again_after_a_drill(
    age_s, is_killed
):
    """Guard against a rolled-back version that gets requests once this is lost."""

    async def script(world):
        world.order()
        await asyncio.sleep(5)
        world.gateways[1].raise_veto()
        await asyncio.sleep(2)
        assert world.statuses[-1] == 'rolled_back'
        if is_killed:
            await world.kill(1, down_s=0.2)
        await world.drill(age_s, down_s=0.5)
        for _ in range(round(MOVE_S * 10)):
            await asyncio.sleep(0.1)
            assert not any(one.split and one.split.share for one in world.gateways)
        assert world.statuses[-1] == 'rolled_back'

    run_world(1, script)


async def draw_trouble(world):
    """Let a drawn disruption happen."""
    number = world.random.randrange(len(world.gateways))
    seconds = world.random.uniform(0.3, 5)
    match world.random.choice(('drill', 'drill', 'freeze', 'kill', 'cut', 'version')):
        case 'drill':
            down_s = world.random.uniform(0.1, 1.5)
            await world.drill(seconds, down_s, world.random.uniform(0, 1))
        case 'freeze':
            await world.freeze(number, seconds)
        case 'kill':
            await world.kill(number, seconds / 4)
        case 'cut':
            await world.cut(number, seconds)
        case 'version':
            world.configure()
    await asyncio.sleep(world.random.uniform(0, 1))


async def draw_troubles(world, lanes=2, count=4):
    """Let drawn disruptions happen, some of them at the same time."""

    async def lane():
        for _ in range(count):
            await draw_trouble(world)

    world.is_troubled = True
    await asyncio.gather(*(lane() for _ in range(lanes)))
    world.is_troubled = False
    await asyncio.sleep(HEAL_S)


@pytest.mark.parametrize('seed', SEEDS)
def test_gateways_agree_with_the_store_after_drawn_troubles(seed):
    """Guard against anything of an older era that outranks a newer one."""

    async def script(world):
        await draw_troubles(world)
        await check_next_version(world)
        check_order(world)

    run_world(seed, script)


@pytest.mark.parametrize('is_bad', [False, True], ids=['good', 'bad'])
@pytest.mark.parametrize('seed', SEEDS)
def test_move_ends_as_it_should_after_drawn_troubles(seed, is_bad):
    """Guard against moves that stand still, are taken back or offered again."""

    async def script(world):
        world.order()
        await asyncio.sleep(world.random.uniform(1, MOVE_S))
        if is_bad:
            world.random.choice(world.gateways).raise_veto()
            await asyncio.sleep(0.5)
        await draw_troubles(world, count=3)
        await asyncio.sleep(MOVE_S + MOVE_SLACK_S)
        splits = {(one.split.to_version, one.split.share) for one in world.gateways}
        if 'rolled_back' in world.statuses or is_bad:
            assert splits == {(TO_VERSION, 0)}
            assert world.statuses[-1] == 'rolled_back'
        else:
            assert splits == {(TO_VERSION, 1)}
            assert world.statuses[-1] == 'completed'
        state = f'moves/{MOVED}'
        assert world.store.get(state) is not None
        check_order(world)

    run_world(seed, script)
