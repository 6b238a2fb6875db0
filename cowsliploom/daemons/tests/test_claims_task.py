"""Claims task on an in-memory store, with real threads."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from cowsliploom.adapters import SystemClock
from cowsliploom.coordination import (
    Granted,
    InFlight,
    Mismatch,
    Replay,
    StoreUnavailable,
)
from cowsliploom.daemons._claims_task import ClaimsTask
from cowsliploom.standins import MemoryStore, StoreFaults, StoreMode

WAIT_S = 10


class BrokenStore:
    """Store whose adapter raises an exception."""

    def read(self, key, timeout_ms):
        raise ValueError('a bug')


@pytest.fixture
def store(clock):
    return MemoryStore(clock)


@pytest.fixture
def clock():
    return SystemClock()


@pytest.fixture
def claims(store, clock):
    with ClaimsTask(store, clock, 'entry-1') as task:
        yield task


def claim(task, clock, body='digest', timeout_ms=3000):
    future = task.claim('caller', 'key', body, clock.now_ms() + timeout_ms)
    return future.result(WAIT_S)


def test_finished_claim_is_replayed_by_another_daemon(store, clock, claims):
    granted = claim(claims, clock)
    assert isinstance(granted, Granted)
    assert granted.may_send(clock.now_ms())
    with ClaimsTask(store, clock, 'entry-2') as other:
        assert isinstance(claim(other, clock), InFlight)
        assert isinstance(claim(other, clock, body='other'), Mismatch)
    claims.record_outcome(granted, 'booked')
    claims.__exit__(None, None, None)
    with ClaimsTask(store, clock, 'entry-2') as other:
        assert claim(other, clock) == Replay('booked')


def test_not_run_claim_is_granted_again(clock, claims):
    claims.record_not_run(claim(claims, clock))
    assert isinstance(claim(claims, clock), Granted)


def test_claim_with_store_down_is_refused_as_not_run(store, clock, claims):
    store.faults = StoreFaults(StoreMode.DOWN)
    refused = claim(claims, clock)
    assert isinstance(refused, StoreUnavailable)
    assert refused.ran == 'no'


def test_exception_in_store_adapter_counts_as_outage(clock):
    with ClaimsTask(BrokenStore(), clock, 'entry-1') as broken:
        assert isinstance(claim(broken, clock), StoreUnavailable)


def test_concurrent_claims_of_one_key_are_granted_once(store, clock):
    with ExitStack() as stack:
        tasks = [
            stack.enter_context(ClaimsTask(store, clock, f'entry-{index}'))
            for index in range(4)
        ]
        callers = stack.enter_context(ThreadPoolExecutor(8))
        decisions = list(callers.map(lambda task: claim(task, clock), tasks * 4))
    assert sum(isinstance(decision, Granted) for decision in decisions) == 1


def test_claim_after_task_has_stopped_is_refused(store, clock):
    with ClaimsTask(store, clock, 'entry-1') as task:
        assert isinstance(claim(task, clock), Granted)
    assert isinstance(claim(task, clock), StoreUnavailable)
