"""Subject: move to a good or bad version while controller and store fail."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from cowsliploom.rollout import MoveStatus
from cowsliploom.rollout.tests.move_simulation import (
    OUT,
    Behaviour,
    Call,
    FakeStore,
    MoveSimulation,
    Outcome,
    fails,
    fails_fast,
    on_route,
    slows,
    under_load,
)
from cowsliploom.rollout.tests.test_simulated_moves import STOP_MS
from tests.matrix.table import (
    Case,
    Fault,
    Finding,
    Subject,
    collect_findings,
    inject_faults,
)

FINISH_BY_MS = 30_000
END_MS = 48_000
OUTAGE_MS = 6000
COMMON_SLOWDOWN = 4
TIMES_MS = {
    'declared': 100.0,
    'first-share': 4000.0,
    'half': 18_000.0,
    'last-share': 27_000.0,
    'watched': 33_000.0,
}


Recovery = tuple[float, Callable[[], None]]


@dataclass
class LossyStore(FakeStore):
    """Store that loses the answers of some writes after they took effect."""

    lost_answers: int = 0

    def swap(self, command):
        answer = super().swap(command)
        return self._lose(answer)

    def lease(self, call, now_ms):
        answer = super().lease(call, now_ms)
        return self._lose(answer)

    def _lose(self, answer):
        if self.lost_answers:
            self.lost_answers -= 1
            return OUT
        return answer


@dataclass
class MoveWorld:
    """A move, the effect of injected faults, and scheduled recoveries."""

    world: MoveSimulation
    is_bad: bool = False
    may_finish_late: bool = False
    recoveries: list[Recovery] = field(default_factory=list)

    def run(self, until_ms: float) -> None:
        for recovery in sorted(self.recoveries, key=lambda item: item[0]):
            if recovery[0] <= until_ms:
                self.world.run(recovery[0])
                recovery[1]()
                self.recoveries.remove(recovery)
        self.world.run(until_ms)

    def schedule_recovery(self, action) -> None:
        self.recoveries.append((self.world.now_ms + OUTAGE_MS, action))


def turn_bad(behaviour, scenario: MoveWorld, _position: int) -> None:
    scenario.is_bad = True
    are_all_slow = isinstance(scenario.world.old, partial)
    scenario.world.new = partial(slow_outcome, behaviour) if are_all_slow else behaviour


def slow_all(scenario: MoveWorld, _position: int) -> None:
    for name in ('new', 'old'):
        behaviour = getattr(scenario.world, name)
        setattr(scenario.world, name, partial(slow_outcome, behaviour))


def slow_outcome(behaviour: Behaviour, call: Call) -> Outcome:
    outcome = behaviour(call)
    return replace(outcome, slowdown=outcome.slowdown * COMMON_SLOWDOWN)


def store_down(scenario: MoveWorld, _position: int) -> None:
    scenario.may_finish_late = True
    scenario.world.store.out = True
    scenario.schedule_recovery(partial(setattr, scenario.world.store, 'out', False))


def lose_answers(scenario: MoveWorld, _position: int) -> None:
    scenario.world.store.lost_answers += 2


def lapse(scenario: MoveWorld, _position: int) -> None:
    scenario.world.store.expires_ms = 0


def holder(scenario: MoveWorld) -> int:
    name = scenario.world.store.holder or 'entry-0'
    return int(name.removeprefix('entry-')[0])


def kill_controller(scenario: MoveWorld, _position: int) -> None:
    scenario.may_finish_late = True
    scenario.world.dead.add(holder(scenario))


def freeze_controller(scenario: MoveWorld, _position: int) -> None:
    frozen = holder(scenario)
    if frozen in scenario.world.dead:
        return
    scenario.may_finish_late = True
    scenario.world.dead.add(frozen)
    scenario.schedule_recovery(partial(scenario.world.dead.discard, frozen))


def cut(scenario: MoveWorld, position: int) -> None:
    scenario.world.cut.add(position)
    scenario.schedule_recovery(partial(scenario.world.cut.discard, position))


def turn_cold(scenario: MoveWorld, _position: int) -> None:
    scenario.world.first_new_ms.clear()


def run_move(case: Case) -> tuple[Finding, ...]:
    world = MoveSimulation(seed=2, daemons=3, calls_per_s=60, finish_by_ms=FINISH_BY_MS)
    world.store = LossyStore(**vars(world.store))
    scenario = MoveWorld(world)
    for step, time_ms in TIMES_MS.items():
        scenario.run(time_ms)
        inject_faults(scenario, case, step)
    scenario.run(END_MS)
    return check_invariants(scenario)


def check_invariants(scenario: MoveWorld) -> tuple[Finding, ...]:
    world = scenario.world
    state = world.store.state()
    status = state and state.status
    live = [
        share for daemon, share in enumerate(world.shares) if daemon not in world.dead
    ]
    stopping_ms = world.stopped_ms - world.vetoed_ms
    late = world.finished_ms > FINISH_BY_MS and not scenario.may_finish_late
    if scenario.is_bad:
        return collect_findings(
            (
                ('bad version gets no traffic', any(live) and live),
                (
                    'bad version is rolled back',
                    status != MoveStatus.ROLLED_BACK and state,
                ),
                (
                    'bad version is stopped in time',
                    not stopping_ms <= STOP_MS and stopping_ms,
                ),
            )
        )
    return collect_findings(
        (
            ('good version move finishes', status != MoveStatus.FINISHED and state),
            ('good version move is in time', late and world.finished_ms),
            ('good version keeps its share', min(live) < 1 and live),
        )
    )


MOVE = Subject(
    'move',
    tuple(TIMES_MS),
    (
        Fault('fails', partial(turn_bad, fails(0.3))),
        Fault('fails-fast', partial(turn_bad, fails_fast)),
        Fault('slows', partial(turn_bad, slows(3))),
        Fault('fails-on-a-route', partial(turn_bad, on_route('briefing', fails(0.5)))),
        Fault('slows-under-load', partial(turn_bad, under_load(0.3, slows(3)))),
        Fault('all-slow', slow_all),
        Fault('store-down', store_down),
        Fault('lost-answers', lose_answers),
        Fault('lease-lapses', lapse),
        Fault('kill-controller', kill_controller),
        Fault('freeze-controller', freeze_controller),
        Fault('cut', cut),
        Fault('cold', turn_cold),
    ),
    run_move,
    pairs_max=12,
    repeats_max=12,
    excluded={
        (
            'all-slow',
            step,
        ): 'no old traffic is left to compare with (known limit)'
        for step in ('last-share', 'watched')
    },
)
