"""One request from its arrival to its answer, without clock or socket."""

from collections.abc import Iterator
from dataclasses import replace
from typing import Protocol

from cowsliploom.forwarding._fleet import CallLimits, Fleet
from cowsliploom.forwarding._latency import RecentLatency
from cowsliploom.forwarding._messages import (
    CallAnswered,
    CallerLeft,
    CallerRequest,
    CallFailed,
    CallStep,
    Command,
    DropCall,
    ExchangeEvent,
    Gathered,
    Outcome,
    PassOn,
    Reply,
    SendCall,
    Ticked,
    TurnAway,
)
from cowsliploom.forwarding._records import merge_records
from cowsliploom.forwarding._routes import Route
from cowsliploom.forwarding._work import Attempt, Work

HALF = 0.5
HEDGE_QUANTILE = 0.9
HEDGE_RATIO = 1.25  # over the quantile, so that a usual tail is not hedged
HEDGE_MIN_MS = 5.0
HEDGE_TARGET_SHARE = 0.45  # later than this a hedge would hardly be in time
ANSWER_MARGIN_MS = 5.0  # the caller's path, and the time to write
FINAL_MARGIN_MS = 25.0  # before the caller gives up
WAIT_STEP_MS = 4.0  # between two looks for a server with room
UNOFFERED_SHARE = 0.2  # of the target; a request held longer unsent is refused
TRAIL_MS = 300.0  # a call that nobody needs may end by itself within this time
RETRY_AFTER_MS = 400.0
PATIENCE_MIN_MS = 2.0
ROUNDING = 1e-9


