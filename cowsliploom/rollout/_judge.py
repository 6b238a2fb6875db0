"""Judgement of new versions by one daemon, from its own and others' evidence."""

from collections.abc import Mapping
from dataclasses import dataclass

from cowsliploom.rollout._evidence import Evidence, encode_evidence
from cowsliploom.rollout._defect_test import Finding
from cowsliploom.rollout._move_trial import MoveTrial
from cowsliploom.rollout._moves import AnnounceFact, Move, Veto
from cowsliploom.rollout._samples import RecordSample
from cowsliploom.rollout._criteria import COMPARING, Strictness

BLOCK_MS = 250  # calls are tested in blocks; a veto waits at most this long
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class EvidencePace:
    """Bound what evidence costs.

    Parameters
    ----------
    interval_ms : float
        A daemon tells its counts at most this often.
    entries_max : int
        In larger fleets each daemon judges by itself.
    bytes_per_s : float
        Evidence of all daemons together, while a move runs.
    tells_old : bool
        Whether calls of the old version alone are told too, so that the controller
        knows how many requests there are. Default False.
    """

    interval_ms: float = 1000
    entries_max: int = 64
    bytes_per_s: float = 2000
    tells_old: bool = False


DEFAULT_PACE = EvidencePace()


@dataclass(frozen=True, slots=True)
class MovesDeclared:
    """Take the declared moves and the number of daemons that judge them."""

    now_ms: float
    moves: tuple[Move, ...]
    entries: int


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Take another daemon's evidence."""

    now_ms: float
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class JudgeTick:
    """Let time pass; sent at least every 250 ms while a move is declared.

    ``wall_ms`` orders this daemon's evidence over its restarts.
    """

    now_ms: float
    wall_ms: float


@dataclass(frozen=True, slots=True)
class VetoReceived:
    """Take a veto of another daemon; the attempt needs no more judgement."""

    now_ms: float
    veto: Veto


JudgeEvent = MovesDeclared | RecordSample | EvidenceReceived | VetoReceived | JudgeTick
JudgeCommand = Veto | AnnounceFact


@dataclass(slots=True)
class _Case:
    trial: MoveTrial
    is_closed: bool = False
    told_ms: float = 0
    told_calls: int = 0
    told_generation: int = 0
    interval_ms: float = 0

    def has_news(self) -> bool:
        """Tell whether there were calls worth telling since the last time."""
        return self.trial.own_calls > self.told_calls


