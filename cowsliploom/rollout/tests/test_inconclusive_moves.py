"""A version in doubt is held where it is, and earlier ends are remembered."""

import msgspec
import pytest

from cowsliploom.ports import Absent, Swapped
from cowsliploom.protocol import StoredValue
from cowsliploom.rollout import (
    CAUTIOUS_SCHEDULE,
    AssignedLeadership,
    CandidateChanged,
    Controller,
    ControllerTick,
    Move,
    MovesDeclared,
    MoveState,
    MoveStatus,
    ReadState,
    StateRead,
    StateSwapped,
    SwapState,
)
from cowsliploom.rollout._controller import CONCLUSIVE_CALLS
from cowsliploom.rollout._traffic import Traffic

GIVEN_MS = 10_000
STEP_MS = 100


def move_to(version):
    """Return the order to move the service to a version."""
    return Move('rota', 'rota', 'old', version, 0, GIVEN_MS)


NONE: frozenset[str] = frozenset()
DOUBT = frozenset(('rota',))


class Played:
    """A controller and the store's one key."""

    def __init__(self, state=None):
        self.controller = Controller(
            AssignedLeadership(), CAUTIOUS_SCHEDULE, retries_rejected=False
        )
        self.state = state
        self.is_suspect = False
        self.calls = CONCLUSIVE_CALLS
        self.version = 1 if state else 0
        self.now_ms = 0
        self.written = []

    def order(self, version):
        """Order a version of the service."""
        declared = MovesDeclared(self.now_ms, (move_to(version),), 1)
        self.controller.step(declared)
        self.controller.step(CandidateChanged(self.now_ms, is_candidate=True))
        return self

    def run(self, until_ms, doubts=NONE):
        """Let time pass."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            suspects = doubts if self.is_suspect else NONE
            samples = {'rota': self.calls}
            tick = ControllerTick(self.now_ms, samples, suspects, doubts)
            for command in self.controller.step(tick):
                self._answer(command)
        return self

    def _answer(self, command):
        match command:
            case ReadState(move):
                answer = Absent(move)
                if self.state:
                    text = msgspec.json.encode(self.state).decode()
                    answer = StoredValue(move, self.version, text, 0)
                self.controller.step(StateRead(self.now_ms, move, answer))
            case SwapState(move, text):
                self.version += 1
                self.state = msgspec.json.decode(text, type=MoveState)
                self.written.append((self.now_ms, self.state))
                swapped = StateSwapped(self.now_ms, move, Swapped(self.version))
                self.controller.step(swapped)


def test_a_version_in_doubt_gets_no_greater_share():
    played = Played().order('v2').run(4000)
    step = played.state.step
    assert step > 0
    assert played.run(9000, DOUBT).state.step == step


def test_a_version_in_doubt_with_few_calls_has_more_of_them_but_not_all():
    played = Played().order('v2').run(1500)
    played.calls = CONCLUSIVE_CALLS - 1
    step = played.state.step
    played.run(2 * GIVEN_MS, DOUBT)
    assert played.state.step > step
    assert played.state.status is MoveStatus.RUNNING
    assert played.state.share < 1


def test_a_suspect_version_with_few_calls_gets_no_greater_share():
    played = Played().order('v2').run(4000)
    played.calls = 1
    played.is_suspect = True
    step = played.state.step
    assert played.run(9000, DOUBT).state.step == step


def test_a_version_that_is_cleared_in_time_is_finished():
    played = Played().order('v2').run(4000).run(6000, DOUBT).run(GIVEN_MS)
    assert played.state.status is MoveStatus.FINISHED
    assert played.written[-1][0] <= GIVEN_MS


def test_a_version_in_some_doubt_at_the_end_waits_until_it_is_cleared():
    played = Played().order('v2').run(4000).run(1.2 * GIVEN_MS, DOUBT)
    assert played.state.status is MoveStatus.RUNNING
    assert played.run(2 * GIVEN_MS).state.status is MoveStatus.FINISHED


def test_a_suspect_version_at_the_end_is_taken_back():
    played = Played().order('v2').run(4000)
    played.is_suspect = True
    played.run(GIVEN_MS, DOUBT)
    assert played.state.status is MoveStatus.ROLLED_BACK
    assert played.state.share == 0
    assert 'doubt' in played.state.reason


@pytest.mark.parametrize(
    ('status', 'abandoned', 'rejected'),
    [
        (MoveStatus.RUNNING, ('v2',), ()),
        (MoveStatus.ROLLED_BACK, (), ('v2',)),
        (MoveStatus.FINISHED, (), ()),
    ],
)
def test_the_next_move_remembers_how_the_one_before_has_ended(
    status, abandoned, rejected
):
    before = MoveState(0, 'v2', status, 3, 0.1, 0, 0, 0)
    state = Played(before).order('v3').run(500).state
    assert (state.to_version, state.status) == ('v3', MoveStatus.RUNNING)
    assert (state.abandoned, state.rejected) == (abandoned, rejected)


def test_a_version_that_was_taken_back_is_not_tried_again():
    before = MoveState(0, 'v3', MoveStatus.FINISHED, 9, 1, 0, 0, 0, rejected=('v2',))
    played = Played(before).order('v2').run(GIVEN_MS)
    assert [state.status for _, state in played.written] == [MoveStatus.ROLLED_BACK]
    assert played.state.reason == 'taken back before'


def test_a_controller_that_finds_anothers_state_waits_before_its_next_step():
    long_ago = MoveState(0, 'v2', MoveStatus.RUNNING, 3, 0.05, -5000, -5000, 0)
    played = Played(long_ago).order('v2').run(3000)
    first_ms = played.written[0][0]
    assert CAUTIOUS_SCHEDULE.settle_ms <= first_ms <= 2 * CAUTIOUS_SCHEDULE.settle_ms


@pytest.mark.parametrize(
    ('counts', 'expected'),
    [
        ([(0, 500)], None),
        ([(0, 500), (1500, 500)], None),
        ([(0, 500), (1000, 520), (3000, 560)], 200),
        ([(0, 0), (1000, 0), (2000, 0)], 0),
    ],
)
def test_requests_are_expected_from_those_since_the_order(counts, expected):
    traffic = Traffic()
    for now_ms, requests in counts:
        traffic = traffic.with_count(now_ms, requests)
    assert traffic.expected_requests(counts[-1][0], GIVEN_MS) == expected
