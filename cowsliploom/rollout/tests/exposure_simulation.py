"""Moves as gateways run them, with faults of old servers, entry VMs and the store.

In contrast to ``MoveSimulation`` a finished move is not judged any further, a restarted
process has lost its state, and failed members are detected with a delay.
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
    MoveSimulation,
    Outcome,
    configuration,
    fails,
    fails_fast,
    on_route,
    slows,
    under_load,
)

EXPOSED_SHARE = 0.1  # of all requests between the move's start and its deadline
EXPOSED_SLACK = 50
BAD_ANSWERS_MAX = 50  # number of bad answers from which the roll-back is due
ROLL_BACK_MS = 5000
FAULT_GRACE_MS = 4000  # calls of a VM are exempt for so long after its fault
MOVE_START_MS = 12_000  # until then there is the old version alone
OBSERVATION_MS = 20_000  # after the deadline
BUFFERED_CALLS = 32  # calls before the move's start that a daemon keeps
DETECTION_MS = 1500  # delay until others detect that a member failed or returned
RESTART_MS = 1000
SLOW_RATIO = 2  # an answer slower by more than this factor is bad

BAD_VERSIONS = {
    'fails_always': fails(1),
    'fails_often': fails(0.3),
    'fails_fast': fails_fast,
    'slows': slows(4),
    'fails_on_one_route': on_route('briefing', fails(0.5)),
    'fails_under_load': under_load(0.3, fails(0.5)),
    'slows_under_load': under_load(0.3, slows(4)),
}


@dataclass
class ExposureBound:
    """Count the calls of a bad version against the exposure bound."""

    deadline_ms: float
    requests: int = 0
    exposed: int = 0
    bad_answers: int = 0
    roll_back_by_ms: float = float('inf')
    late_calls: int = 0

    @property
    def allowed(self):
        """Return how many requests a bad version may receive before the deadline."""
        return EXPOSED_SHARE * self.requests + EXPOSED_SLACK

    def count(self, now_ms, is_new, is_bad, is_counted):
        """Count a call."""
        is_timely = MOVE_START_MS < now_ms <= self.deadline_ms
        self.requests += is_timely
        self.exposed += is_new and is_timely and is_counted
        self.late_calls += is_new and is_counted and now_ms > self.roll_back_by_ms
        self.bad_answers += is_new and is_bad
        if self.bad_answers == BAD_ANSWERS_MAX:
            self.roll_back_by_ms = min(self.roll_back_by_ms, now_ms + ROLL_BACK_MS)


@dataclass
class Machines:
    """Track which daemons run, and which ones others see as live."""

    daemons: int
    dead: set[int] = field(default_factory=set)
    frozen: set[int] = field(default_factory=set)
    cut: set[int] = field(default_factory=set)
    exempt_until_ms: dict[int, float] = field(default_factory=dict)
    away_since_ms: dict[int, float] = field(default_factory=dict)
    detection_ms: float = DETECTION_MS
    restarts: dict[int, float] = field(default_factory=dict)

    def exempt(self, idx, until_ms):
        """Exempt a daemon's calls until a while after its machine's fault."""
        self.exempt_until_ms[idx] = until_ms + FAULT_GRACE_MS

    def running(self):
        """Return the daemons that run."""
        stopped = self.dead | self.frozen
        return [idx for idx in range(self.daemons) if idx not in stopped]

    def visible(self, now_ms):
        """Return the daemons that others see as live, by detection delay."""
        away = self.dead | self.frozen | self.cut
        for back in self.away_since_ms.keys() - away:
            self.away_since_ms.pop(back)
        for idx in away:
            self.away_since_ms.setdefault(idx, now_ms)
        return [
            idx
            for idx in range(self.daemons)
            if now_ms < self.away_since_ms.get(idx, now_ms) + self.detection_ms
        ]

    def visible_to(self, daemon, now_ms):
        """Return the daemons that a daemon sees as live."""
        if daemon in self.cut:
            return {daemon}
        return {daemon, *self.visible(now_ms)}

    def restarted(self, now_ms):
        """Return the daemons whose next process starts now."""
        due = [idx for idx, at_ms in self.restarts.items() if at_ms <= now_ms]
        for idx in due:
            self.restarts.pop(idx)
            self.dead.discard(idx)
        return due


def is_empty(command):
    """Return whether a command changes no share, as no move is declared."""
    return isinstance(command, SharesChanged) and not command.shares


def unanswered(now_ms, command):
    """Return the event of a call to the store that gets no answer."""
    event = StateRead if isinstance(command, ReadState) else StateSwapped
    return event(now_ms, command.move, OUT)


def no_fault(simulation, since_ms):
    """Inject no fault."""


@dataclass
class ExposureSimulation(MoveSimulation):
    """Eight entry VMs with an assigned controller; two of them receive evidence."""

    daemons: int = 8
    inject_fault: Callable[['ExposureSimulation', float], None] = no_fault

    def __post_init__(self):
        deadline_ms = MOVE_START_MS + self.finish_by_ms
        self.moves = declared_moves(configuration(deadline_ms, self.servers))
        self.bound = ExposureBound(deadline_ms)
        self.machines = Machines(self.daemons)
        self.store_latency_ms: float = 0
        self.store_loss_rate: float = 0
        self.pending_answers: list = []
        self.starts = 0
        self.buffered_calls = [
            deque(maxlen=BUFFERED_CALLS) for _ in range(self.daemons)
        ]
        self.detached: set[int] = set()
        self.vetoes: dict[str, object] = {}
        self.outcome = Outcome()
        self.behaviour = self.new
        self.new = self.record_outcome
        super().__post_init__()
        self.dead = self.machines.dead
        self.cut = self.machines.cut
        self.visible_to = self.machines.visible_to

    def make_rollout(self, idx):
        """Return the part of one daemon as the gateway makes it."""
        self.starts += 1
        return cautious_rollout(f'entry-{idx}', str(self.starts))

    def declare(self, declared):
        """Do nothing: the move is declared only after some traffic."""

    def kill(self, idx, down_ms=RESTART_MS):
        """Kill a process; its successor starts after ``down_ms``."""
        self.machines.dead.add(idx)
        self.machines.restarts[idx] = self.now_ms + down_ms
        self.machines.exempt(idx, self.now_ms + down_ms)

    def simulate(self):
        """Simulate the time before the move, the move and a while after it."""
        self.run(MOVE_START_MS)
        for idx in range(self.daemons):
            self._declare_move(idx)
        return self.run(self.bound.deadline_ms + OBSERVATION_MS)

    def run(self, until_ms):
        while self.now_ms < until_ms and not self._is_over():
            self.now_ms += TICK_MS
            if self.now_ms > MOVE_START_MS:
                self.inject_fault(self, self.now_ms - MOVE_START_MS)
            self._restart()
            self._deliver_answers()
            self._gossip()
            self._run_daemons()
            self._observe()
        return self

    def recipients(self, fact):
        """Return the controller and the next member for evidence, otherwise all."""
        if fact.key.startswith('veto'):
            self.vetoes[fact.key] = fact
        if fact.key.startswith('evidence'):
            return self.machines.visible(self.now_ms)[:2]
        return range(self.daemons)

    def perform(self, daemon, commands):
        for command in commands:
            if isinstance(command, ReadState | SwapState):
                self._send_to_store(daemon, command)
            elif not (is_empty(command) or daemon in self.detached):
                super().perform(daemon, (command,))

    def record_outcome(self, call):
        """Record the outcome of the latest call of the new version."""
        self.outcome = self.behaviour(call)
        return self.outcome

    # Processes.

    def _declare_move(self, idx):
        """Declare the move to a daemon and replay its buffered calls."""
        rollout = self.rollouts[idx]
        self.perform(idx, rollout.declare(self.now_ms, self.moves, self.daemons))
        for sample in self.buffered_calls[idx]:
            rollout.sample(sample)

    def _restart(self):
        for idx in self.machines.restarted(self.now_ms):
            self.detached.discard(idx)
            self.buffered_calls[idx].clear()
            self.received_generations[idx] = {}
            self.shares[idx] = 0
            self.rollouts[idx] = self.make_rollout(idx)
            self._declare_move(idx)
            for fact in self.vetoes.values():
                self.facts.append((self.now_ms + GOSSIP_MS, idx, fact))
            self._send_state((idx,))

    def _run_daemons(self):
        visible = self.machines.visible(self.now_ms)
        for idx in self.machines.running():
            is_first = idx in self.cut or visible[:1] == [idx]
            chosen = CandidateChanged(self.now_ms, is_candidate=is_first)
            self.perform(idx, self.rollouts[idx].step_controller(chosen))
            self._run_daemon(idx)
            self._detach_finished(idx)

    def _detach_finished(self, idx):
        """Remove a finished move from a daemon, as the gateway does."""
        state = self.rollouts[idx].states().get('move')
        if (
            state
            and state.status is not MoveStatus.RUNNING
            and idx not in self.detached
        ):
            self.detached.add(idx)
            self.shares[idx] = state.share
            self.rollouts[idx].declare(self.now_ms, (), self.daemons)

    # The store, which may be slow or lose answers.

    def _send_to_store(self, daemon, command):
        is_out = self.store.out or daemon in self.cut
        event = (
            unanswered(self.now_ms, command) if is_out else self._call_store(command)
        )
        self.pending_answers.append(
            (self.now_ms + self.store_latency_ms, daemon, event)
        )

    def _call_store(self, command):
        event = super()._call_store(command)
        if isinstance(event, StateSwapped) and isinstance(event.answer, Swapped):
            self._send_state(range(self.daemons))
            if self.rng.random() < self.store_loss_rate:
                return unanswered(self.now_ms, command)
        return event

    def _send_state(self, to):
        """Send the stored state to daemons, as their watches do."""
        if 'move' in self.store.values and not self.store.out:
            version = self.store.values['move'][0]
            fact = share_fact('move', self.store.state(), version)
            for idx in set(to) - self.cut:
                self.facts.append((self.now_ms + GOSSIP_MS, idx, fact))

    def _deliver_answers(self):
        due = [answer for answer in self.pending_answers if answer[0] <= self.now_ms]
        self.pending_answers = [
            answer for answer in self.pending_answers if answer[0] > self.now_ms
        ]
        for _, daemon, event in due:
            if daemon not in self.dead:
                self.perform(daemon, self.rollouts[daemon].step_controller(event))

    # Observations.

    def _call(self, daemon):
        before = self.new_calls
        sample = super()._call(daemon)
        is_new = self.new_calls > before
        if not is_new:
            self.buffered_calls[daemon].append(sample)
        is_bad = not sample.ok or self.outcome.slowdown > SLOW_RATIO
        is_counted = self.now_ms > self.machines.exempt_until_ms.get(daemon, 0)
        self.bound.count(self.now_ms, is_new, is_bad, is_counted)
        return sample

    def _observe(self):
        state = self.store.state()
        is_finished = state is not None and state.status is MoveStatus.FINISHED
        running = set(self.machines.running()) - self.cut
        if is_finished and all(self.shares[idx] >= 1 for idx in running):
            self.finished_ms = min(self.finished_ms, self.now_ms)

    def _is_over(self):
        """Return whether the move is rolled back and every daemon knows it."""
        state = self.store.state()
        is_rolled_back = state is not None and state.status is MoveStatus.ROLLED_BACK
        away = self.machines.away_since_ms or self.machines.restarts
        return is_rolled_back and not away and len(self.detached) == self.daemons
