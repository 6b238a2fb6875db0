"""One request from its arrival to its answer, without clock or socket."""

from collections.abc import Iterator
from typing import Protocol

from cowsliploom.forwarding._call_memory import CallMemory
from cowsliploom.forwarding._fleet import CallLimits, Fleet
from cowsliploom.forwarding._latency import RecentLatency
from cowsliploom.forwarding._messages import (
    SendToRelay,
    CallAnswered,
    CallerLeft,
    CallerRequest,
    CallFailed,
    CallStep,
    Command,
    CancelCall,
    ExchangeEvent,
    RelayCallFailed,
    RelayAnswered,
    RelayCallsSent,
    RelayedCall,
    Reply,
    SendCall,
    Stopping,
    Ticked,
)
from cowsliploom.forwarding._pace import Pace
from cowsliploom.forwarding._relay_plan import RelayShare
from cowsliploom.forwarding._routes import Route
from cowsliploom.forwarding._servers import Server
from cowsliploom.forwarding._verdict import Timeline, Verdict, timeline
from cowsliploom.forwarding._work import Attempt, SubRequest

WAIT_STEP_MS = 4.0  # between two looks for a server with room
TRAIL_MS = 300.0  # a call that nobody needs may end by itself within this time
PATIENCE_MIN_MS = 2.0
RELAY_LEAD_MS = 6.0  # a relay reports this long before what is missing is hedged
REPORT_MIN_MS = 2.0


class Desk(Protocol):
    """What exchanges share."""

    fleet: Fleet
    calls: CallMemory

    @property
    def lateness_ms(self) -> float:
        """Return how late this process usually comes to what is due."""
        ...

    def next_call_id(self) -> int:
        """Return an id that no call had."""
        ...

    def latency(self, route: Route) -> RecentLatency:
        """Return the recent latency of a route's calls."""
        ...

    def relay(self, share: RelayShare, now_ms: float) -> Server:
        """Return the relay of a share, tracked like a server."""
        ...

    def retry_after_ms(self, usual_ms: float) -> float:
        """Return a time to come back that spreads callers."""
        ...


class Concluder(Protocol):
    """Judge whether a request is answered now."""

    def conclude(self, now_ms: float) -> Reply | None:
        """Return the reply if there is one by now."""
        ...


