"""Version move, good or bad, while its controller and the store fail."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from cowsliploom.rollout import MoveStatus
from cowsliploom.rollout.tests.move_simulation import (
    OUT,
    Behaviour,
    Call,
    FakeStore,
    Outcome,
    MoveSimulation,
    fails,
    fails_fast,
    on_route,
    slows,
    under_load,
)
from cowsliploom.rollout.tests.test_simulated_moves import STOP_MS
from tests.matrix.table import Case, Fault, Finding, Subject, findings, strike

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


End = tuple[float, Callable[[], None]]


@dataclass
class LossyStore(FakeStore):
    """Lose the answers of some writes after they took effect."""

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
    """A move, what struck it, and what ends again later."""

    world: MoveSimulation
    bad: bool = False
    delayed: bool = False
    ends: list[End] = field(default_factory=list)

    def run(self, until_ms: float) -> None:
        for end in sorted(self.ends, key=lambda ending: ending[0]):
            if end[0] <= until_ms:
                self.world.run(end[0])
                end[1]()
                self.ends.remove(end)
        self.world.run(until_ms)

    def later(self, action) -> None:
        self.ends.append((self.world.now_ms + OUTAGE_MS, action))


def turn_bad(behaviour, played: MoveWorld, _position: int) -> None:
    played.bad = True
    is_slowed = isinstance(played.world.old, partial)
    played.world.new = partial(slowed, behaviour) if is_slowed else behaviour


def slow_all(played: MoveWorld, _position: int) -> None:
    for name in ('new', 'old'):
        behaviour = getattr(played.world, name)
        setattr(played.world, name, partial(slowed, behaviour))


def slowed(behaviour: Behaviour, call: Call) -> Outcome:
    outcome = behaviour(call)
    return replace(outcome, slowdown=outcome.slowdown * COMMON_SLOWDOWN)


def store_down(played: MoveWorld, _position: int) -> None:
    played.delayed = True
    played.world.store.out = True
    played.later(partial(setattr, played.world.store, 'out', False))


def lose_answers(played: MoveWorld, _position: int) -> None:
    played.world.store.lost_answers += 2


def lapse(played: MoveWorld, _position: int) -> None:
    played.world.store.expires_ms = 0


def holder(played: MoveWorld) -> int:
    name = played.world.store.holder or 'entry-0'
    return int(name.removeprefix('entry-')[0])


def kill_controller(played: MoveWorld, _position: int) -> None:
    played.delayed = True
    played.world.dead.add(holder(played))


def freeze_controller(played: MoveWorld, _position: int) -> None:
    frozen = holder(played)
    if frozen in played.world.dead:
        return
    played.delayed = True
    played.world.dead.add(frozen)
    played.later(partial(played.world.dead.discard, frozen))


def cut(played: MoveWorld, position: int) -> None:
    played.world.cut.add(position)
    played.later(partial(played.world.cut.discard, position))


def turn_cold(played: MoveWorld, _position: int) -> None:
    played.world.first_new_ms.clear()


def play_move(case: Case) -> tuple[Finding, ...]:
    world = MoveSimulation(seed=2, daemons=3, calls_per_s=60, finish_by_ms=FINISH_BY_MS)
    world.store = LossyStore(**vars(world.store))
    played = MoveWorld(world)
    for step, time_ms in TIMES_MS.items():
        played.run(time_ms)
        strike(played, case, step)
    played.run(END_MS)
    return judge(played)


def judge(played: MoveWorld) -> tuple[Finding, ...]:
    world = played.world
    state = world.store.state()
    status = state and state.status
    live = [
        share for daemon, share in enumerate(world.shares) if daemon not in world.dead
    ]
    stopping_ms = world.stopped_ms - world.vetoed_ms
    late = world.finished_ms > FINISH_BY_MS and not played.delayed
    if played.bad:
        return findings(
            (
                ('bad version gets nothing', any(live) and live),
                (
                    'bad version is taken back',
                    status != MoveStatus.ROLLED_BACK and state,
                ),
                (
                    'none soon after it shows',
                    not stopping_ms <= STOP_MS and stopping_ms,
                ),
            )
        )
    return findings(
        (
            ('good version finishes', status != MoveStatus.FINISHED and state),
            ('good version is in time', late and world.finished_ms),
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
    play_move,
    pairs_max=12,
    twice_max=12,
    left_out={
        ('all-slow', step): 'no old traffic is left to compare with; see assumptions'
        for step in ('last-share', 'watched')
    },
)
