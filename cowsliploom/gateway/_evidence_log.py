"""Log of the evidence on versions that services are moved to."""

from collections.abc import Iterable

from cowsliploom.gateway._line_log import LineLog
from cowsliploom.rollout import Move, Rollout

EVIDENCE_LINES_MS = 1000


class EvidenceLog:
    """Log the strongest evidence on each new version, at most once a second.

    Parameters
    ----------
    rollout : Rollout
        Has the evidence.
    log : LineLog
        Receives the lines.
    """

    def __init__(self, rollout: Rollout, log: LineLog) -> None:
        self._rollout = rollout
        self._log = log
        self._logged_ms = float('-inf')

    def write(self, moves: Iterable[Move], is_judge: bool, now_ms: float) -> None:
        """Write the lines that are due.

        Parameters
        ----------
        moves : iterable of Move
            Running moves.
        is_judge : bool
            Whether this VM receives the evidence of all others.
        now_ms : float
            Monotonic time.
        """
        if now_ms < self._logged_ms + EVIDENCE_LINES_MS:
            return
        self._logged_ms = now_ms
        for move in moves:
            self._write_finding(move, is_judge)

    def _write_finding(self, move: Move, is_judge: bool) -> None:
        finding = self._rollout.strongest_finding(move.name)
        state = self._rollout.states().get(move.name)
        if finding is None or not finding.calls:
            return
        self._log.write(
            'move',
            'evidence',
            service=move.service,
            to_version=move.to_version,
            share=state.share if state else 0,
            is_judge=is_judge,
            kind=finding.kind.value,
            route=finding.route,
            calls=finding.calls,
            bad=finding.bad,
            allowed_rate=round(finding.allowed_rate, 4),
            e_value=round(finding.e_value, 2),
        )
