"""One daemon's part in all version moves, without I/O."""

from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec

from cowsliploom.protocol import decode_json
from cowsliploom.rollout._bake import ALONE, FleetView
from cowsliploom.rollout._control_messages import (
    ControllerCommand,
    ControllerEvent,
    ControllerTick,
    ShareReceived,
)
from cowsliploom.rollout._controller import Controller
from cowsliploom.rollout._criteria import DEFAULT_CRITERIA, VetoCriteria
from cowsliploom.rollout._defect_evidence import Finding
from cowsliploom.rollout._evidence import EvidenceError, decode_evidence
from cowsliploom.rollout._judge import (
    DEFAULT_EVIDENCE_LIMITS,
    EvidenceLimits,
    EvidenceReceived,
    Judge,
    JudgeTick,
    MovesDeclared,
    VetoReceived,
)
from cowsliploom.rollout._leadership import LeaseLeadership
from cowsliploom.rollout._moves import (
    Move,
    MoveState,
    ShareFact,
    Veto,
    shares,
    veto_fact,
)
from cowsliploom.rollout._samples import RecordSample, SharesChanged, VersionShare

RolloutCommand = ControllerCommand | SharesChanged

_Metric = TypeVar('_Metric')


class Rollout:
    """Connect judge, controller and the facts received from other daemons.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    incarnation : str
        Differs for each start of the daemon.
    controller : Controller or None
        Controller of the shares. By default one that needs a lease.
    evidence_limits : EvidenceLimits
        Limits on the evidence announced. Default ``DEFAULT_EVIDENCE_LIMITS``.
    criteria : VetoCriteria
        What is tested, and how much is enough. Default ``DEFAULT_CRITERIA``.

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
        evidence_limits: EvidenceLimits = DEFAULT_EVIDENCE_LIMITS,
        criteria: VetoCriteria = DEFAULT_CRITERIA,
    ) -> None:
        self._judge = Judge(daemon, incarnation, evidence_limits, criteria)
        self._controller = controller or Controller(
            LeaseLeadership(f'{daemon}#{incarnation}')
        )
        self._moves: tuple[Move, ...] = ()
        self._shares: tuple[VersionShare, ...] | None = None
        self._unreadable_facts = 0
        self._members: frozenset[str] = frozenset((daemon,))

    def declare(
        self, now_ms: float, moves: tuple[Move, ...], entries: int
    ) -> tuple[RolloutCommand, ...]:
        """Set the declared moves and the number of live entry VMs."""
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
        """Record a finished call."""
        self._judge.step(sample)

    def handle_fact(
        self, now_ms: float, key: str, generation: int, blob: bytes
    ) -> tuple[RolloutCommand, ...]:
        """Handle a fact; one that can't be decoded is counted and ignored."""
        try:
            self._dispatch_fact(now_ms, key, generation, blob)
        except (msgspec.MsgspecError, EvidenceError):
            self._unreadable_facts += 1
        return self._changed_shares(now_ms)

    def step_controller(self, event: ControllerEvent) -> tuple[RolloutCommand, ...]:
        """Pass an event to the controller, such as an answer of the store."""
        commands = self._controller.step(event)
        return (*commands, *self._changed_shares(event.now_ms))

    def tick(
        self, now_ms: float, wall_ms: float, view: FleetView = ALONE
    ) -> tuple[RolloutCommand, ...]:
        """Advance the time; call at least every 250 ms while a move is declared.

        Parameters
        ----------
        now_ms, wall_ms : float
            Monotonic time, and time since the epoch.
        view : FleetView
            Live daemons and open calls. Default no other daemon, and none.
        """
        self._members = view.members or frozenset((self._judge.daemon,))
        commands: list[RolloutCommand] = []
        shares_in_force = {each.service: each.share for each in self._shares or ()}
        tick = JudgeTick(now_ms, wall_ms, shares_in_force, view.open_calls_ms)
        for command in self._judge.step(tick):
            if isinstance(command, Veto):
                self._controller.step(VetoReceived(now_ms, command))
                commands.append(veto_fact(command))
            else:
                commands.append(command)
        commands.extend(self.step_controller(self._controller_tick(now_ms)))
        return tuple(commands)

    def _controller_tick(self, now_ms: float) -> ControllerTick:
        """Return a tick, with the judge's metrics if this daemon is the controller."""
        if not self.is_controller(now_ms):
            return ControllerTick(now_ms, samples={})
        return ControllerTick(
            now_ms,
            self._by_move(self._judge.samples),
            suspects=self._judge.suspects(),
            inconclusive=self._judge.inconclusive(),
            unproven=self._judge.unproven(),
            requests=self._by_move(self._judge.requests),
            baseline_ms=self._by_move(self._judge.baseline_ms),
            baked_ms={
                move.name: self._judge.baked_ms(move.name, self._members, now_ms)
                for move in self._moves
            },
        )

    def unbaked(self, move: str, now_ms: float) -> tuple[str, ...]:
        """Return the live daemons that have not judged the full share of a move."""
        return self._judge.unbaked(move, self._members, now_ms)

    def strongest_finding(self, move: str) -> Finding | None:
        """Return the finding on a move with the most evidence so far, if any."""
        return self._judge.strongest_finding(move)

    def vetoes(self) -> tuple[Veto, ...]:
        """Return the vetoes raised here or received."""
        return self._controller.vetoes()

    def states(self) -> Mapping[str, MoveState]:
        """Return the latest known state of each move."""
        return self._controller.states()

    def is_controller(self, now_ms: float) -> bool:
        """Return whether this daemon is the controller at present."""
        return self._controller.is_leader(now_ms)

    def unreadable_facts(self) -> int:
        """Return the number of facts that could not be decoded."""
        return self._unreadable_facts

    def _dispatch_fact(
        self, now_ms: float, key: str, generation: int, blob: bytes
    ) -> None:
        match key.partition('/')[0]:
            case 'veto':
                received = VetoReceived(now_ms, decode_json(blob, Veto))
                self._judge.step(received)
                self._controller.step(received)
            case 'share':
                fact = decode_json(blob, ShareFact)
                self._controller.step(
                    ShareReceived(now_ms, fact.move, fact.state, generation)
                )
            case 'evidence':
                self._judge.step(EvidenceReceived(now_ms, decode_evidence(blob)))

    def _changed_shares(self, now_ms: float) -> tuple[RolloutCommand, ...]:
        for name, state in self._controller.states().items():
            self._judge.set_baseline(name, state.usual_ms)
        current = shares(
            self._moves, self._controller.states(), self._controller.vetoes()
        )
        if current == self._shares:
            return ()
        self._shares = current
        return (SharesChanged(now_ms, current),)

    def _by_move(self, metric: Callable[[str], _Metric]) -> dict[str, _Metric]:
        return {move.name: metric(move.name) for move in self._moves}
