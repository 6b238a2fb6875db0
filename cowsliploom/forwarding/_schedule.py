"""When an open request is checked again, and when it is hedged."""

from cowsliploom.forwarding._latency import RecentLatency
from cowsliploom.forwarding._reply_policy import Deadlines
from cowsliploom.forwarding._routes import Route
from cowsliploom.forwarding._sub_request import SubRequest

MEDIAN = 0.5
HEDGE_QUANTILE = 0.9
HEDGE_RATIO = 1.25  # times the quantile, so that a normal tail is not hedged
HEDGE_MIN_MS = 5.0
HEDGE_TARGET_SHARE = 0.45  # of the target latency; a later hedge is hardly in time
HEDGE_RETRY_MS = 8.0  # before a hedge that could not be sent is retried
CHECK_INTERVAL_MIN_MS = 0.5
REPORT_LEAD_MIN_MS = 6.0  # a relay reports this long before missing shards are hedged
REPORT_LEAD_SHARE_MAX = 0.5  # of the time until they are hedged
REPORT_MIN_MS = 2.0


def hedge_delay_ms(route: Route, latency: RecentLatency) -> float:
    """Return how long a call on a route may be open before it is hedged."""
    slow_ms = latency.quantile(HEDGE_QUANTILE) * HEDGE_RATIO
    return max(HEDGE_MIN_MS, min(slow_ms, route.target_ms * HEDGE_TARGET_SHARE))


class CallSchedule:
    """Compute when the sub-requests of one request are due.

    Parameters
    ----------
    route : Route
        Route of the request.
    deadlines : Deadlines
        Deadlines of the request.
    latency : RecentLatency
        Recent latency of calls on the route.
    """

    def __init__(
        self, route: Route, deadlines: Deadlines, latency: RecentLatency
    ) -> None:
        self.route = route
        self.deadlines = deadlines
        self.latency = latency

    def median_ms(self) -> float:
        """Return the median latency of a call."""
        return self.latency.quantile(MEDIAN)

    def hedge_delay_ms(self) -> float:
        """Return how long a call may be open before it is hedged."""
        return hedge_delay_ms(self.route, self.latency)

    def is_due(self, sub_request: SubRequest, now_ms: float) -> bool:
        """Return whether a sub-request is due for its next send or for a hedge."""
        if sub_request.next_send_ms is not None:
            return now_ms >= sub_request.next_send_ms
        may_hedge = len(sub_request.open_attempts) == 1 and self.route.repeatable
        return may_hedge and now_ms - sub_request.newest_ms >= self.hedge_delay_ms()

    def next_ms(self, sub_requests: tuple[SubRequest, ...], now_ms: float) -> float:
        """Return when the request is to be checked next."""
        deadlines = self.deadlines
        times = [deadlines.limit_ms]
        times.extend(
            moment
            for moment in (deadlines.answer_ms, deadlines.send_limit_ms)
            if moment > now_ms
        )
        hedge_ms = self.hedge_delay_ms()
        times.extend(
            self._next_check_ms(sub_request, hedge_ms, now_ms)
            for sub_request in sub_requests
            if sub_request.is_open
        )
        return max(min(times), now_ms + CHECK_INTERVAL_MIN_MS)

    def _next_check_ms(
        self, sub_request: SubRequest, hedge_ms: float, now_ms: float
    ) -> float:
        if sub_request.next_send_ms is not None:
            return sub_request.next_send_ms
        if len(sub_request.open_attempts) != 1 or not self.route.repeatable:
            return self.deadlines.limit_ms
        hedge_at_ms = sub_request.newest_ms + hedge_ms
        return hedge_at_ms if hedge_at_ms > now_ms else now_ms + HEDGE_RETRY_MS


class ReportTiming:
    """Time of the relays' first reports on one request, and how late they arrive.

    Parameters
    ----------
    hedge_delay_ms : float
        How long a call may be open before it is hedged.
    lag_ms : float
        Typical delay between a report's due time and its arrival.

    Notes
    -----
    A weak VM receives the reports of many relays one after the other. Shards whose
    reports have not arrived by the hedge delay are hedged, answered or not.

    Examples
    --------
    >>> timing = ReportTiming(hedge_delay_ms=60, lag_ms=15)
    >>> timing.after_ms
    45
    >>> timing.lag_ms('entry-1', elapsed_ms=57), timing.lag_ms('entry-1', 80)
    (12, None)
    """

    def __init__(self, hedge_delay_ms: float, lag_ms: float) -> None:
        lead_ms = max(REPORT_LEAD_MIN_MS, lag_ms)
        lead_ms = min(lead_ms, REPORT_LEAD_SHARE_MAX * hedge_delay_ms)
        self.after_ms = max(REPORT_MIN_MS, hedge_delay_ms - lead_ms)
        self._reported: set[str] = set()

    def lag_ms(self, relay: str, elapsed_ms: float) -> float | None:
        """Return how late a relay's first report is; None if it is not measured.

        Reports with all results come before their time, later ones wait for servers.
        """
        if relay in self._reported:
            return None
        self._reported.add(relay)
        return elapsed_ms - self.after_ms if elapsed_ms >= self.after_ms else None
