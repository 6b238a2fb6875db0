"""Effects of finished calls on the state of servers and services."""

from cowsliploom.protocol import CallRefusal, RefusalReason, ServerState
from cowsliploom.routing._context import Context
from cowsliploom.routing._fleet import Fleet
from cowsliploom.routing._latency import add_sample
from cowsliploom.routing._limiter import (
    LIMIT_MIN,
    SLOW_DECREASE_RATIO,
    Limiter,
    lower_limit,
    raise_limit,
)
from cowsliploom.routing._messages import CallFailed, FailureStep
from cowsliploom.routing._tracks import Block, Call, ServerTrack
from cowsliploom.routing._view import (
    clear_slow_calls,
    is_very_slow,
    observe_failure,
    observe_success,
)
from cowsliploom.routing._warmup import (
    Cold,
    ColdCause,
    apply_setback,
    apply_success,
)

BACKOFF_MIN_MS = 100.0  # a refused connection is cheap, so retry soon
BACKOFF_MAX_MS = 2000.0  # a recovered server must be found within seconds
WRONG_SERVICE_MS = 5000.0  # a reassigned address needs a new configuration
COMPARED_MS = 2000.0  # servers with updates within this time are compared
SUSPECT_RATIO = 0.25  # a higher ratio of slow servers has a common cause
SHED_WEIGHT = 0.05  # the shed ratio averages over about 20 calls
TIMEOUT_RATIO = 3  # a timeout counts only after this many median latencies


