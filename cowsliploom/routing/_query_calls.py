"""Handling of the outcomes of search calls."""

from cowsliploom.protocol import CallRefusal, Ran, RefusalReason, SearchReply
from cowsliploom.routing._context import Context
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._messages import CallFailed
from cowsliploom.routing._outcomes import Outcomes
from cowsliploom.routing._planner import Planner
from cowsliploom.routing._queries import Queries
from cowsliploom.routing._tracks import Attempt, Call, OpenQuery, WorkItem

EXPIRED_MEDIANS = 2  # a refusal as expired with more medians left is an error
SHEDS_MAX = 5  # more sheds of one sub-request mean overload, not a burst
ATTEMPTS_MAX = 4  # calls for one sub-request, including the first


class QueryCalls:
    """Handle the outcomes of search calls in flight.

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
        Records call outcomes.
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
        """Handle a reply; discard one that does not match the call."""
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
        """Handle a refusal of a call in flight."""
        self._dispatcher.end(call)
        if refusal.request_id == call.call_id:
            self._outcomes.apply_refusal_state(call.server, refusal, now_ms)
            self._handle_reason(call, refusal.reason, now_ms)
            return
        self._context.count('crossed_replies')
        self._fail_and_retry(call, now_ms)

    def handle_failure(self, call: Call, event: CallFailed) -> None:
        """Handle a call in flight that got no readable reply."""
        self._dispatcher.end(call)
        self._outcomes.record_call_failure(call, event)
        not_run = event.ran is Ran.NO
        attempt = Attempt.REROUTE if not_run else Attempt.RETRY
        self._send_again(call.work, event.now_ms, attempt)

    def _send_again(self, work: WorkItem, now_ms: float, attempt: Attempt) -> None:
        """Send another attempt if none is in flight and limits and budget allow it."""
        if work.is_done or work.calls:
            return
        left_ms = work.deadline_ms - now_ms
        late = left_ms < work.service.typical_ms
        if late or len(work.tried) >= ATTEMPTS_MAX:
            self._queries.fail_work(work, now_ms)
            return
        if attempt is Attempt.RETRY:
            service = work.service
            is_overloaded = self._dispatcher.extra.is_overloaded(service, now_ms)
            if is_overloaded or not self._dispatcher.extra.may_spend(work, now_ms):
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
        """Handle a refusal as expired; with enough time left it is a server error."""
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
        """Queue a shed sub-request again, paced by the lowered limit."""
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
    """Return the counter for a mismatched reply, or an empty string if it matches."""
    if reply.request_id != call.call_id or reply.service != call.work.service.name:
        return 'crossed_replies'
    if reply.snapshot != call.work.snapshot:
        return 'snapshot_mismatches'
    return ''
