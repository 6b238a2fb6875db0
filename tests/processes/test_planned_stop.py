"""Planned stop of an entry daemon with open and arriving bookings."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest

from tests.processes.fleet import wait_until
from tests.processes.shape import DATA_CENTRES, Shape
from tests.processes.world import World

pytestmark = pytest.mark.processes

DRAIN_TIMEOUT_MS = 1500
STOP_S = 2.0  # drain notice and drain timeout after SIGTERM
UNREACHED_MS = 60_000


@pytest.fixture
def world(tmp_path):
    with World(str(tmp_path), Shape(), entries=1) as running:
        running.start_entry(
            'stopped', DATA_CENTRES[0], '--drain-timeout-ms', str(DRAIN_TIMEOUT_MS)
        )
        running.list_vms()
        running.apply_shape()
        wait_until(partial(books, running), 'bookings are answered')
        yield running


def books(world):
    """Return whether the entry VM that is stopped answers bookings."""
    return world.book(world.entries[1], 'warm', 'key-0').status == 200


def test_bookings_late_in_a_planned_stop_are_answered_or_refused(world):
    """Guard against accepting bookings until exit and cutting them unanswered."""
    for name, address in world.addresses.items():
        if name.startswith('rota'):
            faults = {'late_share': 1, 'late_ms': UNREACHED_MS}
            assert world.put(address, '/admin/faults', faults).status < 300
    stopped = world.entries[1]
    with ThreadPoolExecutor() as pool:
        accepted = pool.submit(world.book, stopped, 'taken', 'key-1')
        time.sleep(0.3)
        stopping = threading.Thread(target=stopped.terminate)
        stopping.start()
        time.sleep(STOP_S * 0.75)
        late = world.book(stopped, 'late', 'key-2')
        assert (late.status, late.body['ran']) == (503, 'no')
        answer = accepted.result()
        stopping.join()
    assert (answer.status, answer.body['ran']) == (504, 'unknown')