class Outcomes:
    """Apply the outcomes of calls to servers and services.

    Parameters
    ----------
    context : Context
        Shared settings, counters and commands.
    fleet : Fleet
        Servers and services.
    """

    def __init__(self, context: Context, fleet: Fleet) -> None:
        self._context = context
        self._fleet = fleet

    def record_success(
        self,
        call: Call,
        incarnation: str,
        version: str,
        state: ServerState,
        now_ms: float,
    ) -> None:
        """Record a successful call."""
        server = call.server
        service = call.work.service
        elapsed_ms = now_ms - call.sent_ms
        service.window = add_sample(service.window, elapsed_ms)
        server.view = observe_success(server.view, elapsed_ms, now_ms)
        if service.shed_ratio:
            service.shed_ratio *= 1 - SHED_WEIGHT
        if server.failures:
            server.failures = 0
            self._fleet.generation += 1
        is_identity_changed = (
            incarnation != server.incarnation or version != server.version
        )
        if is_identity_changed or state is not ServerState.LIVE or server.is_cold:
            self._fleet.apply_reported_state(
                server, incarnation, version, state, now_ms
            )
        if server.refused_connections:
            self._fleet.record_contact(server, now_ms)
        self._context.record_sample(call, now_ms, succeeded=True)
        if server.is_cold:
            self._warm_up(server, state, elapsed_ms)
        elif server.view.is_slow:
            self._handle_slowness(call, now_ms)
        else:
            server.limiter = raise_limit(server.limiter, server.share, server.ceiling)

    def record_error(self, call: Call, now_ms: float) -> None:
        """Record an error caused by the server."""
        server = call.server
        server.view = observe_failure(server.view, now_ms)
        server.limiter = lower_limit(server.limiter, call.sent_ms, now_ms)
        server.warmth = apply_setback(server.warmth, now_ms)
        self._context.record_sample(call, now_ms, succeeded=False)

    def record_call_failure(self, call: Call, event: CallFailed) -> None:
        """Record a call that got no readable reply."""
        now_ms = event.now_ms
        if event.timed_out and event.step is not FailureStep.CONNECT:
            self.record_timeout(call, now_ms)
            return
        server = call.server
        self.record_error(call, now_ms)
        if event.step is FailureStep.DECODE:
            return
        server.refused_connections += not event.timed_out
        self._back_off(server, now_ms)

    def record_timeout(self, call: Call, now_ms: float) -> None:
        """Record a call that timed out after its request was sent.

        Notes
        -----
        The first timeout is attributed to the connections, which are retired so
        that a new one is tried. Only a timeout of a call sent after that counts
        against the server. A timeout after too short a time is ignored.
        """
        server = call.server
        service = call.work.service
        elapsed_ms = now_ms - call.sent_ms
        if elapsed_ms < TIMEOUT_RATIO * service.typical_ms:
            return
        self.record_unanswered(call, now_ms)
        is_fresh = call.sent_ms >= server.retired_ms
        was_retired = server.retired_ms > 0
        self._context.retire_connections(server, now_ms)
        if was_retired and is_fresh:
            server.view = observe_failure(server.view, now_ms)
            server.limiter = lower_limit(server.limiter, call.sent_ms, now_ms)
            server.warmth = apply_setback(server.warmth, now_ms)
            self._back_off(server, now_ms)

    def record_unanswered(self, call: Call, now_ms: float) -> None:
        """Record the time of an abandoned call as a lower bound of its latency."""
        service = call.work.service
        elapsed_ms = now_ms - call.sent_ms
        if elapsed_ms <= service.typical_ms:
            return
        service.window = add_sample(service.window, elapsed_ms)
        call.server.view = observe_success(call.server.view, elapsed_ms, now_ms)
        self._context.record_sample(call, now_ms, succeeded=True)
        if not call.server.is_cold and call.server.view.is_slow:
            self._handle_slowness(call, now_ms)

    def record_shed(self, call: Call, now_ms: float) -> None:
        """Record a call that the server shed, and lower its limit."""
        server = call.server
        self._context.count('sheds')
        service = call.work.service
        service.shed_ms = now_ms
        service.shed_ratio += (1 - service.shed_ratio) * SHED_WEIGHT
        jitter = 0.5 + self._context.generator.random()
        server.paused_until_ms = now_ms + service.typical_ms * jitter
        if server.limiter.limit <= LIMIT_MIN:
            self._context.record_sample(call, now_ms, succeeded=False)
        server.limiter = lower_limit(server.limiter, call.sent_ms, now_ms)
        server.warmth = apply_setback(server.warmth, now_ms)

    def record_server_refusal(
        self, call: Call, reason: RefusalReason, now_ms: float
    ) -> None:
        """Record a refusal that rules out the server but not the request."""
        server = call.server
        match reason:
            case RefusalReason.COLD if server.is_cold:
                server.warmth = apply_setback(server.warmth, now_ms)
            case RefusalReason.COLD:
                self._fleet.mark_cold(server, ColdCause.REPORTED, now_ms)
            case RefusalReason.LEAVING:
                server.blocks.add(Block.LEAVING)
                self._fleet.generation += 1
            case RefusalReason.WRONG_SERVICE:
                server.view = observe_failure(server.view, now_ms)
                server.down_until_ms = now_ms + WRONG_SERVICE_MS
                self._fleet.generation += 1

    def apply_refusal_state(
        self, server: ServerTrack, refusal: CallRefusal, now_ms: float
    ) -> None:
        """Apply the state that the server reported in a refusal."""
        self._fleet.apply_reported_state(
            server, refusal.incarnation, refusal.version, refusal.state, now_ms
        )
        self._fleet.record_contact(server, now_ms)

    def _warm_up(
        self, server: ServerTrack, state: ServerState, elapsed_ms: float
    ) -> None:
        """Raise the allowance of a cold server, unless the reply was very slow."""
        if is_very_slow(server.view, elapsed_ms):
            return
        warmth = apply_success(server.warmth, state, server.server.slots)
        if not isinstance(warmth, Cold):
            self._fleet.mark_warm(server)
            return
        server.warmth = warmth

    def _handle_slowness(self, call: Call, now_ms: float) -> None:
        """Lower the limit of a slow server; mark a very slow one as cold.

        Notes
        -----
        Slowness alone lowers the limit to no less than one call: if all calls
        have become slower, pacing would starve the service.
        """
        server = call.server
        was_shed = now_ms - call.work.service.shed_ms < BACKOFF_MAX_MS
        if server.view.is_very_slow and not was_shed and self._is_outlier(call, now_ms):
            server.view = clear_slow_calls(server.view)
            self._fleet.mark_cold(server, ColdCause.SLOWNESS, now_ms)
            return
        if server.limiter.limit > 1:
            lowered = lower_limit(
                server.limiter, call.sent_ms, now_ms, SLOW_DECREASE_RATIO
            )
            server.limiter = Limiter(max(1, lowered.limit), lowered.lowered_ms)

    def _is_outlier(self, call: Call, now_ms: float) -> bool:
        """Return whether the server is slow rather than its service or this entry VM.

        Notes
        -----
        Slowness alone never removes the last good server of a service, nor any
        server while many look slow, as they do after a pause of the entry VM.
        """
        server = call.server
        has_other = any(
            not other.is_cold and not other.blocks and not other.view.is_suspect
            for other in call.work.service.servers
            if other is not server
        )
        if not has_other:
            return False
        recent = [
            other.view.is_suspect
            for other in self._fleet.servers.values()
            if now_ms - other.view.updated_ms < COMPARED_MS
        ]
        return sum(recent) <= max(1, SUSPECT_RATIO * len(recent))

    def _back_off(self, server: ServerTrack, now_ms: float) -> None:
        server.failures += 1
        wait_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** (server.failures - 1))
        jitter = 0.5 + self._context.generator.random() / 2
        server.down_until_ms = now_ms + wait_ms * jitter
        self._fleet.generation += 1
