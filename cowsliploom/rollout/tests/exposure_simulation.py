"""Moves on the users' platform beside trouble of old servers, entry VMs and store.

Unlike ``World``, daemons take part as the gateway lets them: an ended move isn't judged
any more, a process that starts again has forgotten all, and members that are gone are
noticed late.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cowsliploom.daemons._declared_moves import declared_moves
from cowsliploom.ports import Swapped
from cowsliploom.rollout import (
    CandidateChanged,
    MoveStatus,
    ReadState,
    SharesChanged,
    StateRead,
    StateSwapped,
    SwapState,
    cautious_rollout,
    share_fact,
)
from cowsliploom.rollout.tests.move_simulation import (
    GOSSIP_MS,
    OUT,
    TICK_MS,
    Outcome,
    MoveSimulation,
    configuration,
    fails,
    fails_fast,
    on_route,
    slows,
    under_load,
)

EXPOSED_SHARE = 0.1  # of all requests between the order and its deadline
EXPOSED_SLACK = 50
BAD_MAX = 50  # bad answers after which a version has to be given up soon
GIVE_UP_MS = 5000
IN_TOUCH_MS = 4000  # a VM's trouble excuses it for so long
ORDERED_MS = 12_000  # the old version alone until then
WATCHED_MS = 20_000  # after the deadline
REMEMBERED = 32  # calls before the order that a daemon remembers
NOTICED_MS = 1500  # until others see that a member is gone or back
RESTART_MS = 1000
SLOW = 2  # an answer that takes so many times as long is bad

BAD = {
    'fails_always': fails(1),
    'fails_often': fails(0.3),
    'fails_fast': fails_fast,
    'slows': slows(4),
    'fails_on_one_route': on_route('briefing', fails(0.5)),
    'fails_under_load': under_load(0.3, fails(0.5)),
    'slows_under_load': under_load(0.3, slows(4)),
}


@dataclass
class Rule:
    """Count what the rule counts."""

    deadline_ms: float
    reached: int = 0
    exposed: int = 0
    bad_answers: int = 0
    give_up_ms: float = float('inf')
    late_calls: int = 0

    @property
    def allowed(self):
        """Return how many requests a bad version may have met in time."""
        return EXPOSED_SHARE * self.reached + EXPOSED_SLACK

    def count(self, now_ms, is_new, is_bad, in_touch):
        """Take a call."""
        is_timely = ORDERED_MS < now_ms <= self.deadline_ms
        self.reached += is_timely
        self.exposed += is_new and is_timely and in_touch
        self.late_calls += is_new and in_touch and now_ms > self.give_up_ms
        self.bad_answers += is_new and is_bad
        if self.bad_answers == BAD_MAX:
            self.give_up_ms = min(self.give_up_ms, now_ms + GIVE_UP_MS)


@dataclass
class Machines:
    """Tell which daemons run, and which ones others see."""

    daemons: int
    dead: set[int] = field(default_factory=set)
    frozen: set[int] = field(default_factory=set)
    cut: set[int] = field(default_factory=set)
    excused_ms: dict[int, float] = field(default_factory=dict)
    away_ms: dict[int, float] = field(default_factory=dict)
    restarts: dict[int, float] = field(default_factory=dict)

    def excuse(self, idx, until_ms):
        """Note that a daemon's machine is in trouble."""
        self.excused_ms[idx] = until_ms + IN_TOUCH_MS

    def running(self):
        """Return the daemons that run."""
        stopped = self.dead | self.frozen
        return [idx for idx in range(self.daemons) if idx not in stopped]

    def seen(self, now_ms):
        """Return the daemons as others see them, a while after it is so."""
        away = self.dead | self.frozen | self.cut
        for back in self.away_ms.keys() - away:
            self.away_ms.pop(back)
        for idx in away:
            self.away_ms.setdefault(idx, now_ms)
        return [
            idx
            for idx in range(self.daemons)
            if now_ms < self.away_ms.get(idx, now_ms) + NOTICED_MS
        ]

    def restarted(self, now_ms):
        """Return the daemons whose next process starts now."""
        due = [idx for idx, at_ms in self.restarts.items() if at_ms <= now_ms]
        for idx in due:
            self.restarts.pop(idx)
            self.dead.discard(idx)
        return due


def is_empty(command):
    """Return whether a command changes no share, as nothing is declared."""
    return isinstance(command, SharesChanged) and not command.shares


def unanswered(now_ms, command):
    """Return what comes of a call on the store that gets no answer."""
    event = StateRead if isinstance(command, ReadState) else StateSwapped
    return event(now_ms, command.move, OUT)


def no_trouble(world, since_ms):
    """Leave all as it is."""


