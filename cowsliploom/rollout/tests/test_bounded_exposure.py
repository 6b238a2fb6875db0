"""Exposure to a bad version and completion of a good one, without other faults."""

from collections import deque
from dataclasses import dataclass

import pytest

from cowsliploom.rollout import (
    CandidateChanged,
    MoveStatus,
    cautious_rollout,
)
from cowsliploom.rollout.tests.exposure_simulation import (
    BAD_ANSWERS_MAX,
    BAD_VERSIONS,
    BUFFERED_CALLS,
    EXPOSED_SHARE,
    EXPOSED_SLACK,
    MOVE_START_MS,
    ROLL_BACK_MS,
)
from cowsliploom.rollout.tests.move_simulation import MoveSimulation, configuration

WARM_UP_MS = MOVE_START_MS


@dataclass
class BoundedSimulation(MoveSimulation):
    """Daemons with an assigned controller that keep calls before the move."""

    daemons: int = 8

    def __post_init__(self):
        super().__post_init__()
        self.declared = configuration(self.finish_by_ms + WARM_UP_MS, self.servers)
        self.buffered_calls = [
            deque(maxlen=BUFFERED_CALLS) for _ in range(self.daemons)
        ]
        self.exposed = 0
        self.bad_answers = 0
        self.roll_back_by_ms = float('inf')
        self.late_calls = 0

    def make_rollout(self, idx):
        """Return a daemon's rollout; the first daemon is the controller."""
        rollout = cautious_rollout(f'entry-{idx}', 'a')
        rollout.step_controller(CandidateChanged(0, is_candidate=idx == 0))
        return rollout

    def recipients(self, fact):
        """Return two daemons for evidence, all daemons for other facts."""
        return range(2 if fact.key.startswith('evidence') else self.daemons)

    def declare(self, declared):
        """Do nothing: the move is declared only after some traffic."""

    def declare_move(self):
        """Declare the move to all daemons."""
        MoveSimulation.declare(self, self.declared)

    def simulate(self):
        """Simulate the time before the move, the move and a while after it."""
        self.run(WARM_UP_MS)
        self.declare_move()
        for daemon, rollout in enumerate(self.rollouts):
            for sample in self.buffered_calls[daemon]:
                rollout.sample(sample)
        return self.run(WARM_UP_MS + self.finish_by_ms + 20_000)

    def _call(self, daemon):
        before = self.new_calls
        sample = super()._call(daemon)
        if self.new_calls == before:
            self.buffered_calls[daemon].append(sample)
            return sample
        self.late_calls += self.now_ms > self.roll_back_by_ms
        if self.now_ms <= WARM_UP_MS + self.finish_by_ms:
            self.exposed += 1
        if not sample.ok or sample.elapsed_ms > 15:
            self.bad_answers += 1
            if self.bad_answers == BAD_ANSWERS_MAX:
                self.roll_back_by_ms = self.now_ms + ROLL_BACK_MS
        return sample

    def allowed(self):
        """Return how many requests a bad version may receive before the deadline."""
        per_ms = self.calls_per_s / 1000
        return EXPOSED_SHARE * per_ms * self.finish_by_ms + EXPOSED_SLACK


@pytest.mark.parametrize('calls_per_s', [11, 45, 200])
@pytest.mark.parametrize('given_ms', [12_000, 30_000, 60_000])
@pytest.mark.parametrize('case', BAD_VERSIONS)
def test_bad_version_stays_within_exposure_bound(case, given_ms, calls_per_s):
    simulation = BoundedSimulation(
        seed=5,
        new=BAD_VERSIONS[case],
        finish_by_ms=given_ms,
        calls_per_s=calls_per_s,
        cold_ms=0,
    ).simulate()
    assert simulation.exposed <= simulation.allowed()
    assert simulation.late_calls == 0


@pytest.mark.parametrize('calls_per_s', [2, 45, 200])
@pytest.mark.parametrize('given_ms', [12_000, 30_000])
def test_good_version_finishes_in_time(given_ms, calls_per_s):
    simulation = BoundedSimulation(
        finish_by_ms=given_ms, calls_per_s=calls_per_s
    ).simulate()
    assert simulation.store.state().status is MoveStatus.FINISHED
    assert simulation.finished_ms <= WARM_UP_MS + given_ms
    assert not any(rollout.vetoes() for rollout in simulation.rollouts)
