"""On the users' platform a bad version meets few requests, whenever it turns bad."""

from collections import deque
from dataclasses import dataclass

import pytest

from cowsliploom.rollout import (
    CandidateChanged,
    MoveStatus,
    cautious_rollout,
)
from cowsliploom.rollout.tests.exposure_simulation import (
    BAD,
    BAD_MAX,
    EXPOSED_SHARE,
    EXPOSED_SLACK,
    GIVE_UP_MS,
    ORDERED_MS,
    REMEMBERED,
)
from cowsliploom.rollout.tests.move_simulation import MoveSimulation, configuration

WARM_UP_MS = ORDERED_MS


@dataclass
class BoundedSimulation(MoveSimulation):
    """Daemons that are appointed, tell evidence to two, and remember past calls."""

    daemons: int = 8

    def __post_init__(self):
        super().__post_init__()
        self.order = configuration(self.finish_by_ms + WARM_UP_MS, self.servers)
        self.past = [deque(maxlen=REMEMBERED) for _ in range(self.daemons)]
        self.exposed = 0
        self.bad_answers = 0
        self.give_up_ms = float('inf')
        self.late_calls = 0

    def make_rollout(self, idx):
        """Return the part of one daemon; the first is the controller."""
        rollout = cautious_rollout(f'entry-{idx}', 'a')
        rollout.step_controller(CandidateChanged(0, is_candidate=idx == 0))
        return rollout

    def hearers(self, fact):
        """Tell evidence to the controller and the next one, the rest to all."""
        return range(2 if fact.key.startswith('evidence') else self.daemons)

    def declare(self, declared):
        """Order the move only once there was traffic."""

    def order_move(self):
        """Order the move."""
        MoveSimulation.declare(self, self.order)

    def play(self):
        """Play the time before the order, the move and a while after it."""
        self.run(WARM_UP_MS)
        self.order_move()
        for daemon, rollout in enumerate(self.rollouts):
            for sample in self.past[daemon]:
                rollout.sample(sample)
        return self.run(WARM_UP_MS + self.finish_by_ms + 20_000)

    def _call(self, daemon):
        before = self.new_calls
        sample = super()._call(daemon)
        if self.new_calls == before:
            self.past[daemon].append(sample)
            return sample
        self.late_calls += self.now_ms > self.give_up_ms
        if self.now_ms <= WARM_UP_MS + self.finish_by_ms:
            self.exposed += 1
        if not sample.ok or sample.elapsed_ms > 15:
            self.bad_answers += 1
            if self.bad_answers == BAD_MAX:
                self.give_up_ms = self.now_ms + GIVE_UP_MS
        return sample

    def allowed(self):
        """Return how many requests a bad version may have met in time."""
        per_ms = self.calls_per_s / 1000
        return EXPOSED_SHARE * per_ms * self.finish_by_ms + EXPOSED_SLACK


@pytest.mark.parametrize('calls_per_s', [11, 45, 200])
@pytest.mark.parametrize('given_ms', [12_000, 30_000, 60_000])
@pytest.mark.parametrize('case', BAD)
def test_bad_version_meets_few_requests(case, given_ms, calls_per_s):
    world = BoundedSimulation(
        seed=5, new=BAD[case], finish_by_ms=given_ms, calls_per_s=calls_per_s, cold_ms=0
    ).play()
    assert world.exposed <= world.allowed()
    assert world.late_calls == 0


@pytest.mark.parametrize('calls_per_s', [2, 45, 200])
@pytest.mark.parametrize('given_ms', [12_000, 30_000])
def test_good_version_is_finished_in_time(given_ms, calls_per_s):
    world = BoundedSimulation(finish_by_ms=given_ms, calls_per_s=calls_per_s).play()
    assert world.store.state().status is MoveStatus.FINISHED
    assert world.finished_ms <= WARM_UP_MS + given_ms
    assert not any(rollout.vetoes() for rollout in world.rollouts)
