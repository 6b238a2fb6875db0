"""Claims under every fault at every step, judged by the run log."""

import pytest

from cowsliploom.coordination import (
    CLAIM_TTL_MS,
    SEND_WINDOW_MS,
    Granted,
    InFlight,
    Mismatch,
    RequestNotRun,
    RequestFinished,
    Replay,
    StoreUnavailable,
)
from cowsliploom.coordination.tests.claims_simulation import FakeStore, Fault, World

READ, CLAIM, FINISH = 0, 1, 2
STEPS = pytest.mark.parametrize('step', [READ, CLAIM, FINISH])
FAULTS = [fault for fault in Fault if fault is not Fault.NONE]


def play(world: World, step: int, fault: Fault) -> None:
    """Answer calls well up to ``step``, and that one with the fault."""
    for _ in range(step):
        world.answer()
    world.answer(fault=fault)


def retry_elsewhere(world: World, times: int = 8) -> object:
    """Let the caller retry through entry VM 1 and return the last decision."""
    ticket = 0
    for _ in range(times):
        ticket = world.ask(1)
        world.settle()
        world.advance(2000)
    return world.decisions[ticket]


@STEPS
@pytest.mark.parametrize('fault', FAULTS)
def test_lost_store_call_runs_once(step, fault):
    world = World()
    world.ask(0)
    play(world, step, fault)
    world.settle()
    assert isinstance(retry_elsewhere(world), Replay)
    assert len(world.runs) == 1
    assert not world.false_refusals()


@STEPS
@pytest.mark.parametrize('fault', FAULTS)
def test_swap_that_lands_after_the_caller_left_runs_once(step, fault):
    world = World()
    world.ask(0)
    play(world, step, fault)
    world.out = True
    world.settle()
    world.advance(3000)
    world.out = False
    world.land_late()
    assert isinstance(retry_elsewhere(world), Replay)
    assert len(world.runs) == 1
    assert not world.false_refusals()


@STEPS
def test_store_outage_refuses_truly(step):
    world = World()
    ticket = world.ask(0)
    for _ in range(step):
        world.answer()
    world.out = True
    world.settle()
    if step == FINISH:
        assert isinstance(world.decisions[ticket], Granted)
    else:
        assert isinstance(world.decisions[ticket], StoreUnavailable)
        assert not world.runs
    other = world.ask(1)
    world.settle()
    assert isinstance(world.decisions[other], StoreUnavailable)
    assert not world.false_refusals()


def test_store_outage_refuses_quickly():
    world = World(out=True)
    world.ask(0)
    world.answer()
    world.answer()
    ticket = world.ask(0)
    assert isinstance(world.decisions[ticket], StoreUnavailable)


@pytest.mark.parametrize('crash', ['before_send', 'after_send'])
def test_crash_after_claim_never_runs_again(crash):
    world = World()
    getattr(world, f'crash_{crash}').add(0)
    world.ask(0)
    world.settle()
    last = retry_elsewhere(world)
    assert isinstance(last, InFlight)
    assert last.ran == 'unknown'
    assert last.retry_after_ms > 0
    assert len(world.runs) <= 1


def test_store_out_gets_few_calls_whatever_waits():
    world = World(daemons=1)
    for number in range(200):
        world.ask(0, key=f'key-{number}')
    while len(world.granted) < 100:
        world.answer()
    world.out = True
    world.settle()
    before = world.store_calls
    for _ in range(500):
        world.ask(0, key='late')
        world.settle(rounds=1)
        world.advance(100)
    assert world.store_calls - before <= 30
    world.out = False
    world.settle(rounds=400)
    assert not len(world.books[0])
    assert not world.false_refusals()


def test_crash_before_claim_lets_another_entry_run():
    world = World()
    world.ask(0)
    world.dead.add(0)
    assert isinstance(retry_elsewhere(world), Replay)
    assert len(world.runs) == 1


@pytest.mark.parametrize('pause_ms', [3000, SEND_WINDOW_MS, CLAIM_TTL_MS * 2])
@pytest.mark.parametrize('step', [READ, CLAIM])
def test_paused_daemon_never_sends_late(step, pause_ms):
    world = World()
    ticket = world.ask(0)
    for _ in range(step):
        world.answer()
    world.paused.add(0)
    world.answer()
    world.now_ms += pause_ms
    retry_elsewhere(world)
    world.wake(0)
    world.settle()
    assert not isinstance(world.decisions[ticket], Granted)
    assert len(world.runs) <= 1
    assert not world.false_refusals()


def test_grant_is_void_after_its_time():
    granted = Granted('key', 'claim', send_by_ms=100)
    assert granted.may_send(99)
    assert not granted.may_send(100)


