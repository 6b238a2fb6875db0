"""One odd entry among those of the backends costs that entry only, on real gateways."""

import asyncio

import msgspec
import pytest

from tests.processes.gateway_world import HOST_PREFIX, ask, play

pytestmark = pytest.mark.processes

GATEWAYS = (2, 3, 4)
ASKED = 20
DEEP = b'[' * 100_000 + b']' * 100_000


def odd(**fields):
    """Return an entry that would be chosen if it were sound."""
    entry = {
        'service': 'one',
        'address': '127.0.0.1:9',
        'zone': 'de',
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
    }
    return msgspec.json.encode({**entry, **fields})


ODD = {
    'nested': b''.join((odd()[:-1], b',"more":', DEEP, b'}')),
    'port': odd(address='127.0.0.1:99999'),
    'slots': odd(slots=10**30),
    'born': odd(born=10**30),
}


async def statuses(tag):
    """Return the statuses of requests at all gateways."""
    answers = []
    for number in range(ASKED):
        gateway = GATEWAYS[number % len(GATEWAYS)]
        address, request_id = f'{HOST_PREFIX}.{gateway}:18100', f'{tag}-{number}'
        answers.append(await ask(address, '/single/x', request_id=request_id))
    return [getattr(answer, 'status', 0) for answer in answers]


def put_odd(world):
    """Write odd entries, moves' states and orders among sound ones."""
    for name, entry in ODD.items():
        world.store.put(f'servers/i-odd-{name}', entry)
    world.store.put('moves/one', DEEP)
    world.store.put('op/rollout/s0', DEEP)


async def start(world):
    """Start all gateways, and wait until they serve."""
    for number in GATEWAYS:
        await world.gateway(number, f'{HOST_PREFIX}.2:18102')
    for number in GATEWAYS:
        await world.ready(number)


def test_odd_entries_that_are_there_at_the_start_cost_no_other(tmp_path):
    async def script(world):
        put_odd(world)
        await start(world)
        assert set(await statuses('first')) == {200}
        assert 'Traceback' not in world.logs()

    play(tmp_path, script)


def test_odd_entries_that_come_later_cost_nothing_of_their_batch(tmp_path):
    async def script(world):
        await start(world)
        put_odd(world)
        backend = world.backends['one']
        entry = backend.entry(state='draining', sequence=2)
        world.store.put(f'servers/{backend.name}', entry)
        await asyncio.sleep(3)
        assert set(await statuses('later')) == {503}
        world.store.put(f'servers/{backend.name}', backend.entry(sequence=3))
        await asyncio.sleep(3)
        assert set(await statuses('again')) == {200}
        assert 'Traceback' not in world.logs()

    play(tmp_path, script)
