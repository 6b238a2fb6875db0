"""Judge a new version from completed calls, without daemons or a network.

>>> simulation = JudgeSimulation()
>>> simulation.run(old_errors=0.01, new_errors=0.01)
'no veto after 2000 calls'
>>> simulation.run(old_errors=0.01, new_errors=0.3).partition(':')[0]
'vetoed'
"""

import doctest
import random

from cowsliploom.rollout import (
    Judge,
    JudgeTick,
    Move,
    MovesDeclared,
    RecordSample,
    Veto,
)

CALLS = 2000
NEW_SHARE = 0.1
CALL_MS = 10  # interval between two calls


class JudgeSimulation:
    """Send a judge random calls of two versions."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)

    def run(self, old_errors: float, new_errors: float) -> str:
        """Return the verdict of the judge on versions with these error rates."""
        judge = Judge('entry-1', 'start-1')
        move = Move('rota-2', 'van-rota', 'v1', 'v2', 1, finish_by_ms=60_000)
        judge.step(MovesDeclared(0, (move,), entries=1))
        for number in range(CALLS):
            now_ms = number * CALL_MS
            is_new = self.rng.random() < NEW_SHARE
            errors = new_errors if is_new else old_errors
            judge.step(self._sample(now_ms, errors, is_new=is_new))
            for command in judge.step(JudgeTick(now_ms, wall_ms=now_ms)):
                if isinstance(command, Veto):
                    return f'vetoed: {command.evidence}'
        return f'no veto after {CALLS} calls'

    def _sample(self, now_ms: float, errors: float, *, is_new: bool) -> RecordSample:
        version = 'v2' if is_new else 'v1'
        return RecordSample(
            now_ms=now_ms,
            service='van-rota',
            route='book',
            version=version,
            server=f'{version}-{self.rng.randrange(2)}',
            elapsed_ms=self.rng.lognormvariate(1, 1 / 2),
            ok=self.rng.random() >= errors,
            cold=False,
        )


if __name__ == '__main__':
    doctest.testmod(verbose=True)
