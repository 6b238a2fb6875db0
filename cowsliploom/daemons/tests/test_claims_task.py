"""The claims task over a store in memory, with real threads."""

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
    """A store whose adapter has a bug."""

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


def ask(task, clock, body='digest', timeout_ms=3000):
    future = task.claim('caller', 'key', body, clock.now_ms() + timeout_ms)
    return future.result(WAIT_S)


def test_claim_is_granted_then_replayed_elsewhere(store, clock, claims):
    granted = ask(claims, clock)
    assert isinstance(granted, Granted)
    assert granted.may_send(clock.now_ms())
    with ClaimsTask(store, clock, 'entry-2') as other:
        assert isinstance(ask(other, clock), InFlight)
        assert isinstance(ask(other, clock, body='other'), Mismatch)
    claims.finish(granted, 'booked')
    claims.__exit__(None, None, None)
    with ClaimsTask(store, clock, 'entry-2') as other:
        assert ask(other, clock) == Replay('booked')


def test_not_run_lets_the_caller_try_again(clock, claims):
    claims.not_run(ask(claims, clock))
    assert isinstance(ask(claims, clock), Granted)


def test_store_out_is_said_in_time(store, clock, claims):
    store.faults = StoreFaults(StoreMode.DOWN)
    refused = ask(claims, clock)
    assert isinstance(refused, StoreUnavailable)
    assert refused.ran == 'no'


def test_store_that_raises_is_an_outage(clock):
    with ClaimsTask(BrokenStore(), clock, 'entry-1') as broken:
        assert isinstance(ask(broken, clock), StoreUnavailable)


def test_many_daemons_grant_one_claim(store, clock):
    with ExitStack() as stack:
        tasks = [
            stack.enter_context(ClaimsTask(store, clock, f'entry-{index}'))
            for index in range(4)
        ]
        callers = stack.enter_context(ThreadPoolExecutor(8))
        decisions = list(callers.map(lambda task: ask(task, clock), tasks * 4))
    assert sum(isinstance(decision, Granted) for decision in decisions) == 1


def test_claim_after_the_stop_is_refused(store, clock):
    with ClaimsTask(store, clock, 'entry-1') as task:
        assert isinstance(ask(task, clock), Granted)
    assert isinstance(ask(task, clock), StoreUnavailable)