class Judge:
    """Judge the new versions of all declared moves.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    incarnation : str
        Differs for each start of the daemon.
    pace : EvidencePace
        Bounds of what is told. By default those of the product.
    strictness : Strictness
        What is tested, and how much is enough. By default that of the product.

    Notes
    -----
    New and old version are compared on the same route over the same window:
    failed calls, calls above the old version's recent p95, and failed calls of
    cold servers, each by a test that may be looked at any time (see
    ``EProcess``). The chance of a false veto is shared out among daemons, kinds
    and routes. A version is judged as long as its move is declared, so also after
    its last step.

    Examples
    --------
    >>> from cowsliploom.rollout import Judge, JudgeTick, Move, MovesDeclared, Veto
    >>> from cowsliploom.rollout import RecordSample
    >>> judge = Judge('entry-1', 'a')
    >>> move = Move('rota-2', 'van-rota', 'v1', 'v2', 1, 60_000, new_servers=1)
    >>> judge.step(MovesDeclared(0, (move,), entries=1))
    ()
    >>> for number in range(100):
    ...     version = 'v2' if number % 5 == 0 else 'v1'
    ...     failed = version == 'v2'
    ...     _ = judge.step(
    ...         RecordSample(number, 'van-rota', 'book', version, version, 5.0,
    ...                      ok=not failed, cold=False)
    ...     )
    >>> commands = judge.step(JudgeTick(250, wall_ms=0))
    >>> [command.reason for command in commands if isinstance(command, Veto)]
    [<BadKind.ERRORS: 'errors'>]
    """

    def __init__(
        self,
        daemon: str,
        incarnation: str,
        pace: EvidencePace = DEFAULT_PACE,
        strictness: Strictness = COMPARING,
    ) -> None:
        self.daemon = daemon
        self.incarnation = incarnation
        self.pace = pace
        self._strictness = strictness
        self._cases: dict[str, _Case] = {}
        self._entries = 1
        self._block_ms = float('-inf')

    def step(self, event: JudgeEvent) -> tuple[JudgeCommand, ...]:
        """Take an event and return the commands that follow from it."""
        match event:
            case MovesDeclared():
                self._declare(event)
            case RecordSample():
                self._take_sample(event)
            case EvidenceReceived(evidence=evidence):
                self._take_evidence(evidence)
            case VetoReceived(veto=veto):
                self._close(veto)
            case JudgeTick():
                return self._tick(event)
        return ()

    def samples(self, move: str) -> int:
        """Return the calls of a move's new version seen so far by all daemons."""
        case = self._cases.get(move)
        return case.trial.samples if case else 0

    def suspects(self) -> frozenset[str]:
        """Return the moves that have some evidence against them."""
        return frozenset(
            name for name, case in self._cases.items() if case.trial.is_suspect()
        )

    def requests(self, move: str) -> int:
        """Return the calls of a move's service heard of so far."""
        case = self._cases.get(move)
        return case.trial.requests if case else 0

    def usual_ms(self, move: str) -> Mapping[str, float]:
        """Return what the old version usually takes on each route of a move."""
        case = self._cases.get(move)
        return case.trial.usual_ms() if case else {}

    def give_usual(self, move: str, usual_ms: Mapping[str, float]) -> None:
        """Take what all daemons together found usual."""
        case = self._cases.get(move)
        if case is not None:
            case.trial.give_usual(usual_ms)

    def doubts(self) -> frozenset[str]:
        """Return the moves whose versions are to get no greater share for now."""
        return frozenset(
            name
            for name, case in self._cases.items()
            if not case.is_closed and case.trial.is_in_doubt()
        )

    def strongest_finding(self, move: str) -> Finding | None:
        """Return the finding on a move with the most evidence so far."""
        case = self._cases.get(move)
        return case.trial.strongest_finding() if case else None

    def _declare(self, declared: MovesDeclared) -> None:
        self._entries = max(1, declared.entries)
        cases = {}
        for move in declared.moves:
            case = self._cases.get(move.name)
            if case is None or not case.trial.move.is_same_attempt(move):
                case = _Case(self._trial(move))
            case.trial.move = move
            cases[move.name] = case
        self._cases = cases

    def _trial(self, move: Move) -> MoveTrial:
        return MoveTrial(move, self._strictness, self.pace.tells_old)

    def _take_sample(self, sample: RecordSample) -> None:
        for case in self._cases.values():
            if case.trial.move.service == sample.service and not case.is_closed:
                case.trial.take_sample(sample)

    def _take_evidence(self, evidence: Evidence) -> None:
        case = self._cases.get(evidence.move)
        if case is None or evidence.daemon == self.daemon:
            return
        move = case.trial.move
        attempt = (evidence.to_version, evidence.generation)
        if attempt == (move.to_version, move.generation) and not case.is_closed:
            case.trial.take_evidence(evidence)

    def _close(self, veto: Veto) -> None:
        case = self._cases.get(veto.move)
        if case is not None and veto.forbids(case.trial.move):
            case.is_closed = True

    def _tick(self, tick: JudgeTick) -> tuple[JudgeCommand, ...]:
        if tick.now_ms < self._block_ms + BLOCK_MS:
            return ()
        self._block_ms = tick.now_ms
        commands: list[JudgeCommand] = []
        for case in self._cases.values():
            if not case.is_closed:
                commands.extend(self._judge(case, tick))
        return tuple(commands)

    def _judge(self, case: _Case, tick: JudgeTick) -> tuple[JudgeCommand, ...]:
        finding = case.trial.find(tick.now_ms, self._entries)
        if finding is not None:
            case.is_closed = True
            return (_veto(case.trial.move, finding),)
        if self._entries > self.pace.entries_max or not case.has_news():
            return ()
        interval_ms = max(self.pace.interval_ms, case.interval_ms)
        if tick.now_ms < case.told_ms + interval_ms:
            return ()
        return (self._tell(case, tick),)

    def _tell(self, case: _Case, tick: JudgeTick) -> AnnounceFact:
        move = case.trial.move
        blob = encode_evidence(
            Evidence(
                daemon=self.daemon,
                incarnation=self.incarnation,
                move=move.name,
                to_version=move.to_version,
                generation=move.generation,
                rows=case.trial.own_rows,
                usual=case.trial.own_usual(),
            )
        )
        case.told_ms = tick.now_ms
        case.told_calls = case.trial.own_calls
        case.told_generation = max(case.told_generation + 1, int(tick.wall_ms))
        fleet_bytes = len(blob) * self._entries * MS_PER_S
        case.interval_ms = fleet_bytes / self.pace.bytes_per_s
        key = f'evidence/{move.name}/{self.daemon}'
        return AnnounceFact(key, case.told_generation, blob)


def _veto(move: Move, finding: Finding) -> Veto:
    return Veto(
        move=move.name,
        service=move.service,
        to_version=move.to_version,
        generation=move.generation,
        reason=finding.kind,
        evidence=str(finding),
    )
