"""State machine of one request, from arrival to reply; sans-IO."""

from collections.abc import Iterator

from cowsliploom.forwarding._exchange_context import ExchangeContext, ReplyPolicy
from cowsliploom.forwarding._messages import (
    CallAnswered,
    CallerLeft,
    CallerRequest,
    CallFailed,
    CallStep,
    CancelCall,
    Command,
    ExchangeEvent,
    RelayAnswered,
    RelayCall,
    RelayCallFailed,
    RelayCallsSent,
    Reply,
    SendCall,
    SendToRelay,
    Stopping,
    Ticked,
)
from cowsliploom.forwarding._relay_plan import RelayShare
from cowsliploom.forwarding._reply_policy import (
    CallerReplyPolicy,
    Deadlines,
    deadlines_of,
)
from cowsliploom.forwarding._routes import Route
from cowsliploom.forwarding._schedule import CallSchedule, ReportTiming
from cowsliploom.forwarding._server_choice import CallLimits
from cowsliploom.forwarding._sub_request import Attempt, SubRequest
from cowsliploom.forwarding._workspaces import NO_WORKSPACE, Workspace

CAPACITY_POLL_MS = 4.0  # interval at which a server with capacity is looked for
LINGER_MS = 300.0  # open calls may complete for this long after the reply
CALL_TIMEOUT_MIN_MS = 2.0


