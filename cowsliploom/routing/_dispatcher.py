"""Dispatch of calls to servers, with a queue for each service."""

from cowsliploom.protocol import RunCall, SearchCall
from cowsliploom.routing._admission import (
    WaitEstimate,
    record_departure,
    record_empty,
    record_expired,
    record_served,
)
from cowsliploom.routing._choice import ReplicaChoice
from cowsliploom.routing._context import Context
from cowsliploom.routing._extra_load import ExtraLoad
from cowsliploom.routing._messages import CancelAttempt, SendRun, SendSearch
from cowsliploom.routing._outcomes import Outcomes
from cowsliploom.routing._queue import QueuedWork
from cowsliploom.routing._shares import count_call
from cowsliploom.routing._tracks import (
    Attempt,
    Call,
    OpenQuery,
    ServerTrack,
    ServiceTrack,
    WorkItem,
)

HEDGE_SPARE = 1  # calls beyond the limit; the budget already bounds hedges
ENDED_CALLS_KEPT = 10_000  # at least; matches late events to their calls


class Dispatcher:
    """Track the calls in flight and dispatch queued requests.

    Parameters
    ----------
    context : Context
        Shared settings, counters and commands.
    choice : ReplicaChoice
        Replica selection.
    outcomes : Outcomes
        Records call outcomes.
    """

    def __init__(
        self, context: Context, choice: ReplicaChoice, outcomes: Outcomes
    ) -> None:
        self._context = context
        self._choice = choice
        self._outcomes = outcomes
        self._order = 0
        self.extra = ExtraLoad(context)
        self._ended: dict[str, Call] = {}
        self._ended_previous: dict[str, Call] = {}
        self.calls: dict[str, Call] = {}
        self.backlogged: dict[str, ServiceTrack] = {}

    def submit(self, work: WorkItem, now_ms: float, attempt: Attempt) -> None:
        """Send a request if a server has room; otherwise queue it."""
        service = work.service
        server = None if len(service.queue) else self._choice.choose(work, now_ms)
        if server is not None:
            self.send(work, server, now_ms, attempt)
        elif self._may_serve(work, now_ms):
            self._enqueue(work, attempt)
        elif not work.calls:
            self._context.unserved_items.append(work)
            _count_unserved(work)

    def requeue(self, work: WorkItem) -> None:
        """Queue a request again after a server shed it and its limit was lowered."""
        self._enqueue(work, Attempt.REQUEUE)

    def hedge(self, work: WorkItem, now_ms: float) -> bool:
        """Send a hedge to another replica with room; return whether it was sent.

        Notes
        -----
        Hedges add load, so none is sent while the service is overloaded.
        """
        if self.extra.is_overloaded(work.service, now_ms):
            return False
        server = self._choice.choose(work, now_ms, HEDGE_SPARE)
        if server is None:
            return False
        self._send_hedge(work, server, now_ms)
        return True

    def resend(self, work: WorkItem, now_ms: float) -> bool:
        """Cancel the oldest call and resend it to its server; return whether sent.

        Notes
        -----
        The cause of the delay may not affect a new call. The number of calls in
        flight does not grow, so a queue behind the slow call is a reason to resend.
        """
        oldest = work.calls[0]
        server = oldest.server
        move = work.service.move
        admitted = move is None or move.admits(server.version)
        is_paused = now_ms < server.paused_until_ms or server.is_cold
        if not admitted or is_paused or not server.is_reachable(now_ms):
            return False
        if self.extra.is_shedding(work.service, now_ms):
            return False
        self.cancel(oldest, now_ms)
        self._send_hedge(work, server, now_ms)
        return True

    def drain(self, service: ServiceTrack, now_ms: float) -> None:
        """Send the queued requests of a service while its servers have room."""
        queue = service.queue
        while len(queue):
            work = queue.peek().work
            if self._should_drop(work, now_ms):
                queue.pop()
                self._context.unserved_items.append(work)
                continue
            server = self._choice.choose(work, now_ms)
            if server is None:
                return
            queue.pop()
            _record_dequeue(service, work.urgency, now_ms)
            self.send(work, server, now_ms, work.attempt)
        service.departures = record_empty(service.departures)
        self.backlogged.pop(service.name, None)

    def drain_all(self, now_ms: float) -> None:
        """Send the queued requests of all services."""
        for service in tuple(self.backlogged.values()):
            self.drain(service, now_ms)

    def send(
        self, work: WorkItem, server: ServerTrack, now_ms: float, attempt: Attempt
    ) -> None:
        """Send one call."""
        parent = work.parent
        service = work.service
        call_id = f'{parent.name}.{parent.attempts}'
        parent.attempts += 1
        call = Call(call_id, work, server, now_ms, server.is_cold)
        self.calls[call_id] = call
        work.calls.append(call)
        work.tried = (*work.tried, server.name)
        server.in_flight += 1
        server.sent_ms = now_ms
        if service.move is not None:
            service.move = count_call(service.move, server.version)
        if attempt is Attempt.FIRST:
            self.extra.earn(service)
        self._context.counts[attempt] += 1
        self._context.commands.append(_command(call, now_ms))

    def end(self, call: Call) -> None:
        """Remove a call from those in flight and keep it for late events."""
        self.calls.pop(call.call_id, None)
        call.server.in_flight -= 1
        call.work.calls.remove(call)
        self._ended[call.call_id] = call
        if len(self._ended) > ENDED_CALLS_KEPT:
            self._ended_previous = self._ended
            self._ended = {}

    def cancel(self, call: Call, now_ms: float) -> None:
        """Cancel a call whose reply is no longer needed."""
        self.end(call)
        self._context.counts['cancels'] += 1
        self._context.commands.append(CancelAttempt(call.call_id, call.server.name))
        self._outcomes.record_unanswered(call, now_ms)

    def pop_ended(self, call_id: str) -> Call | None:
        """Remove and return an ended call, to handle a late event."""
        return self._ended.pop(call_id, None) or self._ended_previous.pop(call_id, None)

    def wait_ms(self, service: ServiceTrack, urgency: int) -> float:
        """Return the expected queueing time of a new request, in milliseconds."""
        ahead = service.queue.count_ahead(urgency)
        interval_ms = service.departures.interval_ms or service.typical_ms
        estimate = service.estimates.get(urgency, WaitEstimate())
        return estimate.wait_ms(ahead, interval_ms)

    def _should_drop(self, work: WorkItem, now_ms: float) -> bool:
        """Return whether a queued request is answered, out of time or unservable."""
        if work.is_done:
            return True
        service = work.service
        if work.deadline_ms - now_ms >= service.typical_ms:
            return not self._may_serve(work, now_ms)
        estimate = service.estimates.get(work.urgency, WaitEstimate())
        service.estimates[work.urgency] = record_expired(estimate)
        return True

    def _send_hedge(self, work: WorkItem, server: ServerTrack, now_ms: float) -> None:
        self.extra.spend(work.service)
        work.hedges += 1
        self.send(work, server, now_ms, Attempt.HEDGE)

    def _may_serve(self, work: WorkItem, now_ms: float) -> bool:
        return self._choice.may_serve(work.service, work.snapshot, now_ms, work.tried)

    def _enqueue(self, work: WorkItem, attempt: Attempt) -> None:
        service = work.service
        work.attempt = attempt
        self._order += 1
        waiting = QueuedWork(work.deadline_ms, self._order, work.urgency, work)
        evicted = service.queue.push(waiting)
        self.backlogged[service.name] = service
        if evicted is not None:
            self._context.unserved_items.append(evicted.work)


def _count_unserved(work: WorkItem) -> None:
    """Count a request that no server can take towards the version shares.

    Notes
    -----
    Without this, a new version would earn no credit once the old version has no
    servers left.
    """
    move = work.service.move
    if move is not None and not work.tried:
        work.service.move = count_call(move, '')


def _record_dequeue(service: ServiceTrack, urgency: int, now_ms: float) -> None:
    service.departures = record_departure(service.departures, now_ms)
    estimate = service.estimates.get(urgency)
    if estimate is not None:
        service.estimates[urgency] = record_served(estimate)


def _command(call: Call, now_ms: float) -> SendSearch | SendRun:
    work = call.work
    parent = work.parent
    left_ms = max(0, work.deadline_ms - now_ms)
    if not isinstance(parent, OpenQuery):
        run = RunCall(call.call_id, work.service.name, parent.event.payload, left_ms)
        return SendRun(call.call_id, call.server.name, run, work.deadline_ms)
    search = SearchCall(
        call.call_id,
        work.service.name,
        parent.event.search,
        parent.plan.snapshot,
        parent.event.text,
        parent.search.hits_max,
        left_ms,
    )
    return SendSearch(call.call_id, call.server.name, search, work.deadline_ms)
