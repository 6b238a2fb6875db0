"""Claims under each store fault at each step, checked against the run log."""

import pytest

from cowsliploom.coordination import (
    CLAIM_TTL_MS,
    SEND_WINDOW_MS,
    Granted,
    InFlight,
    Mismatch,
    Replay,
    RequestFinished,
    RequestNotRun,
    StoreUnavailable,
)
from cowsliploom.coordination.tests.claims_simulation import (
    ClaimsSimulation,
    FakeStore,
    Fault,
)

READ, CLAIM, FINISH = 0, 1, 2
STEPS = pytest.mark.parametrize('step', [READ, CLAIM, FINISH])
FAULTS = [fault for fault in Fault if fault is not Fault.NONE]


def play(world: ClaimsSimulation, step: int, fault: Fault) -> None:
    """Answer calls without fault up to ``step``, and that one with the fault."""
    for _ in range(step):
        world.answer()
    world.answer(fault=fault)


def retry_elsewhere(world: ClaimsSimulation, times: int = 8) -> object:
    """Retry through entry VM 1 and return the last decision."""
    ticket = 0
    for _ in range(times):
        ticket = world.request_claim(1)
        world.settle()
        world.advance(2000)
    return world.decisions[ticket]


@STEPS
@pytest.mark.parametrize('fault', FAULTS)
def test_store_call_fault_runs_request_once(step, fault):
    world = ClaimsSimulation()
    world.request_claim(0)
    play(world, step, fault)
    world.settle()
    assert isinstance(retry_elsewhere(world), Replay)
    assert len(world.runs) == 1
    assert not world.false_refusals()


@STEPS
@pytest.mark.parametrize('fault', FAULTS)
def test_swap_applied_after_caller_timeout_runs_request_once(step, fault):
    world = ClaimsSimulation()
    world.request_claim(0)
    play(world, step, fault)
    world.is_store_out = True
    world.settle()
    world.advance(3000)
    world.is_store_out = False
    world.apply_late_swaps()
    assert isinstance(retry_elsewhere(world), Replay)
    assert len(world.runs) == 1
    assert not world.false_refusals()


@STEPS
def test_store_outage_rejects_only_requests_that_did_not_run(step):
    world = ClaimsSimulation()
    ticket = world.request_claim(0)
    for _ in range(step):
        world.answer()
    world.is_store_out = True
    world.settle()
    if step == FINISH:
        assert isinstance(world.decisions[ticket], Granted)
    else:
        assert isinstance(world.decisions[ticket], StoreUnavailable)
        assert not world.runs
    other = world.request_claim(1)
    world.settle()
    assert isinstance(world.decisions[other], StoreUnavailable)
    assert not world.false_refusals()


def test_store_outage_rejects_next_claim_immediately():
    world = ClaimsSimulation(is_store_out=True)
    world.request_claim(0)
    world.answer()
    world.answer()
    ticket = world.request_claim(0)
    assert isinstance(world.decisions[ticket], StoreUnavailable)


@pytest.mark.parametrize('crash', ['before_send', 'after_send'])
def test_crash_after_claim_never_runs_request_again(crash):
    world = ClaimsSimulation()
    getattr(world, f'crash_{crash}').add(0)
    world.request_claim(0)
    world.settle()
    last = retry_elsewhere(world)
    assert isinstance(last, InFlight)
    assert last.ran == 'unknown'
    assert last.retry_after_ms > 0
    assert len(world.runs) <= 1


def test_store_outage_limits_calls_despite_pending_claims():
    world = ClaimsSimulation(daemons=1)
    for number in range(200):
        world.request_claim(0, key=f'key-{number}')
    while len(world.granted) < 100:
        world.answer()
    world.is_store_out = True
    world.settle()
    before = world.store_calls
    for _ in range(500):
        world.request_claim(0, key='late')
        world.settle(rounds=1)
        world.advance(100)
    assert world.store_calls - before <= 30
    world.is_store_out = False
    world.settle(rounds=400)
    assert not len(world.registries[0])
    assert not world.false_refusals()


def test_crash_before_claim_lets_another_entry_vm_run():
    world = ClaimsSimulation()
    world.request_claim(0)
    world.dead.add(0)
    assert isinstance(retry_elsewhere(world), Replay)
    assert len(world.runs) == 1


@pytest.mark.parametrize('pause_ms', [3000, SEND_WINDOW_MS, CLAIM_TTL_MS * 2])
@pytest.mark.parametrize('step', [READ, CLAIM])
def test_paused_daemon_never_sends_late(step, pause_ms):
    world = ClaimsSimulation()
    ticket = world.request_claim(0)
    for _ in range(step):
        world.answer()
    world.paused.add(0)
    world.answer()
    world.now_ms += pause_ms
    retry_elsewhere(world)
    world.resume(0)
    world.settle()
    assert not isinstance(world.decisions[ticket], Granted)
    assert len(world.runs) <= 1
    assert not world.false_refusals()


