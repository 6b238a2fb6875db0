"""What finished calls teach about a server and its service."""

from cowsliploom.protocol import CallRefusal, RefusalReason, ServerState
from cowsliploom.routing._context import Context
from cowsliploom.routing._fleet import Fleet
from cowsliploom.routing._latency import add_sample
from cowsliploom.routing._limiter import (
    LIMIT_MIN,
    SLOW_FALL_RATIO,
    Limiter,
    fall,
    grow,
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

BACKOFF_MIN_MS = 100.0  # a refused connection costs little, so test again soon
BACKOFF_MAX_MS = 2000.0  # a server that is back must be found within seconds
WRONG_SERVICE_MS = 5000.0  # an address that changed hands needs a configuration
COMPARED_MS = 2000.0  # views updated within this time are compared
SUSPECT_RATIO = 0.25  # more slow servers than this have a common cause
SHED_WEIGHT = 0.05  # some twenty calls decide whether a service sheds
TIMEOUT_RATIO = 3  # a timeout counts once the call took this many medians


class Outcomes:
    """Apply the outcome of calls to servers and services.

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
        """Take a call that the server answered well."""
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
        is_state_changed = (
            incarnation != server.incarnation or version != server.version
        )
        if is_state_changed or state is not ServerState.LIVE or server.is_cold:
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
            server.limiter = grow(server.limiter, server.share, server.ceiling)

    def record_error(self, call: Call, now_ms: float) -> None:
        """Take an error of the server's own."""
        server = call.server
        server.view = observe_failure(server.view, now_ms)
        server.limiter = fall(server.limiter, call.sent_ms, now_ms)
        server.warmth = apply_setback(server.warmth, now_ms)
        self._context.record_sample(call, now_ms, succeeded=False)

    def record_call_failure(self, call: Call, event: CallFailed) -> None:
        """Take a call that got no readable answer."""
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
        """Take a call that timed out after its request was sent.

        Notes
        -----
        The first suspects the connections: they are retired, and a fresh one is
        tried. Only a call sent after that blames the server. A call that had
        little time says nothing.
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
            server.limiter = fall(server.limiter, call.sent_ms, now_ms)
            server.warmth = apply_setback(server.warmth, now_ms)
            self._back_off(server, now_ms)

    def record_unanswered(self, call: Call, now_ms: float) -> None:
        """Take a call that was given up unanswered as at least so slow."""
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
        """Take a call that the server shed: the limit falls at once."""
        server = call.server
        self._context.count('sheds')
        service = call.work.service
        service.shed_ms = now_ms
        service.shed_ratio += (1 - service.shed_ratio) * SHED_WEIGHT
        jitter = 0.5 + self._context.generator.random()
        server.paused_until_ms = now_ms + service.typical_ms * jitter
        if server.limiter.limit <= LIMIT_MIN:
            self._context.record_sample(call, now_ms, succeeded=False)
        server.limiter = fall(server.limiter, call.sent_ms, now_ms)
        server.warmth = apply_setback(server.warmth, now_ms)

    def record_server_refusal(
        self, call: Call, reason: RefusalReason, now_ms: float
    ) -> None:
        """Take a refusal that says no to this server, not to the work."""
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
        """Take the server's own word that comes with a refusal."""
        self._fleet.apply_reported_state(
            server, refusal.incarnation, refusal.version, refusal.state, now_ms
        )
        self._fleet.record_contact(server, now_ms)

    def _warm_up(
        self, server: ServerTrack, state: ServerState, elapsed_ms: float
    ) -> None:
        """Let a cold server's allowance grow, unless its answer was very slow."""
        if is_very_slow(server.view, elapsed_ms):
            return
        warmth = apply_success(server.warmth, state, server.server.slots)
        if not isinstance(warmth, Cold):
            self._fleet.mark_warm(server)
            return
        server.warmth = warmth

    def _handle_slowness(self, call: Call, now_ms: float) -> None:
        """Lower the limit of a slow server; a very slow one is taken as cold.

        Notes
        -----
        Slowness alone brings the limit down to one call, never to pacing: where
        all calls have become slower, that would starve the service.
        """
        server = call.server
        was_shed = now_ms - call.work.service.shed_ms < BACKOFF_MAX_MS
        if server.view.is_very_slow and not was_shed and self._is_outlier(call, now_ms):
            server.view = clear_slow_calls(server.view)
            self._fleet.mark_cold(server, ColdCause.SLOWNESS, now_ms)
            return
        if server.limiter.limit > 1:
            fallen = fall(server.limiter, call.sent_ms, now_ms, SLOW_FALL_RATIO)
            server.limiter = Limiter(max(1, fallen.limit), fallen.fell_ms)

    def _is_outlier(self, call: Call, now_ms: float) -> bool:
        """Tell whether one server is slow, not its service or this entry VM.

        Notes
        -----
        Suspicion alone never takes the last good server of a service, nor any
        while many servers look slow, as they do when the entry VM has paused.
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
