"""When a request is answered, and with what."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._messages import (
    BackendAnswer,
    CallerRequest,
    MergedAnswer,
    Outcome,
    ForwardedAnswer,
    Reply,
    ErrorReply,
)
from cowsliploom.forwarding._records import merge_records
from cowsliploom.forwarding._routes import FanOut, Route
from cowsliploom.forwarding._work import SubRequest

ANSWER_MARGIN_MS = 3.0  # the time to merge and to write
ANSWER_MARGIN_SHARE = 0.25  # of the target, at the most
FINAL_MARGIN_MS = 25.0  # before the caller gives up
FINAL_MARGIN_SHARE = 0.1  # of a short patience
UNOFFERED_SHARE = 0.2  # of the target; a request held longer unsent is refused
RETRY_AFTER_MS = 400.0
ROUNDING = 1e-9
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
GOOD_MIN = 200
GOOD_END = 300


@dataclass(frozen=True, slots=True)
class Timeline:
    """Hold the moments of one request, by the own steady clock.

    Parameters
    ----------
    offer_ms : float
        From then on a request that no server had room for is refused.
    answer_ms : float
        From then on an answer with enough parts goes out.
    limit_ms : float
        From then on the request ends without a result.
    end_ms : float
        When the caller, or the route's timeout, gives up.
    """

    offer_ms: float
    answer_ms: float
    limit_ms: float
    end_ms: float


def timeline(request: CallerRequest, route: Route, lateness_ms: float) -> Timeline:
    """Return the moments of a request on its route.

    Parameters
    ----------
    request : CallerRequest
        The request, with what its way takes.
    route : Route
        Its route.
    lateness_ms : float
        How late this process comes to what is due. The request has waited for that
        long before it was read, and its answer will.
    """
    arrived_ms = request.arrived_ms
    answer_margin_ms = min(
        ANSWER_MARGIN_MS + request.path_ms + 2 * lateness_ms,
        route.target_ms * ANSWER_MARGIN_SHARE,
    )
    patience_ms = min(request.patience_ms, route.timeout_ms)
    margin_ms = min(FINAL_MARGIN_MS, patience_ms * FINAL_MARGIN_SHARE)
    return Timeline(
        offer_ms=arrived_ms + route.target_ms * UNOFFERED_SHARE,
        answer_ms=arrived_ms + min(route.target_ms, patience_ms) - answer_margin_ms,
        limit_ms=arrived_ms + patience_ms - margin_ms,
        end_ms=arrived_ms + patience_ms,
    )


class Verdict:
    """Judge from a request's works whether it is answered now.

    Parameters
    ----------
    route : Route
        Route of the request.
    works : tuple of Work
        One for each service that is asked.
    times : Timeline
        Moments of the request.
    retry_after_ms : callable
        Spreads the time to come back.
    """

    def __init__(
        self,
        route: Route,
        works: tuple[SubRequest, ...],
        times: Timeline,
        retry_after_ms: Callable[[float], float],
    ) -> None:
        self.route = route
        self.sub_requests = works
        self.times = times
        self.retry_after_ms = retry_after_ms

    def conclude(self, now_ms: float) -> Reply | None:
        """Return the reply if there is one by now."""
        gather = self.route.fan_out
        if gather is None:
            reply = self._conclude_single(self.sub_requests[0], now_ms)
        else:
            reply = self._conclude_gather(gather, now_ms)
        if reply is None and now_ms >= self.times.limit_ms:
            return self._time_out()
        return reply

    def _conclude_single(self, work: SubRequest, now_ms: float) -> Reply | None:
        if work.part is not None:
            return ForwardedAnswer(work.part)
        if work.end_reason:
            failure = work.failure
            if failure is not None and _may_pass_on(failure):
                return ForwardedAnswer(failure)
            return self._turn_away(work.end_reason)
        if work.sends == 0 and now_ms >= self.times.offer_ms:
            return self._turn_away('no room at any server')
        return None

    def _conclude_gather(self, gather: FanOut, now_ms: float) -> Reply | None:
        progress = self.sub_requests[0].progress
        wanted = max(1, gather.coverage_min * progress.total - ROUNDING)
        is_time = not progress.open or now_ms >= self.times.answer_ms
        if progress.parts >= wanted and is_time:
            return self._gathered(gather.records_max)
        if progress.parts + progress.open < wanted:
            return self._turn_away('too many shards without a server')
        return None

    def _gathered(self, records_max: int) -> MergedAnswer:
        parts = [work.part for work in self.sub_requests if work.part is not None]
        return MergedAnswer(
            tuple(part.signature for part in parts),
            len(self.sub_requests) - len(parts),
            merge_records((part.body for part in parts), records_max),
        )

    def _turn_away(self, reason: str) -> ErrorReply:
        if any(work.may_have_run for work in self.sub_requests):
            return ErrorReply(Outcome.FAILED, reason)
        return ErrorReply(Outcome.REFUSED, reason, self.retry_after_ms(RETRY_AFTER_MS))

    def _time_out(self) -> ErrorReply:
        if any(work.may_have_run for work in self.sub_requests):
            return ErrorReply(Outcome.TIMED_OUT, 'no answer in time')
        return self._turn_away('no room in time')


def _may_pass_on(failure: BackendAnswer) -> bool:
    """Tell whether a failed answer says nothing untrue to the caller.

    A success that is no good answer isn't one, and a status that promises that the
    request has not run must not come from a server that doesn't say so. Without a
    signature it may be bytes of a server in trouble that read as an answer.
    """
    if not failure.signature:
        return False
    is_success = GOOD_MIN <= failure.status < GOOD_END
    return not (is_success or failure.status in PROMISES_NOT_RUN)