@dataclass
class ExposureSimulation(MoveSimulation):
    """Eight entry VMs that are appointed and tell evidence to two of them."""

    daemons: int = 8
    strike: Callable[['ExposureSimulation', float], None] = no_trouble

    def __post_init__(self):
        deadline_ms = ORDERED_MS + self.finish_by_ms
        self.order = declared_moves(configuration(deadline_ms, self.servers))
        self.rule = Rule(deadline_ms)
        self.machines = Machines(self.daemons)
        self.store_answers_ms: float = 0
        self.store_loses: float = 0
        self.waiting: list = []
        self.starts = 0
        self.past = [deque(maxlen=REMEMBERED) for _ in range(self.daemons)]
        self.pinned: set[int] = set()
        self.vetoes: dict[str, object] = {}
        self.outcome = Outcome()
        self.behaviour = self.new
        self.new = self.noted
        super().__post_init__()
        self.dead = self.machines.dead
        self.cut = self.machines.cut

    def make_rollout(self, idx):
        """Return the part of one daemon as the gateway makes it."""
        self.starts += 1
        return cautious_rollout(f'entry-{idx}', str(self.starts))

    def declare(self, declared):
        """Order the move only once there was traffic."""

    def kill(self, idx, down_ms=RESTART_MS):
        """End a process; another takes its place a while later."""
        self.machines.dead.add(idx)
        self.machines.restarts[idx] = self.now_ms + down_ms
        self.machines.excuse(idx, self.now_ms + down_ms)

    def play(self):
        """Play the time before the order, the move and a while after it."""
        self.run(ORDERED_MS)
        for idx in range(self.daemons):
            self._order(idx)
        return self.run(self.rule.deadline_ms + WATCHED_MS)

    def run(self, until_ms):
        while self.now_ms < until_ms and not self._is_over():
            self.now_ms += TICK_MS
            if self.now_ms > ORDERED_MS:
                self.strike(self, self.now_ms - ORDERED_MS)
            self._restart()
            self._take_answers()
            self._gossip()
            self._run_daemons()
            self._observe()
        return self

    def hearers(self, fact):
        """Tell evidence to the controller and the next one, the rest to all."""
        if fact.key.startswith('veto'):
            self.vetoes[fact.key] = fact
        if fact.key.startswith('evidence'):
            return self.machines.seen(self.now_ms)[:2]
        return range(self.daemons)

    def perform(self, daemon, commands):
        for command in commands:
            if isinstance(command, ReadState | SwapState):
                self._ask_store(daemon, command)
            elif not (is_empty(command) or daemon in self.pinned):
                super().perform(daemon, (command,))

    def noted(self, call):
        """Remember what the latest call of the new version comes to."""
        self.outcome = self.behaviour(call)
        return self.outcome

    # Processes.

    def _order(self, idx):
        """Let a daemon take part, with the calls that it remembers."""
        rollout = self.rollouts[idx]
        self.perform(idx, rollout.declare(self.now_ms, self.order, self.daemons))
        for sample in self.past[idx]:
            rollout.sample(sample)

    def _restart(self):
        for idx in self.machines.restarted(self.now_ms):
            self.pinned.discard(idx)
            self.past[idx].clear()
            self.known[idx] = {}
            self.shares[idx] = 0
            self.rollouts[idx] = self.make_rollout(idx)
            self._order(idx)
            for fact in self.vetoes.values():
                self.facts.append((self.now_ms + GOSSIP_MS, idx, fact))
            self._tell_state((idx,))

    def _run_daemons(self):
        seen = self.machines.seen(self.now_ms)
        for idx in self.machines.running():
            is_first = idx in self.cut or seen[:1] == [idx]
            chosen = CandidateChanged(self.now_ms, is_candidate=is_first)
            self.perform(idx, self.rollouts[idx].step_controller(chosen))
            self._run_daemon(idx)
            self._leave_ended(idx)

    def _leave_ended(self, idx):
        """Leave a move that has ended, as the gateway does."""
        state = self.rollouts[idx].states().get('move')
        if state and state.status is not MoveStatus.RUNNING and idx not in self.pinned:
            self.pinned.add(idx)
            self.shares[idx] = state.share
            self.rollouts[idx].declare(self.now_ms, (), self.daemons)

    # The store, which may be slow or lose answers.

    def _ask_store(self, daemon, command):
        is_out = self.store.out or daemon in self.cut
        event = (
            unanswered(self.now_ms, command) if is_out else self._call_store(command)
        )
        self.waiting.append((self.now_ms + self.store_answers_ms, daemon, event))

    def _call_store(self, command):
        event = super()._call_store(command)
        if isinstance(event, StateSwapped) and isinstance(event.answer, Swapped):
            self._tell_state(range(self.daemons))
            if self.rng.random() < self.store_loses:
                return unanswered(self.now_ms, command)
        return event

    def _tell_state(self, to):
        """Let daemons hear what the store has, by their watches."""
        if 'move' in self.store.values and not self.store.out:
            version = self.store.values['move'][0]
            fact = share_fact('move', self.store.state(), version)
            for idx in set(to) - self.cut:
                self.facts.append((self.now_ms + GOSSIP_MS, idx, fact))

    def _take_answers(self):
        due = [one for one in self.waiting if one[0] <= self.now_ms]
        self.waiting = [one for one in self.waiting if one[0] > self.now_ms]
        for _, daemon, event in due:
            if daemon not in self.dead:
                self.perform(daemon, self.rollouts[daemon].step_controller(event))

    # What is seen.

    def _call(self, daemon):
        before = self.new_calls
        sample = super()._call(daemon)
        is_new = self.new_calls > before
        if not is_new:
            self.past[daemon].append(sample)
        is_bad = not sample.ok or self.outcome.slowdown > SLOW
        in_touch = self.now_ms > self.machines.excused_ms.get(daemon, 0)
        self.rule.count(self.now_ms, is_new, is_bad, in_touch)
        return sample

    def _observe(self):
        state = self.store.state()
        is_finished = state is not None and state.status is MoveStatus.FINISHED
        running = set(self.machines.running()) - self.cut
        if is_finished and all(self.shares[idx] >= 1 for idx in running):
            self.finished_ms = min(self.finished_ms, self.now_ms)

    def _is_over(self):
        """Return whether nothing changes any more: taken back, and all know it."""
        state = self.store.state()
        is_back = state is not None and state.status is MoveStatus.ROLLED_BACK
        away = self.machines.away_ms or self.machines.restarts
        return is_back and not away and len(self.pinned) == self.daemons