class Desk(Protocol):
    """What exchanges share."""

    fleet: Fleet

    def next_call_id(self) -> int:
        """Return an id that no call had."""
        ...

    def latency(self, route: Route) -> RecentLatency:
        """Return the recent latency of a route's calls."""
        ...

    def lag_ms(self) -> float:
        """Return how late this entry VM is with its work."""
        ...

    def retry_after_ms(self, usual_ms: float) -> float:
        """Return a time to come back that spreads callers."""
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
    """

    def __init__(
        self,
        desk: Desk,
        request: CallerRequest,
        route: Route,
        works: tuple[Work, ...],
    ) -> None:
        self.request = request
        self.route = route
        self.works = works
        self.reply: Reply | None = None
        self.is_left = False
        self.hedges = 0
        self.retries = 0
        self.due_ms = request.arrived_ms
        self._desk = desk
        self._calls: dict[int, Work] = {}
        arrived_ms = request.arrived_ms
        patience_ms = min(request.patience_ms, route.timeout_ms)
        margin_ms = min(FINAL_MARGIN_MS, patience_ms / 10)
        self._end_ms = arrived_ms + patience_ms
        self._limit_ms = self._end_ms - margin_ms
        target_ms = min(route.target_ms, patience_ms)
        self._answer_ms = arrived_ms + target_ms - ANSWER_MARGIN_MS
        self._offer_ms = arrived_ms + route.target_ms * UNOFFERED_SHARE

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
            case CallerLeft():
                self.is_left = True
                return list(self._drop_all())
            case Ticked():
                commands.extend(self._tick(now_ms))
        if self.reply is None and not self.is_left:
            self.reply = self._conclude(now_ms)
            if self.reply is not None:
                commands.append(self.reply)
                self._trail(now_ms)
        self.due_ms = self._next_due_ms(now_ms)
        return commands

    def start(self, now_ms: float) -> list[Command]:
        """Send the first calls."""
        for work in self.works:
            work.budget.earn(now_ms)
            work.waits_until_ms = now_ms
        return self.step(Ticked(now_ms))

    def _usual_ms(self) -> float:
        return self._desk.latency(self.route).quantile(HALF)

    # What came back.

    def _answered(self, event: CallAnswered) -> Iterator[Command]:
        work, attempt = self._close(event.call_id)
        if work is None or attempt is None:
            return
        answer = event.answer
        server = attempt.server
        server.heard_ms = event.now_ms
        if answer.load is not None:
            server.take_load(answer.load, event.now_ms)
        if answer.wrong_server:
            server.is_leaving = True
            work.did_not_run(attempt, rejected=False)
            yield from self._again(work, event.now_ms)
        elif not answer.ran:
            server.shed(event.now_ms)
            work.did_not_run(attempt, rejected=True)
            yield from self._again(work, event.now_ms)
        elif answer.is_good:
            self._take_part(work, attempt, event)
        else:
            server.failed(event.now_ms)
            work.failure = work.failure or answer
            yield from self._again(work, event.now_ms)

    def _take_part(self, work: Work, attempt: Attempt, event: CallAnswered) -> None:
        elapsed_ms = event.now_ms - attempt.sent_ms
        attempt.server.succeeded(elapsed_ms)
        self._desk.latency(self.route).add(elapsed_ms)
        if work.is_open:
            work.part = event.answer

    def _failed(self, event: CallFailed) -> Iterator[Command]:
        work, attempt = self._close(event.call_id)
        if work is None or attempt is None:
            return
        now_ms = event.now_ms
        if event.step is CallStep.CONNECT:
            attempt.server.unreachable(now_ms)
        else:
            attempt.server.failed(now_ms)
        if not event.may_have_run:
            work.did_not_run(attempt, rejected=False)
        yield from self._again(work, now_ms)

    def _close(self, call_id: int) -> tuple[Work | None, Attempt | None]:
        work = self._calls.pop(call_id, None)
        if work is None:
            return None, None
        attempt = work.open.pop(call_id)
        attempt.server.ended(call_id)
        return work, attempt

    # What to send.

    def _again(self, work: Work, now_ms: float) -> Iterator[Command]:
        """Send a work's call once more, where that is allowed."""
        if not work.is_open or self.reply is not None or self.is_left:
            return
        if not self._may_repeat(work):
            if not work.open:
                work.end('attempts used up')
            return
        if work.sends and not work.budget.may_spend(now_ms, self._desk.fleet.sharers):
            if not work.open:
                work.end('budget of extra calls used up')
            return
        yield from self._send(work, now_ms)

    def _may_repeat(self, work: Work) -> bool:
        if work.may_have_run and not self.route.repeatable:
            return False
        return work.may_send_again(self.route.attempts_max)

    def _send(self, work: Work, now_ms: float) -> Iterator[Command]:
        fleet = self._desk.fleet
        limits = CallLimits(self._usual_ms(), work.calls_max)
        server = fleet.choose(work.service, work.tried, now_ms, limits)
        if server is None:
            if not work.open:
                self._wait(work, now_ms)
            return
        call_id = self._desk.next_call_id()
        is_hedge = bool(work.open)
        if work.sends:
            work.budget.spend(now_ms)
            self.hedges += is_hedge
            self.retries += not is_hedge
        work.sent(call_id, Attempt(server, now_ms, is_hedge))
        server.sent(call_id, now_ms)
        self._calls[call_id] = work
        yield SendCall(call_id, server, max(PATIENCE_MIN_MS, self._end_ms - now_ms))

    def _wait(self, work: Work, now_ms: float) -> None:
        """Wait for room at a server, or give up where there is no server."""
        if self._desk.fleet.has_usable(work.service, work.tried):
            work.waits_until_ms = now_ms + WAIT_STEP_MS
        else:
            work.end('no server')

    def _tick(self, now_ms: float) -> Iterator[Command]:
        if self.reply is not None:
            if now_ms >= self.due_ms:
                yield from self._give_up_calls(now_ms)
            return
        hedge_ms = self._hedge_delay_ms()
        for work in self.works:
            if not work.is_open:
                continue
            waits_ms = work.waits_until_ms
            if waits_ms is not None and now_ms >= waits_ms:
                work.waits_until_ms = None
                yield from self._again(work, now_ms)
            elif self._hedge_due(work, hedge_ms, now_ms):
                yield from self._again(work, now_ms)

    def _hedge_due(self, work: Work, hedge_ms: float, now_ms: float) -> bool:
        if len(work.open) != 1 or not self.route.repeatable:
            return False
        (attempt,) = work.open.values()
        return now_ms - attempt.sent_ms >= hedge_ms

    def _hedge_delay_ms(self) -> float:
        usual_ms = self._desk.latency(self.route).quantile(HEDGE_QUANTILE)
        latest_ms = self.route.target_ms * HEDGE_TARGET_SHARE
        return max(HEDGE_MIN_MS, min(usual_ms * HEDGE_RATIO, latest_ms))

    # When to answer.

    def _conclude(self, now_ms: float) -> Reply | None:
        if self.route.gather is not None:
            return self._conclude_gather(now_ms)
        (work,) = self.works
        if work.part is not None:
            return PassOn(work.part)
        if work.ended_by:
            if work.failure is not None:
                return PassOn(work.failure)
            return self._turn_away(work.ended_by)
        if now_ms >= self._limit_ms:
            return self._time_out()
        if not work.open and not work.runs and now_ms >= self._offer_ms:
            return self._turn_away('no room at any server')
        return None

    def _conclude_gather(self, now_ms: float) -> Reply | None:
        gather = self.route.gather
        if gather is None:
            return None
        total = len(self.works)
        parts = sum(work.part is not None for work in self.works)
        open_works = sum(work.is_open for work in self.works)
        wanted = gather.coverage_min * total - ROUNDING
        enough = parts > 0 and parts >= wanted
        if enough and (not open_works or now_ms >= self._answer_ms):
            return self._gathered(gather.records_max)
        if parts + open_works < max(1, wanted):
            return self._turn_away('too many shards without a server')
        if now_ms >= self._limit_ms:
            return self._time_out()
        return None

    def _gathered(self, records_max: int) -> Gathered:
        parts = [work.part for work in self.works if work.part is not None]
        return Gathered(
            tuple(part.signature for part in parts),
            len(self.works) - len(parts),
            merge_records((part.body for part in parts), records_max),
        )

    def _turn_away(self, reason: str) -> TurnAway:
        if any(work.may_have_run for work in self.works):
            return TurnAway(Outcome.FAILED, reason)
        return TurnAway(
            Outcome.REFUSED, reason, self._desk.retry_after_ms(RETRY_AFTER_MS)
        )

    def _time_out(self) -> TurnAway:
        if any(work.may_have_run for work in self.works):
            return TurnAway(Outcome.TIMED_OUT, 'no answer in time')
        return self._turn_away('no room in time')

    # When to look again, and what to leave behind.

    def _trail(self, now_ms: float) -> None:
        for work in self.works:
            work.waits_until_ms = None
        self.due_ms = min(self._end_ms, now_ms + TRAIL_MS)

    def _drop_all(self) -> Iterator[Command]:
        for call_id in list(self._calls):
            self._close(call_id)
            yield DropCall(call_id)

    def _give_up_calls(self, now_ms: float) -> Iterator[Command]:
        """Drop calls that nobody has waited for, and learn from their silence."""
        for work in self.works:
            for attempt in work.open.values():
                if attempt.server.is_silent(now_ms):
                    attempt.server.unreachable(now_ms)
        yield from self._drop_all()

    def _next_due_ms(self, now_ms: float) -> float:
        if self.reply is not None:
            return self.due_ms
        due_ms = self._limit_ms
        if now_ms < self._answer_ms:
            due_ms = min(due_ms, self._answer_ms)
        if self.route.gather is None and now_ms < self._offer_ms:
            due_ms = min(due_ms, self._offer_ms)
        hedge_ms = self._hedge_delay_ms()
        for work in self.works:
            if not work.is_open:
                continue
            if work.waits_until_ms is not None:
                due_ms = min(due_ms, work.waits_until_ms)
            elif len(work.open) == 1 and self.route.repeatable:
                (attempt,) = work.open.values()
                look_ms = attempt.sent_ms + hedge_ms
                if look_ms <= now_ms:
                    look_ms = now_ms + WAIT_STEP_MS * 2
                due_ms = min(due_ms, look_ms)
        return max(due_ms, now_ms + 0.5)


def with_patience(request: CallerRequest, patience_ms: float) -> CallerRequest:
    """Return the request with another patience."""
    return replace(request, patience_ms=patience_ms)
