"""Controller under lost store calls, races, pauses and store outages."""

from dataclasses import replace

import msgspec
import pytest

from cowsliploom.ports import Unanswered
from cowsliploom.protocol import LeaseResult, StoredValue
from cowsliploom.rollout import (
    CAUTIOUS_SCHEDULE,
    SHARES,
    AnnounceFact,
    AssignedLeadership,
    CallLease,
    CandidateChanged,
    Controller,
    ControllerTick,
    DefectKind,
    LeaseAnswered,
    LeaseLeadership,
    Move,
    MovesDeclared,
    MoveStatus,
    ReadState,
    ShareReceived,
    StateRead,
    StateSwapped,
    SwapState,
    Veto,
    VetoReceived,
)
from cowsliploom.rollout._schedule import STEP_MIN_MS
from cowsliploom.rollout.tests.move_simulation import FakeStore

MOVE = Move('move', 'rota', 'v1', 'v2', 1, finish_by_ms=60_000)
VETO = Veto('move', 'rota', 'v2', 1, DefectKind.SLOW, 'seen')
LOST = Unanswered('store', 'store', maybe_applied=True, reason='lost')
END_MS = 70_000
STEP_MS = 200


class ControllerHarness:
    """One controller with a shared store; calls can be lost by command type."""

    def __init__(self, store: FakeStore, name: str = 'a'):
        self.store = store
        self.controller = Controller(LeaseLeadership(name))
        self.facts: list[AnnounceFact] = []
        self.lost_parts: dict[type, str] = {}
        self.handle(MovesDeclared(0, (MOVE,), 2))

    def handle(self, event) -> None:
        for command in self.controller.step(event):
            if isinstance(command, AnnounceFact):
                self.facts.append(command)
            else:
                self.handle(self.answer(command, event.now_ms))

    def tick(self, now_ms: float, samples: int = 0) -> None:
        self.handle(ControllerTick(now_ms, {'move': samples}))

    def answer(self, command, now_ms):
        fault = 'request' if self.store.out else self.lost_parts.pop(type(command), '')
        answer = LOST if fault == 'request' else self.call_store(command, now_ms)
        answer = LOST if fault else answer
        match command:
            case CallLease(sent_ms=sent_ms):
                return LeaseAnswered(now_ms, sent_ms, answer)
            case ReadState(move):
                return StateRead(now_ms, move, answer)
            case SwapState(move):
                return StateSwapped(now_ms, move, answer)

    def call_store(self, command, now_ms):
        match command:
            case CallLease(call):
                return self.store.lease(call, now_ms)
            case ReadState(move):
                return self.store.read(move, now_ms)
            case SwapState():
                return self.store.swap(command)


def run(harnesses, start_ms=0, end_ms=END_MS):
    for now_ms in range(start_ms, end_ms, STEP_MS):
        for harness in harnesses:
            harness.tick(now_ms)


def versions(harness):
    return [fact.generation for fact in harness.facts]


@pytest.mark.parametrize('command_type', [CallLease, ReadState, SwapState])
@pytest.mark.parametrize('lost_part', ['request', 'answer'])
@pytest.mark.parametrize('at_ms', [0, 10_000, 30_000])
def test_lost_store_call_never_skips_a_step(command_type, lost_part, at_ms):
    harness = ControllerHarness(FakeStore())
    run([harness], 0, at_ms)
    harness.lost_parts[command_type] = lost_part
    run([harness], at_ms)
    assert harness.store.state().status is MoveStatus.FINISHED
    states = [msgspec.json.decode(fact.blob)['state'] for fact in harness.facts]
    announced = [(state['step'], state['share']) for state in states]
    assert sorted(set(announced)) == list(enumerate(SHARES))
    assert announced == sorted(announced)


def test_move_finishes_one_step_after_full_share():
    harness = ControllerHarness(FakeStore())
    run([harness])
    states = [msgspec.json.decode(fact.blob)['state'] for fact in harness.facts]
    moved_ms = min(state['updated_ms'] for state in states if state['share'] == 1)
    final = harness.store.state()
    assert final.status is MoveStatus.FINISHED
    assert STEP_MIN_MS <= final.updated_ms - moved_ms
    assert final.updated_ms <= MOVE.finish_by_ms


