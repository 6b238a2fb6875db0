import threading
import time

import pytest
import urllib3

from cowsliploom.adapters import HttpStore, SystemClock
from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered, Unchanged
from cowsliploom.protocol import LeaseCall
from cowsliploom.standins import StoreFaults, StoreMode
from cowsliploom.standins._http import StandinServer
from cowsliploom.standins._platform import Platform
from cowsliploom.standins._store import VALUE_BYTES_MAX, StoreState

TIMEOUT_MS = 5000


@pytest.fixture
def platform():
    return Platform(StoreState(), SystemClock())


@pytest.fixture
def store(platform):
    with StandinServer('127.0.0.1:0', platform.answer, threads=8) as server:
        with HttpStore(server.address) as http_store:
            yield http_store


def test_read_returns_value_of_successful_swap_over_http(store):
    key = 'configuration/segment/1'
    assert store.read(key, TIMEOUT_MS) == Absent(key)
    assert store.swap(key, 'text', 0, TIMEOUT_MS) == Swapped(1)
    assert store.swap(key, 'late', 0, TIMEOUT_MS) == Conflict(1)
    assert store.read(key, TIMEOUT_MS).value == 'text'


def test_watch_returns_when_key_is_created(platform, store):
    seen = []
    watcher = threading.Thread(
        target=lambda: seen.append(store.watch('key', 0, wait_ms=TIMEOUT_MS))
    )
    watcher.start()
    while not platform.counters.watches_waiting:
        time.sleep(0.001)
    store.swap('key', 'text', 0, TIMEOUT_MS)
    watcher.join()
    assert seen[0].version == 1
    assert platform.counters.watches_waiting == 0


def test_outage_interrupts_waiting_watch(platform, store):
    seen = []
    watcher = threading.Thread(
        target=lambda: seen.append(store.watch('key', 0, wait_ms=TIMEOUT_MS))
    )
    watcher.start()
    while not platform.counters.watches_waiting:
        time.sleep(0.001)
    urllib3.request(
        'PUT', f'http://{store.address}/admin/faults', json={'mode': 'down'}
    )
    platform.state.swap('key', 'text', 0, 0)
    watcher.join()
    assert isinstance(seen[0], Unanswered)


def test_watch_without_change_returns_unchanged(store):
    assert store.watch('key', 0, wait_ms=10) == Unchanged('key')


def test_lease_held_by_another_returns_its_holder(store):
    first = store.lease('controller', LeaseCall('a', 60_000), TIMEOUT_MS)
    second = store.lease('controller', LeaseCall('b', 60_000), TIMEOUT_MS)
    assert (first.holder, second.holder, second.token) == ('a', 'a', first.token)


@pytest.mark.parametrize(
    ('mode', 'version'),
    [
        (StoreMode.DOWN, 0),
        (StoreMode.LOSE_REQUESTS, 0),
        (StoreMode.LOSE_ANSWERS, 1),
    ],
)
def test_fault_drops_response_and_applies_write_by_mode(platform, store, mode, version):
    platform.faults = StoreFaults(mode, calls=1)
    outcome = store.swap('key', 'text', 0, TIMEOUT_MS)
    assert isinstance(outcome, Unanswered)
    assert outcome.maybe_applied
    assert platform.state.version('key') == version
    assert store.swap('key', 'text', version, TIMEOUT_MS) == Swapped(version + 1)


def test_slow_store_applies_write_after_caller_timeout(platform, store):
    platform.faults = StoreFaults(StoreMode.SLOW, delay_ms=100, calls=1)
    assert isinstance(store.swap('key', 'text', 0, timeout_ms=20), Unanswered)
    newer = store.watch('key', 0, wait_ms=TIMEOUT_MS)
    assert newer.version == 1


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('GET', '/nothing', b'', 404),
        ('PUT', '/kv/key', b'{', 400),
        ('GET', '/kv/key?after_version=x', b'', 400),
        ('PUT', '/admin/faults', b'{"mode": "odd"}', 400),
        ('PUT', '/admin/faults', b'{"modes": "down"}', 400),
        ('PUT', '/admin/vms', b'{"vms": [], "store_ms": 0}', 200),
        ('GET', '/admin/counters', b'', 200),
        (
            'PUT',
            '/kv/key',
            b'{"value":"%s","expected_version":0}' % (b'x' * (VALUE_BYTES_MAX + 1)),
            413,
        ),
    ],
)
def test_request_returns_expected_status(store, method, path, body, status):
    url = f'http://{store.address}{path}'
    assert urllib3.request(method, url, body=body, retries=False).status == status
