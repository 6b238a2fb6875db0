from dataclasses import dataclass, replace

import pytest

from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered, Unchanged
from cowsliploom.protocol import LeaseCall, VmInfo, VmList
from cowsliploom.standins import MemoryStore, StoreFaults, StoreMode
from cowsliploom.standins._store import VALUE_BYTES_MAX, StoreState


@dataclass
class ManualClock:
    time_ms: float = 1000

    def now_ms(self) -> float:
        return self.time_ms

    def wall_ms(self) -> float:
        return self.time_ms


@pytest.mark.parametrize(
    ('stored', 'expected_version', 'outcome'),
    [
        (0, 0, Swapped(1)),
        (0, 1, Conflict(0)),
        (2, 2, Swapped(3)),
        (2, 1, Conflict(2)),
        (2, 0, Conflict(2)),
    ],
)
def test_swap_writes_only_at_expected_version(stored, expected_version, outcome):
    state = StoreState()
    for version in range(stored):
        state.swap('key', 'old', version, 0)
    assert state.swap('key', 'new', expected_version, 0) == outcome
    written = state.version('key') == stored + 1
    assert written == isinstance(outcome, Swapped)


HELD = LeaseCall('a', ttl_ms=100)


@pytest.mark.parametrize(
    ('now_ms', 'call', 'granted', 'holder', 'token'),
    [
        (50, LeaseCall('b', 100), False, 'a', 1),
        (99, LeaseCall('b', 100), False, 'a', 1),
        (100, LeaseCall('b', 100), True, 'b', 2),
        (50, LeaseCall('a', 100, token=1), True, 'a', 1),
        (100, LeaseCall('a', 100, token=1), False, '', 1),
        (50, LeaseCall('a', 100), True, 'a', 2),
        (50, LeaseCall('a', 100, token=7), False, 'a', 1),
        (50, LeaseCall('b', 100, token=1), False, 'a', 1),
        (50, LeaseCall('a', 100, token=1, release=True), True, '', 1),
        (50, LeaseCall('b', 100, token=1, release=True), False, 'a', 1),
    ],
)
def test_lease_is_granted_to_one_holder_at_a_time(now_ms, call, granted, holder, token):
    state = StoreState()
    state.lease('l', HELD, 0)
    outcome = state.lease('l', call, now_ms)
    lease = outcome.lease
    assert (outcome.granted, lease.holder, lease.token) == (granted, holder, token)


def test_tokens_increase_after_release_and_expiry():
    state = StoreState()
    tokens = [state.lease('l', HELD, 0).lease.token]
    state.lease('l', replace(HELD, token=1, release=True), 10)
    tokens.append(state.lease('l', replace(HELD, holder='b'), 20).lease.token)
    tokens.append(state.lease('l', HELD, 200).lease.token)
    assert tokens == [1, 2, 3]


def test_vm_list_change_is_visible_after_lag():
    state = StoreState(vms_lag_ms=500)
    vm = VmInfo('e1', 'entry', '127.0.0.1:1', 'de')
    state.put_vms(VmList((vm,), 0), now_ms=0)
    assert [state.list_vms(now).vms for now in (499, 500)] == [(), (vm,)]


@pytest.mark.parametrize(
    ('faults', 'maybe_applied', 'version'),
    [
        (StoreFaults(StoreMode.DOWN), False, 0),
        (StoreFaults(StoreMode.LOSE_REQUESTS), True, 0),
        (StoreFaults(StoreMode.LOSE_ANSWERS), True, 1),
        (StoreFaults(StoreMode.SLOW, delay_ms=101), True, 1),
        (StoreFaults(StoreMode.DOWN, key_prefix='k'), False, 0),
        (StoreFaults(StoreMode.DOWN, writes_only=True), False, 0),
    ],
)
def test_unanswered_write_reports_whether_possibly_applied(
    faults, maybe_applied, version
):
    store = MemoryStore(ManualClock())
    store.faults = faults
    outcome = store.swap('key', 'text', 0, timeout_ms=100)
    assert isinstance(outcome, Unanswered)
    assert (outcome.maybe_applied, store.state.version('key')) == (
        maybe_applied,
        version,
    )


@pytest.mark.parametrize(
    'faults',
    [
        StoreFaults(StoreMode.SLOW, delay_ms=100),
        StoreFaults(StoreMode.DOWN, key_prefix='other'),
        StoreFaults(StoreMode.DOWN, calls=0),
    ],
)
def test_call_outside_fault_scope_succeeds(faults):
    store = MemoryStore(ManualClock())
    store.faults = faults
    assert store.swap('key', 'text', 0, timeout_ms=100) == Swapped(1)


def test_fault_ends_after_configured_calls():
    store = MemoryStore(ManualClock())
    store.faults = StoreFaults(StoreMode.DOWN, calls=1)
    outcomes = [store.read('key', 100), store.read('key', 100)]
    assert [type(outcome) for outcome in outcomes] == [Unanswered, Absent]


def test_watch_returns_only_newer_versions():
    store = MemoryStore(ManualClock())
    store.swap('key', 'text', 0, timeout_ms=100)
    assert store.watch('key', 1, wait_ms=0) == Unchanged('key')
    assert store.watch('absent', 0, wait_ms=0) == Unchanged('absent')
    assert store.watch('key', 0, wait_ms=0).version == 1


def test_value_over_size_limit_is_not_written():
    store = MemoryStore(ManualClock())
    outcome = store.swap('key', 'x' * (VALUE_BYTES_MAX + 1), 0, timeout_ms=100)
    assert not outcome.maybe_applied
    assert store.state.version('key') == 0