@pytest.mark.parametrize('suspects', [frozenset(), frozenset(('move',))])
def test_steps_of_suspect_version_do_not_end_early(suspects):
    harness = ControllerHarness(FakeStore())
    for now_ms in range(0, END_MS, STEP_MS):
        samples = {'move': now_ms}
        harness.handle(ControllerTick(now_ms, samples, suspects))
    state = harness.store.state()
    assert state.status is MoveStatus.FINISHED
    assert state.updated_ms <= MOVE.finish_by_ms
    assert (state.updated_ms > MOVE.finish_by_ms * 0.8) == bool(suspects)


def test_two_candidates_write_each_step_once():
    store = FakeStore()
    harnesses = [ControllerHarness(store, 'a'), ControllerHarness(store, 'b')]
    run(harnesses)
    assert store.values['move'][0] == len(SHARES)
    assert store.token == 1


def test_next_controller_resumes_at_stored_step():
    store = FakeStore()
    first, second = ControllerHarness(store, 'a'), ControllerHarness(store, 'b')
    run([first], 0, 20_000)
    step = store.state().step
    run([second], 20_000, 30_000)
    assert store.state().step in {step, step + 1, step + 2}
    run([second], 30_000)
    assert store.state().status is MoveStatus.FINISHED
    assert store.state().token == 2


def test_paused_controller_does_not_write_after_lease_expiry():
    store = FakeStore()
    first, second = ControllerHarness(store, 'a'), ControllerHarness(store, 'b')
    run([first], 0, 20_000)
    run([second], 20_000, 40_000)
    before = store.values['move']
    first.tick(40_000)
    assert store.values['move'] == before
    assert not first.controller.is_leader(40_000)


def test_controller_steps_down_on_reading_a_later_token():
    store = FakeStore()
    harness = ControllerHarness(store, 'a')
    run([harness], 0, 10_000)
    version, text = store.values['move']
    newer_text = text.replace('"token":1', '"token":7')
    answer = StoredValue('move', version + 1, newer_text, 10_000)
    harness.handle(StateRead(10_000, 'move', answer))
    assert not harness.controller.is_leader(10_000)


def test_controller_steps_down_on_receiving_a_later_token():
    harness = ControllerHarness(FakeStore(), 'a')
    run([harness], 0, 10_000)
    state = replace(harness.store.state(), token=7)
    harness.handle(ShareReceived(10_000, 'move', state, version=9))
    assert not harness.controller.is_leader(10_000)


def test_unrenewed_lease_expires():
    harness = ControllerHarness(FakeStore(), 'a')
    call = harness.controller.step(ControllerTick(0, {}))[0]
    late = LeaseResult('lease', 'a', 1, expires_store_ms=1000, store_ms=0)
    harness.handle(LeaseAnswered(10, call.sent_ms, late))
    assert harness.controller.is_leader(500)
    assert not harness.controller.is_leader(1000)


def test_share_is_unchanged_during_store_outage():
    store = FakeStore()
    harness = ControllerHarness(store)
    run([harness], 0, 20_000)
    share = harness.controller.states()['move'].share
    store.out = True
    run([harness], 20_000, 50_000)
    assert harness.controller.states()['move'].share == share


def test_veto_received_during_outage_is_written_afterwards():
    store = FakeStore()
    harness = ControllerHarness(store)
    run([harness], 0, 20_000)
    store.out = True
    harness.handle(VetoReceived(20_000, VETO))
    run([harness], 20_000, 30_000)
    assert store.state().status is MoveStatus.RUNNING
    store.out = False
    run([harness], 30_000, 40_000)
    assert store.state().status is MoveStatus.ROLLED_BACK
    assert store.state().share == 0
    assert 'slow' in store.state().reason


