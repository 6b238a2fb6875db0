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
USABLE_EXPOSURE = 0.85  # the rest is for calls sent before a roll-back is in force
FULL_SHARE_MS = 1750.0  # in which it takes effect, is judged, and the move finishes
SETTLE_MS = 1000.0  # in which the evidence and the vetoes of others arrive
RAMP_END_STEPS = 3  # the last steps, at which all requests may be moved
EARLY_EXPOSURE = 0.2  # of the usable one, spent before all requests can be moved


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
class ExposureLimit:
    """Limit on the requests that a bad version may receive.

    Parameters
    ----------
    share : float
        Share of the service's requests, from the start of the move to its deadline.
    extra : float
        Requests beyond that share.
    """

    share: float
    extra: float

    def usable(self, requests: float) -> float:
        """Return how many requests a version in doubt may receive.

        Parameters
        ----------
        requests : float
            Requests of the service expected in the whole time of the move.

        Examples
        --------
        >>> ExposureLimit(share=0.1, extra=50).usable(100)
        51.0
        """
        return USABLE_EXPOSURE * (self.share * requests + self.extra)


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
    low_traffic : LowTraffic or None
        Shares for few requests. Default None.
    exposure : ExposureLimit or None
        Limit on what a bad version may receive. The fewer requests are expected, the
        earlier all of them may go to the new version within it. Default None.
    settle_ms : float
        Pause of a controller after it finds another one's state, so that the evidence
        of other daemons arrives first. Default 0.
    fixed_step_times : bool
        Whether each step has a fixed time within the time given. After a delay only the
        overdue steps are then short. Otherwise all remaining steps are, also the last
        ones, which give the most evidence. Default False.
    bakes_full_share : bool
        Whether a move finishes only after all live daemons have judged the full share
        for the bake time. The steps of a short move are then earlier, so that there is
        time for it. Default False.
    """

    shares: tuple[float, ...] = SHARES
    early_end: float = EARLY_END
    late_end: float = LATE_END
    step_min_ms: float = STEP_MIN_MS
    low_traffic: LowTraffic | None = None
    exposure: ExposureLimit | None = None
    settle_ms: float = 0
    fixed_step_times: bool = False
    bakes_full_share: bool = False

    def share(self, step: int, requests: float, exposed: float = 0) -> float:
        """Return the share of a step.

        Parameters
        ----------
        step : int
            Index of the step.
        requests : float
            Requests of the service expected in the whole time.
        exposed : float
            Requests that the new version has received so far. Default 0.

        Examples
        --------
        >>> from cowsliploom.rollout import CAUTIOUS_SCHEDULE
        >>> [CAUTIOUS_SCHEDULE.share(6, requests) for requests in (40, 400, 4000)]
        [1.0, 0.2, 0.05]
        """
        override = self.low_traffic
        is_low = override is not None and requests <= override.requests_max
        share = override.shares[step] if override and is_low else self.shares[step]
        if self.exposure is None or not is_low:
            return share
        return max(share, self._share_within_exposure(step, requests, exposed))

    def _share_within_exposure(
        self, step: int, requests: float, exposed: float
    ) -> float:
        """Return the share that uses the limit for the latest requests first.

        A version may turn bad at any time, and those requests judge it as it is when
        the move finishes. However few there are, the share grows by steps.
        """
        step_max = min(1.0, (step + 1) / (len(self.shares) - RAMP_END_STEPS))
        if self.exposure is None or not requests:
            return step_max
        usable = self.exposure.usable(requests)
        step_requests = requests * self.late_end / (len(self.shares) - 1)
        later_requests = requests - step_requests * (step + 1)
        for_step = (usable - exposed - later_requests) / step_requests
        return min(step_max, max(for_step, EARLY_EXPOSURE * usable / requests))


DEFAULT_SCHEDULE = Schedule(settle_ms=SETTLE_MS)

# A version that turns bad late must have received few requests by then, so the share
# stays low for as long as the time given allows, and no step ends early. With few
# requests, larger shares are needed for enough evidence.
CAUTIOUS_SCHEDULE = Schedule(
    shares=(0.01, 0.01, 0.01, 0.02, 0.02, 0.02, 0.05, 0.1, 1.0, 1.0),
    early_end=CAUTIOUS_END,
    late_end=CAUTIOUS_END,
    step_min_ms=500,
    settle_ms=SETTLE_MS,
    fixed_step_times=True,
    bakes_full_share=True,
    low_traffic=LowTraffic(
        1000, (0.02, 0.03, 0.03, 0.05, 0.05, 0.05, 0.2, 0.3, 1.0, 1.0)
    ),
    exposure=ExposureLimit(share=0.1, extra=50),
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
    given_ms = progress.finish_by_ms - progress.started_ms
    planned_ms = end * given_ms
    elapsed_ms = progress.updated_ms - progress.started_ms
    steps = len(schedule.shares) - 1
    if schedule.fixed_step_times:
        due_ms = planned_ms * (progress.step + 1) / steps
        if schedule.bakes_full_share and progress.step + 1 < steps:
            full_share_due_ms = given_ms - FULL_SHARE_MS
            due_ms = min(due_ms, full_share_due_ms * (progress.step + 1) / (steps - 1))
        wait_ms = due_ms - elapsed_ms
    else:
        wait_ms = (planned_ms - elapsed_ms) / (steps - progress.step)
    return max(schedule.step_min_ms, wait_ms)
