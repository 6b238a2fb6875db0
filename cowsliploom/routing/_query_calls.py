"""Calls of queries: what each outcome leads to."""

from cowsliploom.protocol import CallRefusal, Ran, RefusalReason, SearchReply
from cowsliploom.routing._context import Context
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._messages import CallFailed
from cowsliploom.routing._outcomes import Outcomes
from cowsliploom.routing._planner import Planner
from cowsliploom.routing._queries import Queries
from cowsliploom.routing._tracks import Attempt, Call, OpenQuery, Work

EXPIRED_MEDIANS = 2  # with more medians left no call can have expired
SHEDS_MAX = 5  # a sub-request shed more often meets an overload, not a burst
ATTEMPTS_MAX = 4  # calls for one sub-request, the first included


class QueryCalls:
    """Take the outcomes of search calls in flight.

    Parameters
    ----------
    context : Context
        Shared settings and counters.
    queries : Queries
        Open queries.
    planner : Planner
        Pins snapshots.
    dispatcher : Dispatcher
        Sender of calls.
    outcomes : Outcomes
        Learning from calls.
    """

    def __init__(
        self,
        context: Context,
        queries: Queries,
        planner: Planner,
        dispatcher: Dispatcher,
        outcomes: Outcomes,
    ) -> None:
        self._context = context
        self._queries = queries
        self._planner = planner
        self._dispatcher = dispatcher
        self._outcomes = outcomes

    def handle_reply(self, call: Call, reply: SearchReply, now_ms: float) -> None:
        """Take the reply to a call in flight; discard one that is not its answer."""
        self._dispatcher.end(call)
        work = call.work
        mismatch = _mismatch(call, reply)
        if mismatch:
            self._context.count(mismatch)
            self._fail_and_retry(call, now_ms)
            return
        self._outcomes.record_success(
            call, reply.incarnation, reply.version, reply.state, now_ms
        )
        query = work.parent
        if isinstance(query, OpenQuery):
            query.replies[work.service.name] = reply
            self._queries.finish_work(query, work, now_ms)

    def handle_refusal(self, call: Call, refusal: CallRefusal, now_ms: float) -> None:
        """Take a refusal of a call in flight."""
        self._dispatcher.end(call)
        if refusal.request_id == call.call_id:
            self._outcomes.apply_refusal_state(call.server, refusal, now_ms)
            self._handle_reason(call, refusal.reason, now_ms)
            return
        self._context.count('crossed_replies')
        self._fail_and_retry(call, now_ms)

    def handle_failure(self, call: Call, event: CallFailed) -> None:
        """Take a call in flight that got no readable answer."""
        self._dispatcher.end(call)
        self._outcomes.record_call_failure(call, event)
        not_run = event.ran is Ran.NO
        attempt = Attempt.REROUTE if not_run else Attempt.RETRY
        self._send_again(call.work, event.now_ms, attempt)

    def _send_again(self, work: Work, now_ms: float, attempt: Attempt) -> None:
        """Send another attempt, unless one is in flight or nothing allows it."""
        if work.is_done or work.calls:
            return
        left_ms = work.deadline_ms - now_ms
        late = left_ms < work.service.typical_ms
        if late or len(work.tried) >= ATTEMPTS_MAX:
            self._queries.fail_work(work, now_ms)
            return
        if attempt is Attempt.RETRY:
            service = work.service
            is_barred = self._dispatcher.extra.is_overloaded(service, now_ms)
            if is_barred or not self._dispatcher.extra.may_spend(work, now_ms):
                self._queries.fail_work(work, now_ms)
                return
            self._dispatcher.extra.spend(work.service)
        self._dispatcher.submit(work, now_ms, attempt)

    def _handle_reason(self, call: Call, reason: RefusalReason, now_ms: float) -> None:
        match reason:
            case RefusalReason.SNAPSHOT_GONE:
                self._handle_snapshot_gone(call, now_ms)
            case RefusalReason.SHED:
                self._outcomes.record_shed(call, now_ms)
                self._requeue(call, now_ms)
            case RefusalReason.FAILED:
                self._fail_and_retry(call, now_ms)
            case RefusalReason.EXPIRED:
                self._handle_expired(call, now_ms)
            case _:
                self._outcomes.record_server_refusal(call, reason, now_ms)
                self._send_again(call.work, now_ms, Attempt.REROUTE)

    def _handle_expired(self, call: Call, now_ms: float) -> None:
        """Take a refusal for lack of time; with time left the server errs."""
        work = call.work
        if work.deadline_ms - now_ms > EXPIRED_MEDIANS * work.service.typical_ms:
            self._fail_and_retry(call, now_ms)
            return
        self._queries.fail_work(work, now_ms)

    def _fail_and_retry(self, call: Call, now_ms: float) -> None:
        self._outcomes.record_error(call, now_ms)
        self._send_again(call.work, now_ms, Attempt.RETRY)

    def _handle_snapshot_gone(self, call: Call, now_ms: float) -> None:
        work = call.work
        query = work.parent
        if work.snapshot is None or not isinstance(query, OpenQuery):
            return
        self._planner.drop_snapshot(call.server, work.snapshot)
        is_lost = not work.calls and not self._planner.may_serve(work, now_ms)
        if is_lost and self._queries.restart(query, now_ms):
            return
        self._send_again(work, now_ms, Attempt.REROUTE)

    def _requeue(self, call: Call, now_ms: float) -> None:
        """Let a shed sub-request wait for the limit that fell because of it."""
        work = call.work
        if work.is_done or work.calls:
            return
        work.sheds += 1
        may_wait = self._context.settings.shed_requeue and work.sheds <= SHEDS_MAX
        left_ms = work.deadline_ms - now_ms
        if not may_wait or left_ms < work.service.typical_ms:
            self._queries.fail_work(work, now_ms)
            return
        work.tried = tuple(name for name in work.tried if name != call.server.name)
        self._dispatcher.requeue(work)


def _mismatch(call: Call, reply: SearchReply) -> str:
    """Name the counter of what is wrong with a reply; empty when nothing is."""
    if reply.request_id != call.call_id or reply.service != call.work.service.name:
        return 'crossed_replies'
    if reply.snapshot != call.work.snapshot:
        return 'snapshot_mismatches'
    return ''
