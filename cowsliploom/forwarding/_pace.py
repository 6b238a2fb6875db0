"""When an open request is to be looked at again, and when it is hedged."""

from cowsliploom.forwarding._latency import RecentLatency
from cowsliploom.forwarding._routes import Route
from cowsliploom.forwarding._verdict import Timeline
from cowsliploom.forwarding._work import SubRequest

HALF = 0.5
HEDGE_QUANTILE = 0.9
HEDGE_RATIO = 1.25  # over the quantile, so that a usual tail is not hedged
HEDGE_MIN_MS = 5.0
HEDGE_TARGET_SHARE = 0.45  # later than this a hedge would hardly be in time
HEDGE_AGAIN_MS = 8.0  # before a hedge that could not be sent is tried again
STEP_MIN_MS = 0.5


def hedge_delay_ms(route: Route, latency: RecentLatency) -> float:
    """Return how long a call on a route may be open before it is hedged."""
    slow_ms = latency.quantile(HEDGE_QUANTILE) * HEDGE_RATIO
    return max(HEDGE_MIN_MS, min(slow_ms, route.target_ms * HEDGE_TARGET_SHARE))


class Pace:
    """Tell when the works of one request are due.

    Parameters
    ----------
    route : Route
        Route of the request.
    times : Timeline
        Moments of the request.
    latency : RecentLatency
        How long calls on the route took lately.
    """

    def __init__(self, route: Route, times: Timeline, latency: RecentLatency) -> None:
        self.route = route
        self.times = times
        self.latency = latency

    def usual_ms(self) -> float:
        """Return what a call usually takes."""
        return self.latency.quantile(HALF)

    def hedge_delay_ms(self) -> float:
        """Return how long a call may be open before it is hedged."""
        return hedge_delay_ms(self.route, self.latency)

    def is_due(self, work: SubRequest, now_ms: float) -> bool:
        """Tell whether a work waits for room no longer, or is to be hedged."""
        if work.waits_until_ms is not None:
            return now_ms >= work.waits_until_ms
        may_hedge = len(work.open) == 1 and self.route.repeatable
        return may_hedge and now_ms - work.newest_ms >= self.hedge_delay_ms()

    def next_ms(self, works: tuple[SubRequest, ...], now_ms: float) -> float:
        """Return when the request is to be looked at next."""
        times = self.times
        moments = [times.limit_ms]
        moments.extend(
            moment for moment in (times.answer_ms, times.offer_ms) if moment > now_ms
        )
        hedge_ms = self.hedge_delay_ms()
        moments.extend(
            self._look_ms(work, hedge_ms, now_ms) for work in works if work.is_open
        )
        return max(min(moments), now_ms + STEP_MIN_MS)

    def _look_ms(self, work: SubRequest, hedge_ms: float, now_ms: float) -> float:
        if work.waits_until_ms is not None:
            return work.waits_until_ms
        if len(work.open) != 1 or not self.route.repeatable:
            return self.times.limit_ms
        look_ms = work.newest_ms + hedge_ms
        return look_ms if look_ms > now_ms else now_ms + HEDGE_AGAIN_MS