def test_veto_rolls_back_a_finished_move():
    harness = ControllerHarness(FakeStore())
    run([harness])
    harness.handle(VetoReceived(END_MS, VETO))
    run([harness], END_MS, END_MS + 2000)
    assert harness.store.state().status is MoveStatus.ROLLED_BACK


def test_announced_versions_never_decrease():
    store = FakeStore()
    harnesses = [ControllerHarness(store, 'a'), ControllerHarness(store, 'b')]
    run(harnesses)
    for harness in harnesses:
        assert versions(harness) == sorted(versions(harness))


def test_non_candidate_makes_no_store_calls():
    harness = ControllerHarness(FakeStore())
    harness.handle(CandidateChanged(0, is_candidate=False))
    run([harness])
    assert not harness.store.values
    assert not harness.store.token


def test_undecodable_state_is_not_overwritten():
    store = FakeStore(values={'move': (4, 'not a state')})
    run([ControllerHarness(store)], 0, 30_000)
    assert store.values['move'] == (4, 'not a state')


def test_older_generation_does_not_overwrite_a_newer_state():
    store = FakeStore()
    newer = Move('move', 'rota', 'v1', 'v2', 2, finish_by_ms=60_000)
    current = ControllerHarness(store, 'a')
    current.handle(MovesDeclared(0, (newer,), 2))
    run([current], 0, 20_000)
    outdated = ControllerHarness(store, 'b')
    outdated.handle(MovesDeclared(20_000, (MOVE,), 2))
    run([outdated], 28_000, 29_000)
    outdated.handle(MovesDeclared(29_000, (newer,), 2))
    run([outdated], 29_000)
    assert store.state().generation == 2
    assert store.state().status is MoveStatus.FINISHED


def run_until_last_step(harness):
    """Run until only the end of the move is left; return the time."""
    for now_ms in range(0, END_MS, STEP_MS):
        harness.tick(now_ms)
        state = harness.store.state()
        if state is not None and state.step == len(SHARES) - 2:
            return now_ms
    raise AssertionError('the move did not reach its last step')


@pytest.mark.parametrize('has_lease', [True, False])
@pytest.mark.parametrize('missed_ms', [1500, 3500, 7000])
def test_controller_that_missed_time_waits_for_vetoes(has_lease, missed_ms):
    """A controller that was frozen finished a move that all others had vetoed."""
    harness = ControllerHarness(FakeStore())
    leadership = LeaseLeadership('a') if has_lease else AssignedLeadership()
    harness.controller = Controller(leadership, CAUTIOUS_SCHEDULE)
    harness.handle(MovesDeclared(0, (replace(MOVE, finish_by_ms=12_000),), 2))
    harness.handle(CandidateChanged(0, is_candidate=True))
    now_ms = run_until_last_step(harness) + missed_ms
    harness.tick(now_ms)
    harness.tick(now_ms + STEP_MS)
    assert harness.store.state().status is MoveStatus.RUNNING
    harness.handle(VetoReceived(now_ms + STEP_MS, VETO))
    run([harness], now_ms + 2 * STEP_MS, now_ms + 20 * STEP_MS)
    assert harness.store.state().status is MoveStatus.ROLLED_BACK


@pytest.mark.parametrize('missed_ms', [3200, 3500, 5000])
def test_controller_with_a_lease_waits_for_vetoes_after_missed_time(missed_ms):
    """A controller whose lease outlived its freeze finished a vetoed move."""
    harness = ControllerHarness(FakeStore())
    harness.handle(MovesDeclared(0, (replace(MOVE, finish_by_ms=30_000),), 2))
    now_ms = run_until_last_step(harness) + missed_ms
    harness.tick(now_ms)
    harness.tick(now_ms + STEP_MS)
    assert harness.store.state().status is MoveStatus.RUNNING
    harness.handle(VetoReceived(now_ms + STEP_MS, VETO))
    run([harness], now_ms + 2 * STEP_MS, now_ms + 60 * STEP_MS)
    assert harness.store.state().status is MoveStatus.ROLLED_BACK
