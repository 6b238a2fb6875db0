"""Inconclusive and suspect versions, and the recorded ends of earlier moves."""

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
from cowsliploom.rollout._holds import CONCLUSIVE_CALLS
from cowsliploom.rollout._traffic import Traffic

GIVEN_MS = 10_000
STEP_MS = 100


def move_to(version):
    """Return a move of the service to a version."""
    return Move('rota', 'rota', 'old', version, 0, GIVEN_MS)


NONE: frozenset[str] = frozenset()
INCONCLUSIVE = frozenset(('rota',))


class SingleControllerHarness:
    """One controller and the only key of its store."""

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

    def declare(self, version):
        """Declare a move to a version."""
        declared = MovesDeclared(self.now_ms, (move_to(version),), 1)
        self.controller.step(declared)
        self.controller.step(CandidateChanged(self.now_ms, is_candidate=True))
        return self

    def run(self, until_ms, inconclusive=NONE):
        """Advance the time in steps."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            suspects = inconclusive if self.is_suspect else NONE
            samples = {'rota': self.calls}
            tick = ControllerTick(
                self.now_ms,
                samples,
                suspects,
                inconclusive,
                baked_ms={'rota': self.now_ms},
            )
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


def test_inconclusive_version_keeps_its_share():
    harness = SingleControllerHarness().declare('v2').run(4000)
    step = harness.state.step
    assert step > 0
    assert harness.run(9000, INCONCLUSIVE).state.step == step


def test_inconclusive_version_with_few_calls_gets_more_but_not_all_traffic():
    harness = SingleControllerHarness().declare('v2').run(1500)
    harness.calls = CONCLUSIVE_CALLS - 1
    step = harness.state.step
    harness.run(2 * GIVEN_MS, INCONCLUSIVE)
    assert harness.state.step > step
    assert harness.state.status is MoveStatus.RUNNING
    assert harness.state.share < 1


@pytest.mark.parametrize('late_ms', [GIVEN_MS - STEP_MS, GIVEN_MS, GIVEN_MS + 2500])
def test_move_first_seen_at_its_deadline_or_later_finishes(late_ms):
    """The controller failed on a division by the time given, which was zero."""
    harness = SingleControllerHarness()
    harness.now_ms = late_ms - STEP_MS
    harness.declare('v2').run(late_ms + 2 * GIVEN_MS)
    assert harness.state.status is MoveStatus.FINISHED


def test_suspect_version_with_few_calls_keeps_its_share():
    harness = SingleControllerHarness().declare('v2').run(4000)
    harness.calls = 1
    harness.is_suspect = True
    step = harness.state.step
    assert harness.run(9000, INCONCLUSIVE).state.step == step


def test_version_cleared_in_time_finishes():
    harness = (
        SingleControllerHarness()
        .declare('v2')
        .run(4000)
        .run(6000, INCONCLUSIVE)
        .run(GIVEN_MS)
    )
    assert harness.state.status is MoveStatus.FINISHED
    assert harness.written[-1][0] <= GIVEN_MS


def test_inconclusive_version_at_the_end_waits_until_cleared():
    harness = (
        SingleControllerHarness()
        .declare('v2')
        .run(4000)
        .run(1.2 * GIVEN_MS, INCONCLUSIVE)
    )
    assert harness.state.status is MoveStatus.RUNNING
    assert harness.run(2 * GIVEN_MS).state.status is MoveStatus.FINISHED


def test_suspect_version_at_the_end_is_rolled_back():
    harness = SingleControllerHarness().declare('v2').run(4000)
    harness.is_suspect = True
    harness.run(GIVEN_MS, INCONCLUSIVE)
    assert harness.state.status is MoveStatus.ROLLED_BACK
    assert harness.state.share == 0
    assert 'doubt' in harness.state.reason


@pytest.mark.parametrize(
    ('status', 'abandoned', 'rejected'),
    [
        (MoveStatus.RUNNING, ('v2',), ()),
        (MoveStatus.ROLLED_BACK, (), ('v2',)),
        (MoveStatus.FINISHED, (), ()),
    ],
)
def test_next_move_records_the_end_of_the_previous_one(status, abandoned, rejected):
    before = MoveState(0, 'v2', status, 3, 0.1, 0, 0, 0)
    state = SingleControllerHarness(before).declare('v3').run(500).state
    assert (state.to_version, state.status) == ('v3', MoveStatus.RUNNING)
    assert (state.abandoned, state.rejected) == (abandoned, rejected)


def test_rejected_version_is_rolled_back_at_once():
    before = MoveState(0, 'v3', MoveStatus.FINISHED, 9, 1, 0, 0, 0, rejected=('v2',))
    harness = SingleControllerHarness(before).declare('v2').run(GIVEN_MS)
    assert [state.status for _, state in harness.written] == [MoveStatus.ROLLED_BACK]
    assert harness.state.reason == 'taken back before'


def test_controller_waits_after_reading_a_foreign_state():
    started_long_ago = MoveState(0, 'v2', MoveStatus.RUNNING, 3, 0.05, -5000, -5000, 0)
    harness = SingleControllerHarness(started_long_ago).declare('v2').run(3000)
    first_ms = harness.written[0][0]
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
def test_expected_requests_extrapolate_the_observed_rate(counts, expected):
    traffic = Traffic()
    for now_ms, requests in counts:
        traffic = traffic.with_count(now_ms, requests)
    assert traffic.expected_requests(counts[-1][0], GIVEN_MS) == expected
