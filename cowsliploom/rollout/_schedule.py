"""Schedule of a version move: which share, and when the next one is due."""

from dataclasses import dataclass

# The whole share stands twice: a move is finished one step after all traffic has
# moved, so that by then every daemon has heard of it.
SHARES = (0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.0)
EARLY_END = 0.6  # of the time given, when each step has its evidence
LATE_END = 0.9  # of the time given, whatever the traffic; the rest is slack
STEP_MIN_MS = 3000  # a bad version shows before the next step, also when late
STEP_SAMPLES = 100  # calls of the new version that let a step end early


@dataclass(frozen=True, slots=True)
class Progress:
    """Hold where a move stands; all times by one clock, in milliseconds.

    Parameters
    ----------
    step : int
        Number of the current share.
    started_ms, updated_ms : float
        Times of the start and of the last step.
    finish_by_ms : float
        Time by which the last share must be reached.
    samples : int
        Calls of the new version seen since the last step.
    """

    step: int
    started_ms: float
    updated_ms: float
    finish_by_ms: float
    samples: int


def is_step_due(progress: Progress, now_ms: float) -> bool:
    """Tell whether the next share is due.

    The time left is divided among the steps left. A step ends early when it has
    been seen enough, and late without evidence, since too little traffic is no
    excuse to miss the given time.

    Examples
    --------
    >>> from cowsliploom.rollout import Progress, is_step_due
    >>> fresh = Progress(0, 0, 0, finish_by_ms=80_000, samples=0)
    >>> is_step_due(fresh, 6000), is_step_due(fresh, 9000)
    (False, True)
    """
    if progress.step >= len(SHARES) - 1:
        return False
    waited_ms = now_ms - progress.updated_ms
    if waited_ms >= _wait_ms(progress, LATE_END):
        return True
    seen = progress.samples >= STEP_SAMPLES
    return seen and waited_ms >= _wait_ms(progress, EARLY_END)


def _wait_ms(progress: Progress, end: float) -> float:
    """Return how long the current step lasts if the last one is at ``end``."""
    given_ms = progress.finish_by_ms - progress.started_ms
    left_ms = progress.started_ms + end * given_ms - progress.updated_ms
    steps_left = len(SHARES) - 1 - progress.step
    return max(STEP_MIN_MS, left_ms / steps_left)