def test_send_window_ends_long_before_claims_expire():
    world = World()
    ticket = world.ask(0)
    world.settle()
    decision = world.decisions[ticket]
    assert isinstance(decision, Granted)
    assert decision.send_by_ms <= SEND_WINDOW_MS < CLAIM_TTL_MS / 2


def test_two_writers_of_one_segment_grant_once():
    world = World()
    first, second = world.ask(0), world.ask(1)
    world.settle()
    kinds = {type(world.decisions[ticket]) for ticket in (first, second)}
    assert kinds in ({Granted, InFlight}, {Granted, Replay})
    assert len(world.runs) == 1


def test_duplicates_in_one_daemon_grant_once():
    world = World(finishes=False)
    tickets = [world.ask(0) for _ in range(5)]
    world.settle()
    kinds = [type(world.decisions[ticket]) for ticket in tickets]
    assert kinds[0] is Granted
    assert set(kinds[1:]) == {InFlight}


def test_claims_ride_in_one_write_while_one_is_open():
    world = World(daemons=1, finishes=False)
    for number in range(2000):
        world.ask(0, key=f'key-{number}')
    world.settle()
    assert len(world.runs) == 2000
    assert world.store_calls <= 3 * 64


def test_other_body_is_refused_as_not_run():
    world = World()
    world.ask(0)
    world.settle()
    ticket = world.ask(1, body='other body')
    world.settle()
    assert isinstance(world.decisions[ticket], Mismatch)
    assert not world.false_refusals()


def test_not_run_frees_the_key():
    world = World(finishes=False)
    first = world.ask(0)
    world.settle()
    granted = world.decisions[first]
    world.runs.clear()
    world.step(0, RequestNotRun(world.now_ms, granted))
    world.settle()
    second = world.ask(1)
    world.settle()
    assert isinstance(world.decisions[second], Granted)


def test_late_outcome_of_an_earlier_claim_changes_nothing():
    world = World(finishes=False)
    first = world.ask(0)
    world.settle()
    world.step(0, RequestNotRun(world.now_ms, world.decisions[first]))
    world.settle()
    world.ask(1)
    world.settle()
    world.step(0, RequestFinished(world.now_ms, world.decisions[first], 'stale'))
    world.settle()
    third = world.ask(1)
    world.settle()
    assert isinstance(world.decisions[third], InFlight)


def test_claim_expires_by_the_stores_clock():
    world = World()
    world.crash_after_send.add(0)
    world.ask(0)
    world.settle()
    assert isinstance(retry_elsewhere(world, times=1), InFlight)
    world.advance(CLAIM_TTL_MS - 10_000)
    assert isinstance(retry_elsewhere(world, times=1), InFlight)
    world.advance(CLAIM_TTL_MS)
    ticket = world.ask(1)
    world.settle()
    assert isinstance(world.decisions[ticket], Granted)


def test_full_segment_refuses_and_keeps_claims(monkeypatch):
    limit = 'cowsliploom.coordination._claims_pending.CLAIMS_MAX_BYTES'
    monkeypatch.setattr(limit, 900)
    world = World(finishes=False)
    segment_zero = 'cowsliploom.coordination._claims_registry.choose_segment'
    monkeypatch.setattr(segment_zero, lambda key: 0)
    tickets = [world.ask(0, key=f'key-{number}') for number in range(12)]
    world.settle()
    kinds = [type(world.decisions[ticket]) for ticket in tickets]
    assert Granted in kinds and StoreUnavailable in kinds
    again = world.ask(1, key='key-0')
    world.settle()
    assert isinstance(world.decisions[again], InFlight)


def test_long_outcome_is_recorded_as_run_without_its_text():
    world = World(finishes=False)
    ticket = world.ask(0)
    world.settle()
    world.step(0, RequestFinished(world.now_ms, world.decisions[ticket], 'x' * 5000))
    world.settle()
    again = world.ask(1)
    world.settle()
    assert world.decisions[again] == Replay('', outcome_kept=False)


def test_unreadable_segment_is_never_written_over():
    world = World()
    world.ask(0)
    world.settle()
    segment = next(iter(world.store.values))
    world.store.values[segment] = (9, 'not a segment')
    ticket = world.ask(1)
    world.settle()
    assert isinstance(world.decisions[ticket], StoreUnavailable)
    assert world.store.values[segment] == (9, 'not a segment')


def test_store_without_fence_is_caught():
    world = World(store=FakeStore(fenced=False))
    world.ask(0)
    world.ask(1)
    world.settle()
    assert world.keys_run_twice() == ['k']
