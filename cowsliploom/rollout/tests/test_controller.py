"""The controller under lost answers, races, pauses and a store that is out."""

from dataclasses import replace

import msgspec
import pytest

from cowsliploom.ports import Unanswered
from cowsliploom.protocol import LeaseResult, StoredValue
from cowsliploom.rollout import (
    SHARES,
    AnnounceFact,
    DefectKind,
    CallLease,
    CandidateChanged,
    Controller,
    ControllerTick,
    LeaseLeadership,
    LeaseAnswered,
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


class Player:
    """One controller on the shared store, with faults by name of its calls."""

    def __init__(self, store: FakeStore, name: str = 'a'):
        self.store = store
        self.controller = Controller(LeaseLeadership(name))
        self.facts: list[AnnounceFact] = []
        self.lost: dict[type, str] = {}
        self.take(MovesDeclared(0, (MOVE,), 2))

    def take(self, event) -> None:
        for command in self.controller.step(event):
            if isinstance(command, AnnounceFact):
                self.facts.append(command)
            else:
                self.take(self.call(command, event.now_ms))

    def tick(self, now_ms: float, samples: int = 0) -> None:
        self.take(ControllerTick(now_ms, {'move': samples}))

    def call(self, command, now_ms):
        fault = 'request' if self.store.out else self.lost.pop(type(command), '')
        answer = LOST if fault == 'request' else self.reach(command, now_ms)
        answer = LOST if fault else answer
        match command:
            case CallLease(sent_ms=sent_ms):
                return LeaseAnswered(now_ms, sent_ms, answer)
            case ReadState(move):
                return StateRead(now_ms, move, answer)
            case SwapState(move):
                return StateSwapped(now_ms, move, answer)

    def reach(self, command, now_ms):
        match command:
            case CallLease(call):
                return self.store.lease(call, now_ms)
            case ReadState(move):
                return self.store.read(move, now_ms)
            case SwapState():
                return self.store.swap(command)


def run(players, start_ms=0, end_ms=END_MS):
    for now_ms in range(start_ms, end_ms, STEP_MS):
        for player in players:
            player.tick(now_ms)


def versions(player):
    return [fact.generation for fact in player.facts]


@pytest.mark.parametrize('kind', [CallLease, ReadState, SwapState])
@pytest.mark.parametrize('lost', ['request', 'answer'])
@pytest.mark.parametrize('at_ms', [0, 10_000, 30_000])
def test_lost_call_delays_but_never_skips_a_step(kind, lost, at_ms):
    player = Player(FakeStore())
    run([player], 0, at_ms)
    player.lost[kind] = lost
    run([player], at_ms)
    assert player.store.state().status is MoveStatus.FINISHED
    states = [msgspec.json.decode(fact.blob)['state'] for fact in player.facts]
    told = [(state['step'], state['share']) for state in states]
    assert sorted(set(told)) == list(enumerate(SHARES))
    assert told == sorted(told)


def test_move_is_finished_a_step_after_all_traffic_has_moved():
    player = Player(FakeStore())
    run([player])
    states = [msgspec.json.decode(fact.blob)['state'] for fact in player.facts]
    moved_ms = min(state['updated_ms'] for state in states if state['share'] == 1)
    final = player.store.state()
    assert final.status is MoveStatus.FINISHED
    assert STEP_MIN_MS <= final.updated_ms - moved_ms
    assert final.updated_ms <= MOVE.finish_by_ms


@pytest.mark.parametrize('suspects', [frozenset(), frozenset(('move',))])
def test_suspect_version_waits_for_the_late_end_of_a_step(suspects):
    player = Player(FakeStore())
    for now_ms in range(0, END_MS, STEP_MS):
        samples = {'move': now_ms}
        player.take(ControllerTick(now_ms, samples, suspects))
    state = player.store.state()
    assert state.status is MoveStatus.FINISHED
    assert state.updated_ms <= MOVE.finish_by_ms
    assert (state.updated_ms > MOVE.finish_by_ms * 0.8) == bool(suspects)


def test_two_controllers_take_each_step_once():
    store = FakeStore()
    players = [Player(store, 'a'), Player(store, 'b')]
    run(players)
    assert store.values['move'][0] == len(SHARES)
    assert store.token == 1


def test_next_controller_resumes_where_the_last_stopped():
    store = FakeStore()
    first, second = Player(store, 'a'), Player(store, 'b')
    run([first], 0, 20_000)
    step = store.state().step
    run([second], 20_000, 30_000)
    assert store.state().step in {step, step + 1, step + 2}
    run([second], 30_000)
    assert store.state().status is MoveStatus.FINISHED
    assert store.state().token == 2


def test_paused_controller_wakes_without_effect():
    store = FakeStore()
    first, second = Player(store, 'a'), Player(store, 'b')
    run([first], 0, 20_000)
    run([second], 20_000, 40_000)
    before = store.values['move']
    first.tick(40_000)
    assert store.values['move'] == before
    assert not first.controller.is_leader(40_000)


def test_controller_with_an_old_token_steps_down_when_it_reads():
    store = FakeStore()
    player = Player(store, 'a')
    run([player], 0, 10_000)
    version, text = store.values['move']
    later = text.replace('"token":1', '"token":7')
    answer = StoredValue('move', version + 1, later, 10_000)
    player.take(StateRead(10_000, 'move', answer))
    assert not player.controller.is_leader(10_000)


def test_controller_steps_down_when_it_hears_of_a_later_one():
    player = Player(FakeStore(), 'a')
    run([player], 0, 10_000)
    state = replace(player.store.state(), token=7)
    player.take(ShareReceived(10_000, 'move', state, version=9))
    assert not player.controller.is_leader(10_000)


def test_lease_that_is_not_renewed_is_used_only_while_it_lasts():
    player = Player(FakeStore(), 'a')
    call = player.controller.step(ControllerTick(0, {}))[0]
    late = LeaseResult('lease', 'a', 1, expires_store_ms=1000, store_ms=0)
    player.take(LeaseAnswered(10, call.sent_ms, late))
    assert player.controller.is_leader(500)
    assert not player.controller.is_leader(1000)


def test_store_out_freezes_the_share():
    store = FakeStore()
    player = Player(store)
    run([player], 0, 20_000)
    share = player.controller.states()['move'].share
    store.out = True
    run([player], 20_000, 50_000)
    assert player.controller.states()['move'].share == share


def test_veto_heard_in_an_outage_is_written_afterwards():
    store = FakeStore()
    player = Player(store)
    run([player], 0, 20_000)
    store.out = True
    player.take(VetoReceived(20_000, VETO))
    run([player], 20_000, 30_000)
    assert store.state().status is MoveStatus.RUNNING
    store.out = False
    run([player], 30_000, 40_000)
    assert store.state().status is MoveStatus.ROLLED_BACK
    assert store.state().share == 0
    assert 'slow' in store.state().reason


def test_veto_after_the_end_takes_a_finished_move_back():
    player = Player(FakeStore())
    run([player])
    player.take(VetoReceived(END_MS, VETO))
    run([player], END_MS, END_MS + 2000)
    assert player.store.state().status is MoveStatus.ROLLED_BACK


def test_facts_of_a_move_only_grow():
    store = FakeStore()
    players = [Player(store, 'a'), Player(store, 'b')]
    run(players)
    for player in players:
        assert versions(player) == sorted(versions(player))


def test_daemons_that_may_not_lead_call_nothing():
    player = Player(FakeStore())
    player.take(CandidateChanged(0, is_candidate=False))
    run([player])
    assert not player.store.values
    assert not player.store.token


def test_unreadable_state_is_left_alone():
    store = FakeStore(values={'move': (4, 'not a state')})
    run([Player(store)], 0, 30_000)
    assert store.values['move'] == (4, 'not a state')


def test_older_generation_waits_for_the_configuration():
    store = FakeStore()
    newer = Move('move', 'rota', 'v1', 'v2', 2, finish_by_ms=60_000)
    ahead = Player(store, 'a')
    ahead.take(MovesDeclared(0, (newer,), 2))
    run([ahead], 0, 20_000)
    behind = Player(store, 'b')
    behind.take(MovesDeclared(20_000, (MOVE,), 2))
    run([behind], 28_000, 29_000)
    behind.take(MovesDeclared(29_000, (newer,), 2))
    run([behind], 29_000)
    assert store.state().generation == 2
    assert store.state().status is MoveStatus.FINISHED
