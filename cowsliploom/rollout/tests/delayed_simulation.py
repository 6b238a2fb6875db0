"""Moves with delays drawn at random: freezes, cuts, outages, lost and late messages.

In contrast to ``ExposureSimulation`` a frozen process handles nothing until it wakes,
and then in any order what has arrived meanwhile. The store keeps vetoes, which refuse
steps that were decided without them.
"""

from dataclasses import dataclass, field

from cowsliploom.ports import Conflict
from cowsliploom.rollout import (
    BAKE_MS,
    MoveStatus,
    StateSwapped,
    SwapState,
)
from cowsliploom.rollout.tests.exposure_simulation import ExposureSimulation
from cowsliploom.rollout.tests.move_simulation import TICK_MS

DETECTION_MS = 4000  # until a silent member counts as gone
FREEZE_MAX_MS = 3500
WAKE_MAX_MS = 250  # until a woken process has handled what waited
KINDS = ('freeze', 'freeze', 'freeze', 'cut', 'kill', 'store', 'slow', 'loss', 'late')
TIMING_SLACK_MS = 2 * TICK_MS  # the share takes effect within a tick


@dataclass(frozen=True)
class Disturbance:
    """One disturbance of a daemon or of the store, in ms since the move's start."""

    kind: str
    daemon: int
    at_ms: float
    for_ms: float


def draw_disturbances(rng, daemons, given_ms):
    """Return disturbances at random moments; the first daemon is hit most often."""
    return [
        Disturbance(
            kind=rng.choice(KINDS),
            daemon=rng.choice((0, 0, 0, *range(daemons))),
            at_ms=rng.uniform(0, given_ms + 1000),
            for_ms=rng.uniform(200, FREEZE_MAX_MS),
        )
        for _ in range(rng.randint(1, 4))
    ]


@dataclass
class DelayedSimulation(ExposureSimulation):
    """Check at each ``completed`` that it was judged at the share it completes."""

    daemons: int = 5
    disturbances: list[Disturbance] = field(default_factory=list)

    def __post_init__(self):
        self.waiting: dict[int, float] = {}
        self.caller = 0
        self.unjudged: list[tuple[int, float, int]] = []
        self.full_ms: dict[int, float] = {}
        self.full_calls: dict[int, int] = {}
        self.has_stored_veto = False
        super().__post_init__()
        self.machines.detection_ms = DETECTION_MS
        self.inject_fault = _inject_disturbances
        self._done: set[tuple[str, int]] = set()

    # Disturbances.

    def begin(self, disturbance):
        """Begin a disturbance."""
        idx = disturbance.daemon
        until_ms = self.now_ms + disturbance.for_ms
        match disturbance.kind:
            case 'freeze':
                self.machines.frozen.add(idx)
            case 'cut':
                self.machines.cut.add(idx)
            case 'kill':
                self.kill(idx)
            case 'store':
                self.store.out = True
            case 'slow':
                self.store_latency_ms = disturbance.for_ms / 4
            case 'loss':
                self.store_loss_rate = 0.5
            case 'late':
                self.waiting[idx] = until_ms
        if disturbance.kind in {'freeze', 'cut'}:
            self.machines.exempt(idx, until_ms)

    def end(self, disturbance):
        """End a disturbance."""
        idx = disturbance.daemon
        match disturbance.kind:
            case 'freeze':
                self.machines.frozen.discard(idx)
                self.waiting[idx] = self.now_ms + self.rng.uniform(0, WAKE_MAX_MS)
            case 'cut':
                self.machines.cut.discard(idx)
                self._send_state((idx,))
            case 'store':
                self.store.out = False
                self._send_state(range(self.daemons))
            case 'slow':
                self.store_latency_ms = 0
            case 'loss':
                self.store_loss_rate = 0

    # Delivery, which waits for processes that are frozen or have just woken.

    def _is_waiting(self, idx):
        return idx in self.machines.frozen or self.now_ms < self.waiting.get(idx, 0)

    def _gossip(self):
        held = [sent for sent in self.facts if self._is_waiting(sent[1])]
        self.facts = [sent for sent in self.facts if not self._is_waiting(sent[1])]
        super()._gossip()
        self.facts.extend(held)

    def _deliver_answers(self):
        held = [sent for sent in self.pending_answers if self._is_waiting(sent[1])]
        self.pending_answers = [
            sent for sent in self.pending_answers if not self._is_waiting(sent[1])
        ]
        super()._deliver_answers()
        self.pending_answers.extend(held)

    def _announce(self, daemon, fact):
        is_veto = fact.key.startswith('veto')
        if is_veto and daemon not in self.cut and not self.store.out:
            self.has_stored_veto = True
        super()._announce(daemon, fact)

    def _send_to_store(self, daemon, command):
        self.caller = daemon
        super()._send_to_store(daemon, command)

    def _call_store(self, command):
        if isinstance(command, SwapState) and self._is_refused():
            return StateSwapped(self.now_ms, command.move, Conflict(0))
        before = self.store.state()
        event = super()._call_store(command)
        state = self.store.state()
        if state != before and state.status is MoveStatus.FINISHED:
            self._check_finished()
        return event

    def _is_refused(self):
        """Return whether the stored veto refuses a step decided without it."""
        return self.has_stored_veto and not self.rollouts[self.caller].vetoes()

    # The property.

    def _run_daemon(self, daemon):
        super()._run_daemon(daemon)
        if self.shares[daemon] >= 1:
            self.full_ms[daemon] = self.full_ms.get(daemon, 0) + TICK_MS
        else:
            self.full_ms[daemon] = 0
            self.full_calls[daemon] = 0

    def _call(self, daemon):
        sample = super()._call(daemon)
        if self.shares[daemon] >= 1:
            self.full_calls[daemon] = self.full_calls.get(daemon, 0) + 1
        return sample

    def _check_finished(self):
        """Record the daemons in touch that did not judge the full share."""
        for idx in range(self.daemons):
            is_exempt = self.now_ms <= self.machines.exempt_until_ms.get(idx, 0)
            judged_ms = self.full_ms.get(idx, 0)
            is_judged = judged_ms + TIMING_SLACK_MS >= BAKE_MS
            if not is_exempt and not (is_judged and self.full_calls.get(idx)):
                self.unjudged.append((idx, judged_ms, self.full_calls.get(idx, 0)))


def _inject_disturbances(simulation, since_ms):
    for number, disturbance in enumerate(simulation.disturbances):
        end_ms = disturbance.at_ms + disturbance.for_ms
        if since_ms >= disturbance.at_ms and ('begun', number) not in simulation._done:
            simulation._done.add(('begun', number))
            simulation.begin(disturbance)
        if since_ms >= end_ms and ('ended', number) not in simulation._done:
            simulation._done.add(('ended', number))
            simulation.end(disturbance)