class Exchange:
    """Play one request: send, hedge, retry, and answer in time.

    Parameters
    ----------
    desk : Desk
        What exchanges share.
    request : CallerRequest
        The request.
    route : Route
        Its route, of the version that was in force when it came.
    works : tuple of Work
        One for each service that is asked.
    shares : tuple of RelayShare
        Shards that relays ask. Default none.
    verdict : Concluder or None
        Judge; by default the one that answers callers.
    """

    def __init__(
        self,
        desk: Desk,
        request: CallerRequest,
        route: Route,
        works: tuple[SubRequest, ...],
        shares: tuple[RelayShare, ...] = (),
        verdict: Concluder | None = None,
    ) -> None:
        self.request = request
        self.route = route
        self.sub_requests = works
        self.reply: Reply | None = None
        self.is_left = False
        self.hedges = 0
        self.retries = 0
        self.due_ms = request.arrived_ms
        self._desk = desk
        self._calls: dict[int, SubRequest] = {}
        self._times = timeline(request, route, desk.lateness_ms)
        self._latency = desk.latency(route)
        self._pace = Pace(route, self._times, self._latency)
        self._shares = shares
        self._verdict = verdict or Verdict(
            route, works, self._times, desk.retry_after_ms
        )

    @property
    def is_over(self) -> bool:
        """Tell whether nothing more is to be done."""
        return (self.is_left or self.reply is not None) and not self._calls

    def step(self, event: ExchangeEvent) -> list[Command]:
        """Take one event and return what is to be done, in order."""
        now_ms = event.now_ms
        commands: list[Command] = []
        match event:
            case CallAnswered():
                commands.extend(self._answered(event))
            case CallFailed():
                commands.extend(self._failed(event))
            case RelayAnswered():
                self._take_relayed(event)
            case RelayCallFailed():
                commands.extend(self._missed(event))
            case RelayCallsSent():
                self._note_asked(event)
            case CallerLeft():
                self.is_left = True
                return list(self._drop_all())
            case Stopping():
                return [*self._settle(self._times.limit_ms), *self._drop_all()]
            case Ticked() if self.reply is not None:
                commands.extend(self._give_up_calls(now_ms))
            case Ticked():
                commands.extend(self._settle(now_ms))
                commands.extend(self._send_due(now_ms))
        commands.extend(self._settle(now_ms))
        if self.reply is None and not _is_part(event):
            self.due_ms = self._pace.next_ms(self.sub_requests, now_ms)
        return commands

    def start(self, now_ms: float) -> list[Command]:
        """Send the first calls."""
        commands: list[Command] = [
            self._ask_relay(share, now_ms) for share in self._shares
        ]
        for work in self.sub_requests:
            if not work.open:
                work.waits_until_ms = now_ms
        return commands + self.step(Ticked(now_ms))

    # What came back.

    def _answered(self, event: CallAnswered) -> Iterator[Command]:
        work, attempt = self._close(event.call_id)
        if work is None or attempt is None:
            return
        answer = event.answer
        server = attempt.server
        server.last_received_ms = event.now_ms
        if answer.load is not None:
            server.take_load(answer.load, event.now_ms)
        if answer.is_good:
            self._take_part(work, attempt, event)
            return
        if answer.ran:
            reason = f'status {answer.status}'
            server.failed(event.now_ms, reason)
            work.note_failure(attempt, event.now_ms, reason)
            self._desk.calls.add(attempt, self.route.name, event.now_ms, ok=False)
            work.failure = work.failure or answer
        else:
            server.is_leaving = server.is_leaving or answer.wrong_server
            server.shed(event.now_ms)
            work.did_not_run(attempt, rejected=True)
        yield from self._again(work, event.now_ms)

    def _take_part(
        self, work: SubRequest, attempt: Attempt, event: CallAnswered
    ) -> None:
        elapsed_ms = event.now_ms - attempt.sent_ms
        attempt.server.succeeded(elapsed_ms)
        self._latency.add(elapsed_ms)
        self._desk.calls.add(attempt, self.route.name, event.now_ms, ok=True)
        work.take_part(event.answer)

    def _failed(self, event: CallFailed) -> Iterator[Command]:
        work, attempt = self._close(event.call_id)
        if work is None or attempt is None:
            return
        now_ms = event.now_ms
        reason = f'{event.step.value}: {event.reason}'
        work.note_failure(attempt, now_ms, reason)
        if event.step is CallStep.CONNECT:
            attempt.server.unreachable(now_ms, reason)
        else:
            attempt.server.failed(now_ms, reason)
            self._desk.calls.add(
                attempt, self.route.name, now_ms, ok=False, heard=False
            )
        if not event.may_have_run:
            work.did_not_run(attempt, rejected=False)
        yield from self._again(work, now_ms)

    def _take_relayed(self, event: RelayAnswered) -> None:
        for call_id, answer in event.answers:
            work, attempt = self._close(call_id)
            if work is None or attempt is None:
                continue
            elapsed_ms = event.now_ms - attempt.sent_ms
            attempt.server.last_received_ms = event.now_ms
            attempt.server.succeeded(elapsed_ms)
            self._latency.add(elapsed_ms)
            work.put_part(answer)

    def _missed(self, event: RelayCallFailed) -> Iterator[Command]:
        work, attempt = self._close(event.call_id)
        if work is None or attempt is None:
            return
        attempt.server.last_received_ms = event.now_ms
        if not event.may_have_run:
            # The relay's call may have arrived and been turned away, so that the next
            # one is extra.
            work.did_not_run(attempt, rejected=True)
        yield from self._again(work, event.now_ms)

    def _note_asked(self, event: RelayCallsSent) -> None:
        for call_id, server in event.servers:
            work = self._calls.get(call_id)
            if work is None or not server:
                continue
            work.tried.add(server)
            work.open[call_id].server.last_received_ms = event.now_ms

    def _close(self, call_id: int) -> tuple[SubRequest | None, Attempt | None]:
        work = self._calls.pop(call_id, None)
        if work is None:
            return None, None
        attempt = work.open.pop(call_id)
        attempt.server.ended(call_id)
        return work, attempt

    # What to send.

    def _ask_relay(self, share: RelayShare, now_ms: float) -> Command:
        relay = self._desk.relay(share, now_ms)
        calls = []
        for work in self.sub_requests:
            if work.service in share.shards:
                call_id = self._desk.next_call_id()
                work.sent(call_id, Attempt(relay, now_ms))
                self._calls[call_id] = work
                calls.append(RelayedCall(call_id, work.service))
        gather = self.route.fan_out
        report_ms = self._pace.hedge_delay_ms() - RELAY_LEAD_MS
        return SendToRelay(
            relay,
            tuple(calls),
            self.route.name,
            gather.records_max if gather else 0,
            _patience_ms(self._times, now_ms),
            max(REPORT_MIN_MS, report_ms),
        )

    def _again(self, work: SubRequest, now_ms: float) -> Iterator[Command]:
        """Send a work's call once more, where that is allowed."""
        if not work.is_open or self.reply is not None or self.is_left:
            return
        obstacle = self._obstacle(work)
        if obstacle:
            work.end_unless_open(obstacle)
        else:
            yield from self._send(work, now_ms)

    def _obstacle(self, work: SubRequest) -> str:
        """Return what forbids one more call, if anything."""
        runs_once = work.may_have_run and not self.route.repeatable
        if runs_once or not work.may_send_again(self.route.attempts_max):
            return 'attempts used up'
        if work.sends and not work.budget.may_spend:
            work.deny()
            return 'budget of extra calls used up'
        return ''

    def _send(self, work: SubRequest, now_ms: float) -> Iterator[Command]:
        fleet = self._desk.fleet
        limits = CallLimits(self._pace.usual_ms(), work.calls_max)
        request_id = self.request.request_id
        server = fleet.choose(work.service, work.tried, now_ms, limits, request_id)
        if server is None:
            if not work.open:
                self._wait(work, now_ms)
            return
        is_hedge = bool(work.open)
        if work.sends:
            work.budget.spend()
            self.hedges += is_hedge
            self.retries += not is_hedge
        call_id = self._desk.next_call_id()
        work.sent(call_id, Attempt(server, now_ms))
        self._calls[call_id] = work
        yield SendCall(call_id, server, _patience_ms(self._times, now_ms))

    def _wait(self, work: SubRequest, now_ms: float) -> None:
        """Wait for room at a server, or give up where there is no server."""
        request_id = self.request.request_id
        if self._desk.fleet.has_usable(work.service, work.tried, request_id):
            work.waits_until_ms = now_ms + WAIT_STEP_MS
        else:
            work.end('no server')

    def _send_due(self, now_ms: float) -> Iterator[Command]:
        """Send what waited for room or is to be hedged, unless the answer is out."""
        if self.reply is not None:
            return
        for work in self.sub_requests:
            if work.is_open and self._pace.is_due(work, now_ms):
                work.waits_until_ms = None
                yield from self._again(work, now_ms)

    # When to look again, and what to leave behind.

    def _settle(self, now_ms: float) -> Iterator[Command]:
        """Answer if it is time, and leave open calls a while to end by themselves."""
        if self.reply is not None or self.is_left:
            return
        self.reply = self._verdict.conclude(now_ms)
        if self.reply is not None:
            self.due_ms = min(self._times.end_ms, now_ms + TRAIL_MS)
            yield self.reply

    def _drop_all(self) -> Iterator[Command]:
        for call_id in list(self._calls):
            self._close(call_id)
            yield CancelCall(call_id)

    def _give_up_calls(self, now_ms: float) -> Iterator[Command]:
        """Drop calls that nobody has waited for, and learn from their silence."""
        if now_ms < self.due_ms:
            return
        for work in self.sub_requests:
            for attempt in work.open.values():
                is_silent = attempt.server.is_silent(now_ms)
                self._desk.calls.add(
                    attempt, self.route.name, now_ms, ok=True, heard=not is_silent
                )
                if is_silent:
                    attempt.server.unreachable(now_ms, 'silent')
        yield from self._drop_all()


def _patience_ms(times: Timeline, now_ms: float) -> float:
    """Return how long a call that is sent now may take."""
    return max(PATIENCE_MIN_MS, times.end_ms - now_ms)


def _is_part(event: ExchangeEvent) -> bool:
    """Tell whether an event is a good answer, which makes nothing due sooner."""
    if isinstance(event, RelayAnswered | RelayCallsSent):
        return True
    return isinstance(event, CallAnswered) and event.answer.is_good
