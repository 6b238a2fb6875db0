"""When a request is replied to, and with what."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.forwarding._messages import (
    BackendAnswer,
    CallerRequest,
    ErrorReply,
    ForwardedAnswer,
    MergedAnswer,
    Outcome,
    Reply,
)
from cowsliploom.forwarding._records import merge_records
from cowsliploom.forwarding._routes import FanOut, Route
from cowsliploom.forwarding._server_notices import RETURN_SPREAD_SHARE
from cowsliploom.forwarding._sub_request import SubRequest

ANSWER_MARGIN_MS = 3.0  # for merging and writing the answer
ANSWER_MARGIN_SHARE = 0.25  # of the target latency, at most
FINAL_MARGIN_MS = 25.0  # before the caller times out
FINAL_MARGIN_SHARE = 0.1  # of a short timeout
SEND_LIMIT_SHARE = 0.2  # of the target latency; a request unsent for longer is refused
RETRY_AFTER_MS = 400.0
ROUNDING = 1e-9
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
SUCCESS_MIN = 200
SUCCESS_END = 300


@dataclass(frozen=True, slots=True)
class Deadlines:
    """Deadlines of one request, by this entry VM's monotonic clock.

    Parameters
    ----------
    send_limit_ms : float
        When a request that was never sent, for lack of capacity, is refused.
    answer_ms : float
        When a merged answer that covers enough shards is sent.
    limit_ms : float
        When the request ends without a result.
    end_ms : float
        When the caller or the route times out.
    """

    send_limit_ms: float
    answer_ms: float
    limit_ms: float
    end_ms: float


def deadlines_of(request: CallerRequest, route: Route, loop_lag_ms: float) -> Deadlines:
    """Return the deadlines of a request on its route.

    Parameters
    ----------
    request : CallerRequest
        The request, with its network time.
    route : Route
        Its route.
    loop_lag_ms : float
        Delay of this process in handling timers. It is counted twice: the request
        waited that long before it was read, and its answer waits as long.
    """
    arrived_ms = request.arrived_ms
    answer_margin_ms = min(
        ANSWER_MARGIN_MS + request.path_ms + 2 * loop_lag_ms,
        route.target_ms * ANSWER_MARGIN_SHARE,
    )
    timeout_ms = min(request.patience_ms, route.timeout_ms)
    margin_ms = min(FINAL_MARGIN_MS, timeout_ms * FINAL_MARGIN_SHARE)
    return Deadlines(
        send_limit_ms=arrived_ms + route.target_ms * SEND_LIMIT_SHARE,
        answer_ms=arrived_ms + min(route.target_ms, timeout_ms) - answer_margin_ms,
        limit_ms=arrived_ms + timeout_ms - margin_ms,
        end_ms=arrived_ms + timeout_ms,
    )


class CallerReplyPolicy:
    """Reply to a caller once its sub-requests or deadlines decide the outcome.

    Parameters
    ----------
    route : Route
        Route of the request.
    sub_requests : tuple of SubRequest
        One for each service that is called.
    deadlines : Deadlines
        Deadlines of the request.
    retry_after_ms : callable
        Returns a retry delay with jitter.
    """

    def __init__(
        self,
        route: Route,
        sub_requests: tuple[SubRequest, ...],
        deadlines: Deadlines,
        retry_after_ms: Callable[[float], float],
    ) -> None:
        self.route = route
        self.sub_requests = sub_requests
        self.deadlines = deadlines
        self.retry_after_ms = retry_after_ms

    def decide(self, now_ms: float) -> Reply | None:
        """Return the reply, or None if the request goes on waiting."""
        fan_out = self.route.fan_out
        if fan_out is None:
            reply = self._single_reply(self.sub_requests[0], now_ms)
        else:
            reply = self._merged_reply(fan_out, now_ms)
        if reply is None and now_ms >= self.deadlines.limit_ms:
            return self._timeout_reply(now_ms)
        return reply

    def _single_reply(self, sub_request: SubRequest, now_ms: float) -> Reply | None:
        if sub_request.part is not None:
            return ForwardedAnswer(sub_request.part)
        if sub_request.end_reason:
            failure = sub_request.failure
            if failure is not None and _may_forward(failure):
                return ForwardedAnswer(failure)
            return self._error_reply(sub_request.end_reason, now_ms)
        if sub_request.sends == 0 and now_ms >= self.deadlines.send_limit_ms:
            return self._error_reply('no server had capacity', now_ms)
        return None

    def _merged_reply(self, fan_out: FanOut, now_ms: float) -> Reply | None:
        counts = self.sub_requests[0].counts
        required = max(1, fan_out.coverage_min * counts.total - ROUNDING)
        is_due_now = not counts.pending or now_ms >= self.deadlines.answer_ms
        if counts.answered >= required and is_due_now:
            return self._merge(fan_out.records_max)
        if counts.answered + counts.pending < required:
            return self._error_reply('too many shards without a server', now_ms)
        return None

    def _merge(self, records_max: int) -> MergedAnswer:
        parts = [
            sub_request.part
            for sub_request in self.sub_requests
            if sub_request.part is not None
        ]
        return MergedAnswer(
            tuple(part.signature for part in parts),
            len(self.sub_requests) - len(parts),
            merge_records((part.body for part in parts), records_max),
        )

    def _error_reply(self, reason: str, now_ms: float) -> ErrorReply:
        if any(sub_request.may_have_run for sub_request in self.sub_requests):
            return ErrorReply(Outcome.FAILED, reason)
        return ErrorReply(Outcome.REFUSED, reason, self._retry_after_ms(now_ms))

    def _retry_after_ms(self, now_ms: float) -> float:
        """Return when a refused caller may try again.

        If servers asked for pauses, that is after those that the request waits for,
        unless its caller has given up by then: another entry VM may still serve it.
        """
        pauses_ms = (sub_request.retry_after_ms for sub_request in self.sub_requests)
        pause_ms = max((pause for pause in pauses_ms if pause is not None), default=0)
        if not pause_ms or now_ms + pause_ms >= self.deadlines.end_ms:
            return self.retry_after_ms(RETRY_AFTER_MS)
        spread_ms = min(RETRY_AFTER_MS, pause_ms * RETURN_SPREAD_SHARE)
        return pause_ms + self.retry_after_ms(spread_ms)

    def _timeout_reply(self, now_ms: float) -> ErrorReply:
        if any(sub_request.may_have_run for sub_request in self.sub_requests):
            return ErrorReply(Outcome.TIMED_OUT, 'no answer in time')
        return self._error_reply('no server had capacity in time', now_ms)


def _may_forward(failure: BackendAnswer) -> bool:
    """Return whether a failed answer can be forwarded without misleading the caller.

    Not forwarded are a success status on an answer that is not good, a status that
    guarantees that the request has not run, although the server does not state so, and
    an unsigned answer, which may be garbage from a faulty server that parses as one.
    """
    if not failure.signature:
        return False
    is_success = SUCCESS_MIN <= failure.status < SUCCESS_END
    return not (is_success or failure.status in NOT_RUN_STATUSES)