def test_grant_expires_at_send_deadline():
    granted = Granted('key', 'claim', send_by_ms=100)
    assert granted.may_send(99)
    assert not granted.may_send(100)


def test_send_window_ends_long_before_claims_expire():
    world = ClaimsSimulation()
    ticket = world.request_claim(0)
    world.settle()
    decision = world.decisions[ticket]
    assert isinstance(decision, Granted)
    assert decision.send_by_ms <= SEND_WINDOW_MS < CLAIM_TTL_MS / 2


def test_two_writers_of_one_segment_grant_once():
    world = ClaimsSimulation()
    first, second = world.request_claim(0), world.request_claim(1)
    world.settle()
    kinds = {type(world.decisions[ticket]) for ticket in (first, second)}
    assert kinds in ({Granted, InFlight}, {Granted, Replay})
    assert len(world.runs) == 1


def test_duplicates_in_one_daemon_grant_once():
    world = ClaimsSimulation(finishes=False)
    tickets = [world.request_claim(0) for _ in range(5)]
    world.settle()
    kinds = [type(world.decisions[ticket]) for ticket in tickets]
    assert kinds[0] is Granted
    assert set(kinds[1:]) == {InFlight}


def test_claims_are_batched_while_a_write_is_open():
    world = ClaimsSimulation(daemons=1, finishes=False)
    for number in range(2000):
        world.request_claim(0, key=f'key-{number}')
    world.settle()
    assert len(world.runs) == 2000
    assert world.store_calls <= 3 * 64


def test_key_reused_for_other_body_is_rejected_as_not_run():
    world = ClaimsSimulation()
    world.request_claim(0)
    world.settle()
    ticket = world.request_claim(1, body='other body')
    world.settle()
    assert isinstance(world.decisions[ticket], Mismatch)
    assert not world.false_refusals()


def test_not_run_frees_the_key():
    world = ClaimsSimulation(finishes=False)
    first = world.request_claim(0)
    world.settle()
    granted = world.decisions[first]
    world.runs.clear()
    world.step(0, RequestNotRun(world.now_ms, granted))
    world.settle()
    second = world.request_claim(1)
    world.settle()
    assert isinstance(world.decisions[second], Granted)


def test_late_outcome_of_an_earlier_claim_changes_nothing():
    world = ClaimsSimulation(finishes=False)
    first = world.request_claim(0)
    world.settle()
    world.step(0, RequestNotRun(world.now_ms, world.decisions[first]))
    world.settle()
    world.request_claim(1)
    world.settle()
    world.step(0, RequestFinished(world.now_ms, world.decisions[first], 'stale'))
    world.settle()
    third = world.request_claim(1)
    world.settle()
    assert isinstance(world.decisions[third], InFlight)


def test_claim_expires_by_store_clock():
    world = ClaimsSimulation()
    world.crash_after_send.add(0)
    world.request_claim(0)
    world.settle()
    assert isinstance(retry_elsewhere(world, times=1), InFlight)
    world.advance(CLAIM_TTL_MS - 10_000)
    assert isinstance(retry_elsewhere(world, times=1), InFlight)
    world.advance(CLAIM_TTL_MS)
    ticket = world.request_claim(1)
    world.settle()
    assert isinstance(world.decisions[ticket], Granted)


def test_full_segment_rejects_new_and_keeps_stored_claims(monkeypatch):
    limit = 'cowsliploom.coordination._claims_pending.CLAIMS_MAX_BYTES'
    monkeypatch.setattr(limit, 900)
    world = ClaimsSimulation(finishes=False)
    segment_zero = 'cowsliploom.coordination._claims_registry.choose_segment'
    monkeypatch.setattr(segment_zero, lambda key: 0)
    tickets = [world.request_claim(0, key=f'key-{number}') for number in range(12)]
    world.settle()
    kinds = [type(world.decisions[ticket]) for ticket in tickets]
    assert Granted in kinds and StoreUnavailable in kinds
    again = world.request_claim(1, key='key-0')
    world.settle()
    assert isinstance(world.decisions[again], InFlight)


def test_long_outcome_is_recorded_without_its_text():
    world = ClaimsSimulation(finishes=False)
    ticket = world.request_claim(0)
    world.settle()
    world.step(0, RequestFinished(world.now_ms, world.decisions[ticket], 'x' * 5000))
    world.settle()
    again = world.request_claim(1)
    world.settle()
    assert world.decisions[again] == Replay('', outcome_kept=False)


def test_unreadable_segment_is_never_overwritten():
    world = ClaimsSimulation()
    world.request_claim(0)
    world.settle()
    segment = next(iter(world.store.values))
    world.store.values[segment] = (9, 'not a segment')
    ticket = world.request_claim(1)
    world.settle()
    assert isinstance(world.decisions[ticket], StoreUnavailable)
    assert world.store.values[segment] == (9, 'not a segment')


def test_store_without_version_check_is_detected():
    world = ClaimsSimulation(store=FakeStore(fenced=False))
    world.request_claim(0)
    world.request_claim(1)
    world.settle()
    assert world.keys_run_twice() == ['k']
