"""Judgement of new versions by one daemon, from local and received evidence."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cowsliploom.rollout._bake import (
    NEVER_MS,
    BakeClock,
    BakeReports,
    report_life_ms,
)
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

    Parameters
    ----------
    now_ms : float
        Monotonic time.
    wall_ms : float
        Time since the epoch. It orders this daemon's evidence across its restarts.
    shares : mapping of str to float
        Share of each service's new version in force here, by service.
    open_calls_ms : mapping of str to tuple of float
        When the open calls of each service's new version were sent, by service.
    """

    now_ms: float
    wall_ms: float
    shares: Mapping[str, float] = field(default_factory=dict)
    open_calls_ms: Mapping[str, tuple[float, ...]] = field(default_factory=dict)


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
    interval_ms: float = DEFAULT_EVIDENCE_LIMITS.interval_ms
    clock: BakeClock = field(default_factory=BakeClock)
    reports: BakeReports = field(default_factory=BakeReports)
    is_bake_announced: bool = False

    @property
    def is_newly_baked(self) -> bool:
        """Whether the end of the bake time is still to be announced."""
        return self.clock.is_baked and not self.is_bake_announced

    def advance_clock(self, tick: JudgeTick) -> None:
        """Count the time at the full share."""
        service = self.trial.move.service
        open_calls_ms = tick.open_calls_ms.get(service, ())
        self.clock.tick(tick.now_ms, tick.shares.get(service, 0), open_calls_ms)

    def is_announcement_due(self, now_ms: float) -> bool:
        """Return whether there is evidence to announce, and it is time to."""
        has_calls = self.trial.local_calls > self.announced_calls
        has_news = has_calls or self.clock.is_baked
        is_late = now_ms >= self.announced_ms + self.interval_ms
        return self.is_newly_baked or (has_news and is_late)

    def baked_ms(self, members: Iterable[str], now_ms: float) -> float:
        """Return since when all members have judged the full share."""
        baked_ms = self.reports.baked_ms(members)
        return baked_ms if baked_ms > self.reports_since_ms(now_ms) else NEVER_MS

    def reports_since_ms(self, now_ms: float) -> float:
        """Return when the oldest reports came that still count."""
        return now_ms - report_life_ms(self.interval_ms)


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
            case EvidenceReceived():
                self._add_evidence(event.now_ms, event.evidence)
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

    def baked_ms(self, move: str, members: Iterable[str], now_ms: float) -> float:
        """Return since when all members have judged the full share of a move.

        Parameters
        ----------
        move : str
            Name of the move.
        members : iterable of str
            Live daemons.
        now_ms : float
            Monotonic time.

        Returns
        -------
        float
            Time of the oldest of their latest reports; minus infinity while one is
            missing or too old.
        """
        case = self._cases.get(move)
        if case is None or case.is_closed:
            return NEVER_MS
        return case.baked_ms(members, now_ms)

    def unbaked(
        self, move: str, members: Iterable[str], now_ms: float
    ) -> tuple[str, ...]:
        """Return the members that have not judged the full share of a move."""
        case = self._cases.get(move)
        if case is None:
            return ()
        return case.reports.missing(members, case.reports_since_ms(now_ms))

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
                interval_ms = self.evidence_limits.interval_ms
                case = _Case(self._trial(move), interval_ms=interval_ms)
            case.trial.move = move
            cases[move.name] = case
        self._cases = cases

    def _trial(self, move: Move) -> MoveTrial:
        return MoveTrial(move, self._criteria, self.evidence_limits.reports_old_calls)

    def _record_sample(self, sample: RecordSample) -> None:
        for case in self._cases.values():
            if case.trial.move.service == sample.service and not case.is_closed:
                case.trial.record_sample(sample)

    def _add_evidence(self, now_ms: float, evidence: Evidence) -> None:
        case = self._cases.get(evidence.move)
        if case is None or evidence.daemon == self.daemon:
            return
        move = case.trial.move
        attempt = (evidence.to_version, evidence.generation)
        if attempt == (move.to_version, move.generation) and not case.is_closed:
            case.trial.add_evidence(evidence)
            if evidence.is_baked:
                case.reports.receive(evidence.daemon, now_ms)

    def _close(self, veto: Veto) -> None:
        case = self._cases.get(veto.move)
        if case is not None and veto.forbids(case.trial.move):
            case.is_closed = True

    def _tick(self, tick: JudgeTick) -> tuple[JudgeCommand, ...]:
        open_cases = [case for case in self._cases.values() if not case.is_closed]
        for open_case in open_cases:
            open_case.advance_clock(tick)
        is_baked = any(case.is_newly_baked for case in open_cases)
        if tick.now_ms < self._block_ms + BLOCK_MS and not is_baked:
            return ()
        self._block_ms = tick.now_ms
        commands: list[JudgeCommand] = []
        for judged in open_cases:
            commands.extend(self._judge(judged, tick))
        return tuple(commands)

    def _judge(self, case: _Case, tick: JudgeTick) -> tuple[JudgeCommand, ...]:
        finding = case.trial.find_defect(tick.now_ms, self._entries)
        if finding is not None:
            case.is_closed = True
            return (_veto(case.trial.move, finding),)
        if case.clock.is_baked:
            case.reports.receive(self.daemon, tick.now_ms)
        case.reports.accept()
        if self._entries > self.evidence_limits.entries_max:
            return ()
        if case.is_announcement_due(tick.now_ms):
            return (self._announce(case, tick),)
        return ()

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
                is_baked=case.clock.is_baked,
            )
        )
        case.is_bake_announced = case.clock.is_baked
        case.announced_ms = tick.now_ms
        case.announced_calls = case.trial.local_calls
        case.announced_generation = max(
            case.announced_generation + 1, int(tick.wall_ms)
        )
        fleet_bytes = len(blob) * self._entries * MS_PER_S
        case.interval_ms = max(
            self.evidence_limits.interval_ms,
            fleet_bytes / self.evidence_limits.bytes_per_s,
        )
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
