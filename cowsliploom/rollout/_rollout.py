"""One daemon's part in all version moves, without input or output."""

from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec

from cowsliploom.protocol import decode_json
from cowsliploom.rollout._control_messages import (
    ControllerCommand,
    ControllerEvent,
    ControllerTick,
    ShareReceived,
)
from cowsliploom.rollout._controller import Controller
from cowsliploom.rollout._evidence import EvidenceError, decode_evidence
from cowsliploom.rollout._judge import (
    DEFAULT_PACE,
    EvidenceReceived,
    EvidencePace,
    Judge,
    JudgeTick,
    MovesDeclared,
    VetoReceived,
)
from cowsliploom.rollout._defect_test import Finding
from cowsliploom.rollout._leadership import Leadership
from cowsliploom.rollout._moves import (
    Move,
    MoveState,
    ShareFact,
    Veto,
    shares,
    veto_fact,
)
from cowsliploom.rollout._samples import RecordSample, SharesChanged, VersionShare
from cowsliploom.rollout._criteria import COMPARING, Strictness

RolloutCommand = ControllerCommand | SharesChanged

_Figure = TypeVar('_Figure')


class Rollout:
    """Join judge, controller and the facts heard from other daemons.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    incarnation : str
        Differs for each start of the daemon.
    controller : Controller or None
        How shares move; by default one daemon moves them by lease.
    pace : EvidencePace
        Bounds of what evidence costs. By default those of the product.
    strictness : Strictness
        What is held against a version. By default that of the product.

    Examples
    --------
    >>> from cowsliploom.rollout import Rollout
    >>> rollout = Rollout('entry-1', 'a')
    >>> rollout.declare(0, moves=(), entries=3)
    (SharesChanged(now_ms=0, shares=()),)
    """

    def __init__(
        self,
        daemon: str,
        incarnation: str,
        controller: Controller | None = None,
        pace: EvidencePace = DEFAULT_PACE,
        strictness: Strictness = COMPARING,
    ) -> None:
        self._judge = Judge(daemon, incarnation, pace, strictness)
        self._controller = controller or Controller(
            Leadership(f'{daemon}#{incarnation}')
        )
        self._moves: tuple[Move, ...] = ()
        self._shares: tuple[VersionShare, ...] | None = None
        self._unreadable_facts = 0

    def declare(
        self, now_ms: float, moves: tuple[Move, ...], entries: int
    ) -> tuple[RolloutCommand, ...]:
        """Take all declared moves and the number of live entry VMs."""
        self._moves = moves
        declared = MovesDeclared(now_ms, self._moves, entries)
        self._judge.step(declared)
        self._controller.step(declared)
        for veto in self._controller.vetoes():
            self._judge.step(VetoReceived(now_ms, veto))
        return self._changed_shares(now_ms)

    def moved_services(self) -> frozenset[str]:
        """Return the services whose calls are evidence."""
        return frozenset(move.service for move in self._moves)

    def sample(self, sample: RecordSample) -> None:
        """Take a finished call."""
        self._judge.step(sample)

    def handle_fact(
        self, now_ms: float, key: str, generation: int, blob: bytes
    ) -> tuple[RolloutCommand, ...]:
        """Take a fact; what can't be read is counted and left out."""
        try:
            self._dispatch_fact(now_ms, key, generation, blob)
        except (msgspec.MsgspecError, EvidenceError):
            self._unreadable_facts += 1
        return self._changed_shares(now_ms)

    def step_controller(self, event: ControllerEvent) -> tuple[RolloutCommand, ...]:
        """Take an event for the controller, such as an answer of the store."""
        commands = self._controller.step(event)
        return (*commands, *self._changed_shares(event.now_ms))

    def tick(self, now_ms: float, wall_ms: float) -> tuple[RolloutCommand, ...]:
        """Let time pass; call at least every 250 ms while a move is declared."""
        commands: list[RolloutCommand] = []
        for judged in self._judge.step(JudgeTick(now_ms, wall_ms)):
            if isinstance(judged, Veto):
                self._controller.step(VetoReceived(now_ms, judged))
                commands.append(veto_fact(judged))
            else:
                commands.append(judged)
        commands.extend(self.step_controller(self._controller_tick(now_ms)))
        return tuple(commands)

    def _controller_tick(self, now_ms: float) -> ControllerTick:
        """Return the time, with the figures that whoever controls needs."""
        if not self.is_controller(now_ms):
            return ControllerTick(now_ms, samples={})
        return ControllerTick(
            now_ms,
            self._of_each(self._judge.samples),
            suspects=self._judge.suspects(),
            doubts=self._judge.doubts(),
            requests=self._of_each(self._judge.requests),
            usual_ms=self._of_each(self._judge.usual_ms),
        )

    def strongest_finding(self, move: str) -> Finding | None:
        """Return the finding on a move with the most evidence so far."""
        return self._judge.strongest_finding(move)

    def vetoes(self) -> tuple[Veto, ...]:
        """Return the vetoes raised or heard."""
        return self._controller.vetoes()

    def states(self) -> Mapping[str, MoveState]:
        """Return the latest known state of each move."""
        return self._controller.states()

    def is_controller(self, now_ms: float) -> bool:
        """Tell whether this daemon moves the shares at present."""
        return self._controller.is_leader(now_ms)

    def unreadable_facts(self) -> int:
        """Return how many facts could not be read."""
        return self._unreadable_facts

    def _dispatch_fact(
        self, now_ms: float, key: str, generation: int, blob: bytes
    ) -> None:
        match key.partition('/')[0]:
            case 'veto':
                heard = VetoReceived(now_ms, decode_json(blob, Veto))
                self._judge.step(heard)
                self._controller.step(heard)
            case 'share':
                fact = decode_json(blob, ShareFact)
                self._controller.step(
                    ShareReceived(now_ms, fact.move, fact.state, generation)
                )
            case 'evidence':
                self._judge.step(EvidenceReceived(now_ms, decode_evidence(blob)))

    def _changed_shares(self, now_ms: float) -> tuple[RolloutCommand, ...]:
        for name, state in self._controller.states().items():
            self._judge.give_usual(name, state.usual_ms)
        current = shares(
            self._moves, self._controller.states(), self._controller.vetoes()
        )
        if current == self._shares:
            return ()
        self._shares = current
        return (SharesChanged(now_ms, current),)

    def _of_each(self, figure: Callable[[str], _Figure]) -> dict[str, _Figure]:
        return {move.name: figure(move.name) for move in self._moves}
