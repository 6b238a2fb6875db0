"""Judgement of new versions by one daemon, from local and received evidence."""

from collections.abc import Mapping
from dataclasses import dataclass

from cowsliploom.rollout._criteria import DEFAULT_CRITERIA, VetoCriteria
from cowsliploom.rollout._defect_evidence import Finding
from cowsliploom.rollout._evidence import Evidence, encode_evidence
from cowsliploom.rollout._move_trial import MoveTrial
from cowsliploom.rollout._moves import AnnounceFact, Move, Veto
from cowsliploom.rollout._samples import RecordSample

BLOCK_MS = 250  # calls are tested in blocks; a veto is delayed by at most this
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class EvidenceLimits:
    """Bound the cost of exchanging evidence.

    Parameters
    ----------
    interval_ms : float
        Minimum time between two announcements of a daemon's counts.
    entries_max : int
        In larger fleets no evidence is exchanged and each daemon judges by itself.
    bytes_per_s : float
        Limit on the evidence of all daemons together while a move runs.
    reports_old_calls : bool
        Whether to announce evidence also when only the old version was called, so that
        the controller knows the number of requests. Default False.
    """

    interval_ms: float = 1000
    entries_max: int = 64
    bytes_per_s: float = 2000
    reports_old_calls: bool = False


DEFAULT_EVIDENCE_LIMITS = EvidenceLimits()


@dataclass(frozen=True, slots=True)
class MovesDeclared:
    """Report the declared moves and the number of daemons that judge them."""

    now_ms: float
    moves: tuple[Move, ...]
    entries: int


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Report another daemon's evidence."""

    now_ms: float
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class JudgeTick:
    """Report the time; due at least every 250 ms while a move is declared.

    ``wall_ms`` orders this daemon's evidence across its restarts.
    """

    now_ms: float
    wall_ms: float


@dataclass(frozen=True, slots=True)
class VetoReceived:
    """Report a veto of another daemon; the attempt is not judged any further."""

    now_ms: float
    veto: Veto


JudgeEvent = MovesDeclared | RecordSample | EvidenceReceived | VetoReceived | JudgeTick
JudgeCommand = Veto | AnnounceFact


@dataclass(slots=True)
class _Case:
    trial: MoveTrial
    is_closed: bool = False
    announced_ms: float = 0
    announced_calls: int = 0
    announced_generation: int = 0
    interval_ms: float = 0

    def has_unannounced_calls(self) -> bool:
        """Return whether there were calls worth announcing since the last time."""
        return self.trial.local_calls > self.announced_calls


