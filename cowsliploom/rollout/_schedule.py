"""Schedule of a version move: its shares, and when the next one is due."""

from dataclasses import dataclass

# The full share is listed twice: a move finishes one step after all traffic has moved,
# so that by then every daemon has received that share.
SHARES = (0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.0)
EARLY_END = 0.6  # of the time given, if each step has enough samples
LATE_END = 0.9  # of the time given, whatever the traffic; the rest is slack
CAUTIOUS_END = 0.94  # a late end leaves more calls to judge before it
STEP_MIN_MS = 3000.0  # a bad version is detected before the next step, even when late
STEP_SAMPLES = 100  # calls of the new version after which a step may end early


@dataclass(frozen=True, slots=True)
class LowTraffic:
    """Replace the shares for a service with few requests in the time given.

    Parameters
    ----------
    requests_max : float
        Most requests in the whole time for which these shares hold.
    shares : tuple of float
        Shares in order, as many as those that they replace.
    """

    requests_max: float
    shares: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Schedule:
    """Define the shares of a move and the pace of its steps.

    Parameters
    ----------
    shares : tuple of float
        Shares in order; the last one is listed twice.
    early_end, late_end : float
        Fraction of the time given at which the last step is taken: if each step has
        enough samples, and whatever the traffic.
    step_min_ms : float
        Shortest duration of a step.
    low_traffic : tuple of LowTraffic
        Shares for few requests, the fewest first. Default none.
    settle_ms : float
        Pause of a controller after it finds another one's state, so that the evidence
        of other daemons arrives first. Default 0.
    fixed_step_times : bool
        Whether each step has a fixed time within the time given. After a delay only the
        overdue steps are then short. Otherwise all remaining steps are, also the last
        ones, which give the most evidence. Default False.
    """

    shares: tuple[float, ...] = SHARES
    early_end: float = EARLY_END
    late_end: float = LATE_END
    step_min_ms: float = STEP_MIN_MS
    low_traffic: tuple[LowTraffic, ...] = ()
    settle_ms: float = 0
    fixed_step_times: bool = False

    def share(self, step: int, requests: float) -> float:
        """Return the share of a step, given the requests expected in the whole time.

        Examples
        --------
        >>> from cowsliploom.rollout import CAUTIOUS_SCHEDULE
        >>> [CAUTIOUS_SCHEDULE.share(5, requests) for requests in (40, 400)]
        [1.0, 0.05]
        """
        fitting = (
            override.shares
            for override in self.low_traffic
            if requests <= override.requests_max
        )
        return next(fitting, self.shares)[step]


DEFAULT_SCHEDULE = Schedule()

# A version that turns bad late must have received few requests by then, so the share
# stays low for as long as the time given allows, and no step ends early. A bad version
# may receive some requests in any case: with hardly more than these in total, larger
# shares use them as evidence.
CAUTIOUS_SCHEDULE = Schedule(
    shares=(0.01, 0.01, 0.01, 0.02, 0.02, 0.02, 0.05, 0.1, 1.0, 1.0),
    early_end=CAUTIOUS_END,
    late_end=CAUTIOUS_END,
    step_min_ms=500,
    settle_ms=1000,
    fixed_step_times=True,
    low_traffic=(
        LowTraffic(60, (0.1, 0.2, 0.3, 0.5, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)),
        LowTraffic(150, (0.05, 0.1, 0.2, 0.2, 0.3, 0.3, 1.0, 1.0, 1.0, 1.0)),
        LowTraffic(1000, (0.02, 0.03, 0.03, 0.05, 0.05, 0.05, 0.2, 0.3, 1.0, 1.0)),
    ),
)


@dataclass(frozen=True, slots=True)
class Progress:
    """Hold the progress of a move; all times are in milliseconds by one clock.

    Parameters
    ----------
    step : int
        Index of the current share.
    started_ms, updated_ms : float
        Times of the start and of the last step.
    finish_by_ms : float
        Time by which the last share must be reached.
    samples : int
        Calls of the new version since the last step.
    """

    step: int
    started_ms: float
    updated_ms: float
    finish_by_ms: float
    samples: int


def is_step_due(
    progress: Progress, now_ms: float, schedule: Schedule = DEFAULT_SCHEDULE
) -> bool:
    """Return whether the next share is due.

    The time left is divided among the remaining steps, unless the schedule has fixed
    step times. A step ends early once it has enough samples. It ends late without
    them, since low traffic must not make a move miss its deadline.

    Examples
    --------
    >>> from cowsliploom.rollout import Progress, is_step_due
    >>> fresh = Progress(0, 0, 0, finish_by_ms=80_000, samples=0)
    >>> is_step_due(fresh, 6000), is_step_due(fresh, 9000)
    (False, True)
    """
    if progress.step >= len(schedule.shares) - 1:
        return False
    waited_ms = now_ms - progress.updated_ms
    if waited_ms >= _wait_ms(progress, schedule, schedule.late_end):
        return True
    has_enough_samples = progress.samples >= STEP_SAMPLES
    return has_enough_samples and waited_ms >= _wait_ms(
        progress, schedule, schedule.early_end
    )


def _wait_ms(progress: Progress, schedule: Schedule, end: float) -> float:
    """Return the duration of the current step if the last one is at ``end``."""
    planned_ms = end * (progress.finish_by_ms - progress.started_ms)
    elapsed_ms = progress.updated_ms - progress.started_ms
    steps = len(schedule.shares) - 1
    if schedule.fixed_step_times:
        wait_ms = planned_ms * (progress.step + 1) / steps - elapsed_ms
    else:
        wait_ms = (planned_ms - elapsed_ms) / (steps - progress.step)
    return max(schedule.step_min_ms, wait_ms)
