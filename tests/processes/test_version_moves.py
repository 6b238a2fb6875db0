"""Version moves on real processes: good ones finish, bad ones are rolled back."""

import json
import threading
import time
from datetime import UTC, datetime, timedelta
from types import TracebackType

import pytest

from tests.processes.fleet import wait_until
from tests.processes.shape import Shape
from tests.processes.world import World

pytestmark = pytest.mark.processes

SMALL_SHAPE = Shape(services=1, rota_servers=2, latency_ms=4)
CALLERS = 4
PAUSE_S = 0.01
MOVE_TIME_S = 40  # more than the minimum of 3 s per step
STOP_S = 3  # the users' bound on calls after a version is detected as bad
NEW_SERVERS = ('rota-new-0', 'rota-new-1')


class Bookings:
    """Send bookings without keys from several threads until the block ends."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._book, args=(number,))
            for number in range(CALLERS)
        ]

    def __enter__(self) -> 'Bookings':
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _book(self, number: int) -> None:
        entries = self._world.entries
        entry = entries[number % len(entries)]
        while not self._stop.wait(PAUSE_S):
            self._world.book(entry, f'van {number}', key='')


@pytest.fixture
def world(tmp_path):
    with World(str(tmp_path), SMALL_SHAPE, entries=2) as running:
        running.apply_shape()
        running.start_backends('rota-new', new_servers())
        running.list_vms()
        yield running


def new_servers():
    """Return the settings of servers with the new version."""
    settings = SMALL_SHAPE.rota()[0]
    return [
        {**settings, 'server': name, 'version': 'v2', 'seed': 2000 + number}
        for number, name in enumerate(NEW_SERVERS)
    ]


def declare_move(world):
    """Declare the new servers and a move of the rota to them."""
    documents = world.shape.resources(world.addresses)
    service = next(each for each in documents if each['name'] == 'rota')
    service['spec']['servers'] += [
        {
            'name': name,
            'address': world.addresses[name],
            'data_centre': 'de',
            'version': 'v2',
        }
        for name in NEW_SERVERS
    ]
    finish_by = datetime.now(UTC) + timedelta(seconds=MOVE_TIME_S)
    move = {
        'service': 'rota',
        'from_version': 'v1',
        'to_version': 'v2',
        'finish_by': finish_by.isoformat(),
    }
    resource = {'kind': 'versionmove', 'name': 'rota-2', 'spec': move}
    world.apply([service, resource], 'move')


def move_state(world):
    """Return the move's state in the store, empty before there is one."""
    reply = world.get(world.platform.address, '/kv/moves/rota-2')
    return json.loads(reply.body['value']) if reply.status == 200 else {}


def has_status(world, status):
    return move_state(world).get('status') == status


def break_version(world, **faults):
    for name in NEW_SERVERS:
        address = world.addresses[name]
        assert world.put(address, '/admin/faults', faults).status == 200


def count_new_version_calls(world):
    return sum(
        world.get(world.addresses[name], '/admin/counters').body['received']
        for name in NEW_SERVERS
    )


def test_move_to_good_version_finishes_in_time(world):
    with Bookings(world):
        declare_move(world)
        started_s = time.monotonic()
        wait_until(lambda: has_status(world, 'finished'), 'the move', 2 * MOVE_TIME_S)
        assert time.monotonic() - started_s <= MOVE_TIME_S
    assert count_new_version_calls(world)


@pytest.mark.parametrize(
    'faults',
    [
        {'errors': [{'share': 1, 'fast': True}]},
        {'slow': [{'factor': 10}]},
    ],
    ids=['fails', 'slows'],
)
def test_bad_version_is_rolled_back(world, faults):
    with Bookings(world):
        declare_move(world)
        wait_until(
            lambda: count_new_version_calls(world) > 20, 'the new version is called'
        )
        break_version(world, **faults)
        wait_until(lambda: has_status(world, 'taken_back'), 'rollback', MOVE_TIME_S)
        time.sleep(STOP_S)
        calls = count_new_version_calls(world)
        time.sleep(STOP_S)
        assert count_new_version_calls(world) == calls


def test_bad_version_gets_no_calls_during_store_outage(world):
    with Bookings(world):
        declare_move(world)
        wait_until(
            lambda: count_new_version_calls(world) > 40, 'the new version is called'
        )
        outage = {'mode': 'down'}
        world.put(world.platform.address, '/admin/faults', outage)
        break_version(world, errors=[{'share': 1, 'fast': True}])
        wait_until(
            lambda: gets_no_new_calls(world), 'no call of the new version', MOVE_TIME_S
        )
        world.put(world.platform.address, '/admin/faults', {'mode': 'ok'})
        wait_until(lambda: has_status(world, 'taken_back'), 'the status', MOVE_TIME_S)


def gets_no_new_calls(world):
    """Return whether the new version gets no call for STOP_S."""
    calls = count_new_version_calls(world)
    time.sleep(STOP_S)
    return count_new_version_calls(world) == calls