class Judge:
    """Judge the new versions of all declared moves.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    incarnation : str
        Differs for each start of the daemon.
    evidence_limits : EvidenceLimits
        Limits on the evidence announced. Default ``DEFAULT_EVIDENCE_LIMITS``.
    criteria : VetoCriteria
        What is tested, and how much is enough. Default ``DEFAULT_CRITERIA``.

    Notes
    -----
    New and old version are compared on the same route over the same window:
    failed calls, calls above the old version's recent p95, and failed calls of
    cold servers, each by an anytime-valid test (see ``EProcess``). The probability
    of a false veto is divided among daemons, kinds of defects and routes. A version
    is judged for as long as its move is declared, also after the last step.

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
    [<DefectKind.ERRORS: 'errors'>]
    """

    def __init__(
        self,
        daemon: str,
        incarnation: str,
        evidence_limits: EvidenceLimits = DEFAULT_EVIDENCE_LIMITS,
        criteria: VetoCriteria = DEFAULT_CRITERIA,
    ) -> None:
        self.daemon = daemon
        self.incarnation = incarnation
        self.evidence_limits = evidence_limits
        self._criteria = criteria
        self._cases: dict[str, _Case] = {}
        self._entries = 1
        self._block_ms = float('-inf')

    def step(self, event: JudgeEvent) -> tuple[JudgeCommand, ...]:
        """Handle an event and return the commands that follow from it."""
        match event:
            case MovesDeclared():
                self._declare(event)
            case RecordSample():
                self._record_sample(event)
            case EvidenceReceived(evidence=evidence):
                self._add_evidence(evidence)
            case VetoReceived(veto=veto):
                self._close(veto)
            case JudgeTick():
                return self._tick(event)
        return ()

    def samples(self, move: str) -> int:
        """Return the calls of a move's new version counted so far by all daemons."""
        case = self._cases.get(move)
        return case.trial.samples if case else 0

    def suspects(self) -> frozenset[str]:
        """Return the moves that have some evidence against them."""
        return frozenset(
            name for name, case in self._cases.items() if case.trial.is_suspect()
        )

    def requests(self, move: str) -> int:
        """Return the calls of a move's service counted so far."""
        case = self._cases.get(move)
        return case.trial.requests if case else 0

    def baseline_ms(self, move: str) -> Mapping[str, float]:
        """Return the old version's baseline latency on each route of a move."""
        case = self._cases.get(move)
        return case.trial.baseline_ms() if case else {}

    def set_baseline(self, move: str, baseline_ms: Mapping[str, float]) -> None:
        """Set the baseline latencies that are stored with the move's state."""
        case = self._cases.get(move)
        if case is not None:
            case.trial.set_baseline(baseline_ms)

    def inconclusive(self) -> frozenset[str]:
        """Return the moves whose shares must not be raised for now."""
        return frozenset(
            name
            for name, case in self._cases.items()
            if not case.is_closed and case.trial.is_inconclusive()
        )

    def unproven(self) -> frozenset[str]:
        """Return the moves that must not finish for now."""
        return frozenset(
            name
            for name, case in self._cases.items()
            if not case.is_closed and case.trial.is_unproven()
        )

    def strongest_finding(self, move: str) -> Finding | None:
        """Return the finding on a move with the most evidence so far, if any."""
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
        return MoveTrial(move, self._criteria, self.evidence_limits.reports_old_calls)

    def _record_sample(self, sample: RecordSample) -> None:
        for case in self._cases.values():
            if case.trial.move.service == sample.service and not case.is_closed:
                case.trial.record_sample(sample)

    def _add_evidence(self, evidence: Evidence) -> None:
        case = self._cases.get(evidence.move)
        if case is None or evidence.daemon == self.daemon:
            return
        move = case.trial.move
        attempt = (evidence.to_version, evidence.generation)
        if attempt == (move.to_version, move.generation) and not case.is_closed:
            case.trial.add_evidence(evidence)

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
        finding = case.trial.find_defect(tick.now_ms, self._entries)
        if finding is not None:
            case.is_closed = True
            return (_veto(case.trial.move, finding),)
        if (
            self._entries > self.evidence_limits.entries_max
            or not case.has_unannounced_calls()
        ):
            return ()
        interval_ms = max(self.evidence_limits.interval_ms, case.interval_ms)
        if tick.now_ms < case.announced_ms + interval_ms:
            return ()
        return (self._announce(case, tick),)

    def _announce(self, case: _Case, tick: JudgeTick) -> AnnounceFact:
        move = case.trial.move
        blob = encode_evidence(
            Evidence(
                daemon=self.daemon,
                incarnation=self.incarnation,
                move=move.name,
                to_version=move.to_version,
                generation=move.generation,
                rows=case.trial.local_rows,
                usual=case.trial.local_baseline(),
            )
        )
        case.announced_ms = tick.now_ms
        case.announced_calls = case.trial.local_calls
        case.announced_generation = max(
            case.announced_generation + 1, int(tick.wall_ms)
        )
        fleet_bytes = len(blob) * self._entries * MS_PER_S
        case.interval_ms = fleet_bytes / self.evidence_limits.bytes_per_s
        key = f'evidence/{move.name}/{self.daemon}'
        return AnnounceFact(key, case.announced_generation, blob)


def _veto(move: Move, finding: Finding) -> Veto:
    return Veto(
        move=move.name,
        service=move.service,
        to_version=move.to_version,
        generation=move.generation,
        reason=finding.kind,
        evidence=str(finding),
    )