class Exchange:
    """Send, hedge, retry and answer one request within its deadlines.

    Parameters
    ----------
    context : ExchangeContext
        State that all exchanges share.
    request : CallerRequest
        The request.
    route : Route
        Its route, from the configuration in force when it arrived.
    sub_requests : tuple of SubRequest
        One for each service that is called.
    shares : tuple of RelayShare
        Shards that are called through relays. Default none.
    reply_policy : ReplyPolicy or None
        Decides on the reply; by default ``CallerReplyPolicy``.
    workspace : Workspace
        Workspace of the caller. Default none.
    """

    def __init__(
        self,
        context: ExchangeContext,
        request: CallerRequest,
        route: Route,
        sub_requests: tuple[SubRequest, ...],
        shares: tuple[RelayShare, ...] = (),
        reply_policy: ReplyPolicy | None = None,
        workspace: Workspace = NO_WORKSPACE,
    ) -> None:
        self.request = request
        self.workspace = workspace
        self.route = route
        self.sub_requests = sub_requests
        self.reply: Reply | None = None
        self.is_caller_gone = False
        self.hedges = 0
        self.retries = 0
        self.due_ms = request.arrived_ms
        self._context = context
        self._calls: dict[int, SubRequest] = {}
        self._deadlines = deadlines_of(request, route, context.loop_lag_ms)
        self._latency = context.latency(route)
        self._schedule = CallSchedule(route, self._deadlines, self._latency)
        self._relay_shares = shares
        self._report_timing = ReportTiming(
            self._schedule.hedge_delay_ms(), context.report_lag_ms
        )
        self._reply_policy = reply_policy or CallerReplyPolicy(
            route, sub_requests, self._deadlines, context.retry_after_ms
        )

    @property
    def is_over(self) -> bool:
        """Whether the exchange is finished and has no open call."""
        return (self.is_caller_gone or self.reply is not None) and not self._calls

    def step(self, event: ExchangeEvent) -> list[Command]:
        """Handle one event and return the resulting commands, in order."""
        now_ms = event.now_ms
        commands: list[Command] = []
        match event:
            case CallAnswered():
                commands.extend(self._on_answer(event))
            case CallFailed():
                commands.extend(self._on_failure(event))
            case RelayAnswered():
                self._on_relay_answer(event)
            case RelayCallFailed():
                commands.extend(self._on_relay_failure(event))
            case RelayCallsSent():
                self._on_relay_calls_sent(event)
            case CallerLeft():
                self.is_caller_gone = True
                return list(self._cancel_calls())
            case Stopping():
                return [
                    *self._reply_if_due(self._deadlines.limit_ms),
                    *self._cancel_calls(),
                ]
            case Ticked() if self.reply is not None:
                commands.extend(self._cancel_lingering_calls(now_ms))
            case Ticked():
                commands.extend(self._reply_if_due(now_ms))
                commands.extend(self._send_due(now_ms))
        commands.extend(self._reply_if_due(now_ms))
        if self.reply is None and not _keeps_due_time(event):
            self.due_ms = self._schedule.next_ms(self.sub_requests, now_ms)
        return commands

    def start(self, now_ms: float) -> list[Command]:
        """Send the first calls."""
        commands: list[Command] = [
            self._send_to_relay(share, now_ms) for share in self._relay_shares
        ]
        for sub_request in self.sub_requests:
            if not sub_request.open_attempts:
                sub_request.next_send_ms = now_ms
        return commands + self.step(Ticked(now_ms))

    # Handling of answers and failures.

    def _on_answer(self, event: CallAnswered) -> Iterator[Command]:
        sub_request, attempt = self._close_call(event.call_id)
        if sub_request is None or attempt is None:
            return
        answer = event.answer
        server = attempt.server
        server.last_received_ms = event.now_ms
        if answer.load is not None:
            server.update_load(answer.load, event.now_ms)
        if answer.is_good:
            self._on_good_answer(sub_request, attempt, event)
            return
        if answer.ran:
            reason = f'status {answer.status}'
            server.record_failure(event.now_ms, reason)
            sub_request.record_failure(attempt, event.now_ms, reason)
            self._context.calls.add(attempt, self.route.name, event.now_ms, ok=False)
            sub_request.failure = sub_request.failure or answer
        else:
            server.is_replaced = server.is_replaced or answer.wrong_server
            server.record_shed(event.now_ms)
            reason = f'rejected with status {answer.status}'
            sub_request.record_failure(attempt, event.now_ms, reason)
            sub_request.discount_attempt(attempt, rejected=True)
        yield from self._resend(sub_request, event.now_ms)

    def _on_good_answer(
        self, sub_request: SubRequest, attempt: Attempt, event: CallAnswered
    ) -> None:
        elapsed_ms = event.now_ms - attempt.sent_ms
        attempt.server.record_success(elapsed_ms)
        self._latency.add(elapsed_ms)
        self._context.calls.add(attempt, self.route.name, event.now_ms, ok=True)
        sub_request.accept_part(event.answer)

    def _on_failure(self, event: CallFailed) -> Iterator[Command]:
        sub_request, attempt = self._close_call(event.call_id)
        if sub_request is None or attempt is None:
            return
        now_ms = event.now_ms
        reason = f'{event.step.value}: {event.reason}'
        sub_request.record_failure(attempt, now_ms, reason)
        match event.step:
            case CallStep.LOCAL:
                # Tells nothing about the server; another call would lack room too.
                sub_request.discount_attempt(attempt, rejected=False)
                sub_request.end_unless_open(event.reason)
                return
            case CallStep.CONNECT:
                attempt.server.record_unreachable(now_ms, reason)
            case _:
                attempt.server.record_failure(now_ms, reason)
                self._context.calls.add(
                    attempt, self.route.name, now_ms, ok=False, answered=False
                )
        if not event.may_have_run:
            sub_request.discount_attempt(attempt, rejected=False)
        yield from self._resend(sub_request, now_ms)

    def _on_relay_answer(self, event: RelayAnswered) -> None:
        for call_id, answer in event.answers:
            sub_request, attempt = self._close_call(call_id)
            if sub_request is None or attempt is None:
                continue
            elapsed_ms = event.now_ms - attempt.sent_ms
            lag_ms = self._report_timing.lag_ms(attempt.server.name, elapsed_ms)
            if lag_ms is not None:
                self._context.record_report_lag(lag_ms)
            attempt.server.last_received_ms = event.now_ms
            attempt.server.record_success(elapsed_ms)
            self._latency.add(elapsed_ms)
            sub_request.accept_merged_part(answer)

    def _on_relay_failure(self, event: RelayCallFailed) -> Iterator[Command]:
        sub_request, attempt = self._close_call(event.call_id)
        if sub_request is None or attempt is None:
            return
        attempt.server.last_received_ms = event.now_ms
        if not event.may_have_run:
            # The relay's call may have reached a server that rejected it, so the next
            # call counts as extra.
            sub_request.discount_attempt(attempt, rejected=True)
        yield from self._resend(sub_request, event.now_ms)

    def _on_relay_calls_sent(self, event: RelayCallsSent) -> None:
        for call_id, server in event.servers:
            sub_request = self._calls.get(call_id)
            if sub_request is None or not server:
                continue
            sub_request.tried.add(server)
            sub_request.open_attempts[call_id].server.last_received_ms = event.now_ms

    def _close_call(self, call_id: int) -> tuple[SubRequest | None, Attempt | None]:
        sub_request = self._calls.pop(call_id, None)
        if sub_request is None:
            return None, None
        attempt = sub_request.open_attempts.pop(call_id)
        attempt.server.remove_call(call_id)
        return sub_request, attempt

    # Sending.

    def _send_to_relay(self, share: RelayShare, now_ms: float) -> Command:
        relay = self._context.relay(share, now_ms)
        calls = []
        for sub_request in self.sub_requests:
            if sub_request.service in share.shards:
                call_id = self._context.next_call_id()
                sub_request.add_attempt(call_id, Attempt(relay, now_ms))
                self._calls[call_id] = sub_request
                calls.append(RelayCall(call_id, sub_request.service))
        fan_out = self.route.fan_out
        return SendToRelay(
            relay,
            tuple(calls),
            self.route.name,
            fan_out.records_max if fan_out else 0,
            _call_timeout_ms(self._deadlines, now_ms),
            self._report_timing.after_ms,
        )

    def _resend(self, sub_request: SubRequest, now_ms: float) -> Iterator[Command]:
        """Send a sub-request once more if limits and budget allow it."""
        if not sub_request.is_open or self.reply is not None or self.is_caller_gone:
            return
        obstacle = self._resend_obstacle(sub_request)
        if obstacle:
            sub_request.end_unless_open(obstacle)
        else:
            yield from self._send(sub_request, now_ms)

    def _resend_obstacle(self, sub_request: SubRequest) -> str:
        """Return why no further call may be sent, or an empty string."""
        runs_once = sub_request.may_have_run and not self.route.repeatable
        if runs_once or not sub_request.may_send_again(self.route.attempts_max):
            return 'attempts used up'
        if sub_request.sends and not sub_request.budget.may_spend:
            sub_request.deny()
            return 'budget of extra calls used up'
        return ''

    def _send(self, sub_request: SubRequest, now_ms: float) -> Iterator[Command]:
        fleet = self._context.fleet
        limits = CallLimits(
            self._schedule.median_ms(),
            sub_request.calls_max,
            self.route.target_ms,
            sub_request.sharers,
        )
        request_id = self.request.request_id
        server = fleet.choose(
            sub_request.service, sub_request.tried, now_ms, limits, request_id
        )
        if server is None:
            if not sub_request.open_attempts:
                self._wait_for_capacity(sub_request, now_ms)
            return
        is_hedge = bool(sub_request.open_attempts)
        if sub_request.sends:
            sub_request.budget.spend()
            self.hedges += is_hedge
            self.retries += not is_hedge
        call_id = self._context.next_call_id()
        sub_request.add_attempt(call_id, Attempt(server, now_ms))
        self._calls[call_id] = sub_request
        yield SendCall(call_id, server, _call_timeout_ms(self._deadlines, now_ms))

    def _wait_for_capacity(self, sub_request: SubRequest, now_ms: float) -> None:
        """Wait for a server with capacity, or end if no server is usable."""
        request_id = self.request.request_id
        fleet = self._context.fleet
        service, tried = sub_request.service, sub_request.tried
        if fleet.has_usable(service, tried, now_ms, request_id):
            sub_request.next_send_ms = now_ms + CAPACITY_POLL_MS
        else:
            no_server = fleet.why_no_server(service, tried, now_ms)
            sub_request.end(no_server.reason, no_server.retry_after_ms)

    def _send_due(self, now_ms: float) -> Iterator[Command]:
        """Send each sub-request that waited for capacity or is due for a hedge."""
        if self.reply is not None:
            return
        for sub_request in self.sub_requests:
            if sub_request.is_open and self._schedule.is_due(sub_request, now_ms):
                sub_request.next_send_ms = None
                yield from self._resend(sub_request, now_ms)

    # Reply and cancellation.

    def _reply_if_due(self, now_ms: float) -> Iterator[Command]:
        """Reply if the policy decides so; open calls may complete for a while."""
        if self.reply is not None or self.is_caller_gone:
            return
        self.reply = self._reply_policy.decide(now_ms)
        if self.reply is not None:
            self.due_ms = min(self._deadlines.end_ms, now_ms + LINGER_MS)
            yield self.reply

    def _cancel_calls(self) -> Iterator[Command]:
        for call_id in list(self._calls):
            self._close_call(call_id)
            yield CancelCall(call_id)

    def _cancel_lingering_calls(self, now_ms: float) -> Iterator[Command]:
        """Cancel calls that are still open, and record servers that stay silent."""
        if now_ms < self.due_ms:
            return
        for sub_request in self.sub_requests:
            for attempt in sub_request.open_attempts.values():
                is_silent = attempt.server.is_silent(now_ms)
                self._context.calls.add(
                    attempt, self.route.name, now_ms, ok=True, answered=not is_silent
                )
                if is_silent:
                    attempt.server.record_unreachable(now_ms, 'silent')
        yield from self._cancel_calls()


def _call_timeout_ms(deadlines: Deadlines, now_ms: float) -> float:
    """Return the timeout of a call that is sent now."""
    return max(CALL_TIMEOUT_MIN_MS, deadlines.end_ms - now_ms)


def _keeps_due_time(event: ExchangeEvent) -> bool:
    """Return whether an event makes no sub-request due earlier than before."""
    if isinstance(event, RelayAnswered | RelayCallsSent):
        return True
    return isinstance(event, CallAnswered) and event.answer.is_good
