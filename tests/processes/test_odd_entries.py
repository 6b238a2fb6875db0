"""A malformed store entry affects no other entry, on real gateways."""

import asyncio

import msgspec
import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import ask, run_script

pytestmark = pytest.mark.processes

GATEWAYS = (2, 3, 4)
REQUESTS = 20
DEEP = b'[' * 100_000 + b']' * 100_000


def make_entry(**fields):
    """Return an entry that would get requests if all of its fields were valid."""
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


ODD_NAMES = ('i-odd-\u0175', 'i-odd-\r\nx: y', 'i-odd ', '')
MALFORMED = {
    'nested': b''.join((make_entry()[:-1], b',"more":', DEEP, b'}')),
    'label': make_entry(address=f'{"x" * 70}.example:8080'),
    'empty-label': make_entry(address='a..b:8080'),
    'port': make_entry(address='127.0.0.1:99999'),
    'slots': make_entry(slots=10**30),
    'born': make_entry(born=10**30),
}


async def statuses(tag):
    """Return the statuses of requests at all gateways."""
    answers = []
    for number in range(REQUESTS):
        gateway = GATEWAYS[number % len(GATEWAYS)]
        address, request_id = f'{HOST_PREFIX}.{gateway}:18100', f'{tag}-{number}'
        answers.append(await ask(address, '/single/x', request_id=request_id))
    return [getattr(answer, 'status', 0) for answer in answers]


def put_malformed(world):
    """Write malformed server entries, a move state and a move request."""
    for name, entry in MALFORMED.items():
        world.store.put(f'servers/i-odd-{name}', entry)
    for odd_name in ODD_NAMES:
        world.store.put(f'servers/{odd_name}', make_entry())
    world.store.put('moves/one', DEEP)
    world.store.put('op/rollout/s0', DEEP)


async def start(world):
    """Start all gateways, and wait until they are ready."""
    for number in GATEWAYS:
        await world.gateway(number, f'{HOST_PREFIX}.2:18102')
    for number in GATEWAYS:
        await world.ready(number)


def test_malformed_entries_at_start_affect_no_other(tmp_path):
    async def script(world):
        put_malformed(world)
        await start(world)
        assert set(await statuses('first')) == {200}
        assert 'Traceback' not in world.logs()

    run_script(tmp_path, script)


def test_malformed_entries_written_later_affect_no_other_of_their_batch(tmp_path):
    async def script(world):
        await start(world)
        put_malformed(world)
        backend = world.backends['one']
        entry = backend.entry(state='draining', sequence=2)
        world.store.put(f'servers/{backend.name}', entry)
        await asyncio.sleep(3)
        assert set(await statuses('later')) == {503}
        world.store.put(f'servers/{backend.name}', backend.entry(sequence=3))
        await asyncio.sleep(3)
        assert set(await statuses('again')) == {200}
        assert 'Traceback' not in world.logs()

    run_script(tmp_path, script)
