"""Log of the members for whose judgement of the full share a move waits."""

from collections.abc import Iterable

from cowsliploom.gateway._line_log import LineLog
from cowsliploom.rollout import Move, Rollout

INTERVAL_MS = 1000
NAMES_MAX = 8


class BakeLog:
    """Log on the controller which members keep a move from finishing.

    Parameters
    ----------
    rollout : Rollout
        Has the reports of the members.
    log : LineLog
        Receives the lines.
    """

    def __init__(self, rollout: Rollout, log: LineLog) -> None:
        self._rollout = rollout
        self._log = log
        self._logged_ms = float('-inf')

    def write(self, moves: Iterable[Move], now_ms: float) -> None:
        """Write the lines that are due, at most once a second for each move.

        Parameters
        ----------
        moves : iterable of Move
            Running moves.
        now_ms : float
            Monotonic time.
        """
        if now_ms < self._logged_ms + INTERVAL_MS:
            return
        states = self._rollout.states()
        for move in moves:
            state = states.get(move.name)
            if state is None or state.share < 1:
                continue
            self._logged_ms = now_ms
            missing = self._rollout.unbaked(move.name, now_ms)
            self._log.write(
                'move',
                'full share not judged by all' if missing else 'full share judged',
                service=move.service,
                to_version=move.to_version,
                missing=len(missing),
                members=list(missing[:NAMES_MAX]),
            )
