"""Non-idempotent requests, which are resent only if they certainly did not run."""

from heapq import heappop, heappush

from cowsliploom.protocol import CallRefusal, Ran, RefusalReason, RunReply
from cowsliploom.routing._admission import fits_time_left
from cowsliploom.routing._context import Context
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._fleet import Fleet
from cowsliploom.routing._messages import (
    AnswerRun,
    CallFailed,
    CallRefused,
    FailureStep,
    RefusalCause,
    RunArrived,
)
from cowsliploom.routing._outcomes import Outcomes
from cowsliploom.routing._settings import answer_deadline_ms
from cowsliploom.routing._tracks import Attempt, Call, OpenRun, WorkItem

ATTEMPTS_MAX = 4  # calls for one run; each needs proof that the last did not run


def read_ran(event: CallRefused | CallFailed) -> Ran:
    """Return whether the call may have run.

    Notes
    -----
    A refusal that names another request is no evidence about this one.
    """
    if isinstance(event, CallFailed):
        return event.ran
    if event.refusal.request_id != event.call_id:
        return Ran.UNKNOWN
    return event.refusal.ran


class Runs:
    """Track the open non-idempotent requests.

    Parameters
    ----------
    context : Context
        Shared settings, counters and commands.
    fleet : Fleet
        Servers and services.
    dispatcher : Dispatcher
        Sender of calls.
    outcomes : Outcomes
        Records call outcomes.

    Notes
    -----
    A run is never hedged and never cancelled: a cancellation does not prove that
    it did not run, and a late outcome may still be useful to its caller.
    """

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        dispatcher: Dispatcher,
        outcomes: Outcomes,
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._outcomes = outcomes
        self._deadlines: list[tuple[float, int, WorkItem]] = []
        self._order = 0
        self.open: dict[str, WorkItem] = {}

    @property
    def due_ms(self) -> float | None:
        """Return the next deadline, in milliseconds; None without runs."""
        return self._deadlines[0][0] if self._deadlines else None

    def start(self, event: RunArrived) -> None:
        """Admit a run and send its first call."""
        service = self._fleet.services.get(event.service)
        if service is None:
            self._refuse_admission(event, RefusalCause.UNKNOWN_SERVICE)
            return
        settings = self._context.settings
        deadline_ms = answer_deadline_ms(settings, event.now_ms, event.deadline_ms)
        run = OpenRun(event, deadline_ms)
        work = WorkItem(service, run, settings.run_urgency, deadline_ms)
        if len(service.queue):
            wait_ms = self._dispatcher.wait_ms(service, work.urgency)
            if not fits_time_left(
                wait_ms, service.typical_ms, deadline_ms - event.now_ms
            ):
                self._refuse_admission(event, RefusalCause.OVERLOADED, wait_ms)
                return
        self.open[event.run_id] = work
        self._order += 1
        heappush(self._deadlines, (deadline_ms, self._order, work))
        self._dispatcher.submit(work, event.now_ms, Attempt.FIRST)

    def handle_caller_left(self, run_id: str) -> None:
        """Drop a queued run; let one that was sent finish."""
        work = self.open.get(run_id)
        if work is not None and not work.calls:
            self._close(run_id)

    def handle_reply(
        self, call: Call, reply: RunReply, server: str, now_ms: float
    ) -> None:
        """Handle the reply to a call in flight."""
        self._dispatcher.end(call)
        run_id = call.work.parent.name
        is_crossed = reply.request_id != call.call_id
        if is_crossed or reply.service != call.work.service.name:
            self._context.count('crossed_replies')
            self._outcomes.record_error(call, now_ms)
            self._give_up(call.work, RefusalCause.BACKEND, Ran.UNKNOWN, server)
            return
        self._outcomes.record_success(
            call, reply.incarnation, reply.version, reply.state, now_ms
        )
        if run_id in self.open:
            self._close(run_id)
            self._context.commands.append(AnswerRun(run_id, reply.outcome))

    def handle_refusal(self, call: Call, event: CallRefused) -> None:
        """Handle a refusal; reroute only a run that certainly did not run."""
        self._dispatcher.end(call)
        ran = read_ran(event)
        self._record_refusal(call, event.refusal, event.now_ms)
        if ran is Ran.UNKNOWN:
            self._give_up(call.work, RefusalCause.BACKEND, ran, event.server)
            return
        self._reroute(call.work, event.now_ms, event.server)

    def handle_failure(self, call: Call, event: CallFailed) -> None:
        """Handle a call without a readable reply."""
        self._dispatcher.end(call)
        self._outcomes.record_call_failure(call, event)
        if read_ran(event) is Ran.NO:
            self._reroute(call.work, event.now_ms, event.server)
            return
        is_late = event.timed_out and event.step is FailureStep.RECEIVE
        cause = RefusalCause.DEADLINE if is_late else RefusalCause.BACKEND
        self._give_up(call.work, cause, Ran.UNKNOWN, event.server, event.step)

    def fail_work(self, work: WorkItem, now_ms: float) -> None:
        """Refuse a queued run that cannot be sent."""
        if work.is_done or work.calls:
            return
        is_full = len(work.service.queue) > 0 or now_ms >= work.deadline_ms
        cause = RefusalCause.OVERLOADED if is_full else RefusalCause.NO_SERVER
        self._give_up(work, cause, Ran.NO, '', 'route')

    def expire(self, now_ms: float) -> None:
        """Refuse runs past their deadline, and state whether they may have run."""
        deadlines = self._deadlines
        while deadlines and (deadlines[0][0] <= now_ms or deadlines[0][2].is_done):
            work = heappop(deadlines)[2]
            if work.calls:
                peer = work.calls[0].server.name
                self._give_up(work, RefusalCause.DEADLINE, Ran.UNKNOWN, peer)
            else:
                self._give_up(work, RefusalCause.OVERLOADED, Ran.NO, '', 'route')

    def _record_refusal(self, call: Call, refusal: CallRefusal, now_ms: float) -> None:
        if refusal.request_id != call.call_id:
            self._context.count('crossed_replies')
            self._outcomes.record_error(call, now_ms)
            return
        self._outcomes.apply_refusal_state(call.server, refusal, now_ms)
        match refusal.reason:
            case RefusalReason.SHED:
                self._outcomes.record_shed(call, now_ms)
            case RefusalReason.FAILED:
                self._outcomes.record_error(call, now_ms)
            case _:
                self._outcomes.record_server_refusal(call, refusal.reason, now_ms)

    def _reroute(self, work: WorkItem, now_ms: float, peer: str) -> None:
        late = work.deadline_ms - now_ms < work.service.typical_ms
        if work.is_done:
            return
        if late or len(work.tried) >= ATTEMPTS_MAX:
            self._give_up(work, RefusalCause.BACKEND, Ran.NO, peer)
            return
        self._dispatcher.submit(work, now_ms, Attempt.REROUTE)

    def _give_up(
        self,
        work: WorkItem,
        cause: RefusalCause,
        ran: Ran,
        peer: str,
        step: str = 'receive',
    ) -> None:
        if work.is_done:
            return
        run_id = work.parent.name
        self._close(run_id)
        self._context.refuse(run_id, cause, step, ran, peer)

    def _close(self, run_id: str) -> None:
        work = self.open.pop(run_id)
        work.is_done = True

    def _refuse_admission(
        self, event: RunArrived, cause: RefusalCause, wait_ms: float = 0
    ) -> None:
        self._context.refuse(event.run_id, cause, 'admit', retry_after_ms=wait_ms)
