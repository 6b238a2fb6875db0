"""Task that feeds events to the router and performs its commands."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cowsliploom.adapters import Metrics
from cowsliploom.daemons._entry_backends import Backends, server_specs
from cowsliploom.daemons._entry_messages import (
    CallerOutcome,
    ConfigurationOffered,
    CounterIncremented,
    MetricsRequested,
    Request,
    RunRequested,
    SearchRequested,
)
from cowsliploom.ports import Clock
from cowsliploom.protocol import Ran
from cowsliploom.resources import Configuration, SearchSpec
from cowsliploom.rollout import RecordSample
from cowsliploom.routing import (
    AnswerQuery,
    AnswerRun,
    CallFailed,
    CallRefused,
    CancelAttempt,
    Command,
    ConfigurationApplied,
    Event,
    FailureStep,
    HealthReported,
    ProbeFailed,
    QueryArrived,
    RefuseCaller,
    RetireConnections,
    RunArrived,
    RunReplied,
    SearchReplied,
    SendRun,
    SendSearch,
    Tick,
)

TICK_MIN_MS = 1  # resolution of the loop's timers
TICK_MAX_MS = 100  # the router sees time pass even without a due time
MS_PER_S = 1000
DEFAULT_TIMEOUT_MS = 1000  # for undeclared searches, which are refused sooner

Message = Request | ConfigurationOffered | MetricsRequested | CounterIncremented | Event


class RouterPart(Protocol):
    """Router of the adaptive or the naive policy."""

    def step(self, event: Event) -> tuple[Command, ...]:
        """Handle an event and return the commands to perform."""
        ...

    def connection_allowance(self, server: str) -> int:
        """Return how many connections this entry VM may open to a server."""
        ...

    @property
    def due_ms(self) -> float | None:
        """Latest time of the next tick, if one is needed."""
        ...

    @property
    def warm_owned(self) -> frozenset[str]:
        """Owned servers that were found warm."""
        ...


@dataclass(frozen=True, slots=True)
class RouterOutputs:
    """Callbacks for samples, configurations in force and health.

    Parameters
    ----------
    on_sample : callable
        Called with each sample of a version.
    on_applied : callable
        Called with each configuration that came into force.
    on_probe : callable
        Called with each health report of a backend server, and each failed probe.
    on_refusal : callable
        Called with each refusal of a backend server.
    """

    on_sample: Callable[[RecordSample], None]
    on_applied: Callable[[Configuration], None]
    on_probe: Callable[[HealthReported | ProbeFailed], None]
    on_refusal: Callable[[CallRefused], None]


@dataclass(frozen=True, slots=True)
class _Pending:
    request: Request
    arrived_ms: float


class RouterTask:
    """Own the router, the backend servers' connections and the metrics.

    Parameters
    ----------
    name : str
        Name and incarnation of the entry VM; makes query ids unique.
    router : RouterPart
        Decides on queries and runs.
    backends : Backends
        Connections to the backend servers.
    clock : Clock
        Clock of all events.
    outputs : RouterOutputs
        Callbacks for what the router observes.
    """

    def __init__(
        self,
        name: str,
        router: RouterPart,
        backends: Backends,
        clock: Clock,
        outputs: RouterOutputs,
    ) -> None:
        self.metrics = Metrics()
        self._name = name
        self._router = router
        self._backends = backends
        self._clock = clock
        self._outputs = outputs
        self._configuration = Configuration()
        self._timeouts_ms: dict[str, float] = {}
        self._pending: dict[str, _Pending] = {}
        self._sequence = itertools.count()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms = float()

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self._configuration

    @property
    def warm_owned(self) -> frozenset[str]:
        """Owned backend servers that were found warm."""
        return self._router.warm_owned

    @property
    def pending(self) -> int:
        """Number of callers that wait for an answer."""
        return len(self._pending)

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to handle messages on an event loop."""
        self._loop = loop
        self._backends.report_to(self.post)
        loop.call_soon(self._tick)

    def post(self, message: Message) -> None:
        """Send a message to the task; may be called on any thread."""
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self.handle, message)

    def handle(self, message: Message) -> None:
        """Handle a message; call this on the loop's thread only."""
        match message:
            case SearchRequested():
                self._start_search(message)
            case RunRequested():
                self._start_run(message)
            case ConfigurationOffered():
                self._apply_configuration(message.configuration)
            case MetricsRequested():
                message.text.set_result(self.metrics.render())
            case CounterIncremented():
                self.metrics.count(message.name, message.amount)
            case SearchReplied() | RunReplied() | CallRefused() | CallFailed():
                self._handle_outcome(message)
            case HealthReported() | ProbeFailed():
                self._step(message)
                self._outputs.on_probe(message)
            case _:
                self._step(message)

    def _handle_outcome(
        self, outcome: SearchReplied | RunReplied | CallRefused | CallFailed
    ) -> None:
        self._backends.record_call_end(outcome.server)
        self._step(outcome)
        if isinstance(outcome, CallRefused):
            self._outputs.on_refusal(outcome)

    def _start_search(self, message: SearchRequested) -> None:
        now_ms = self._clock.now_ms()
        timeout_ms = message.timeout_ms or self._timeouts_ms.get(
            message.search, DEFAULT_TIMEOUT_MS
        )
        self._step(
            QueryArrived(
                now_ms,
                self._admit(message, now_ms),
                message.search,
                message.text,
                message.caller,
                now_ms + timeout_ms,
            )
        )

    def _start_run(self, message: RunRequested) -> None:
        now_ms = self._clock.now_ms()
        self._step(
            RunArrived(
                now_ms,
                self._admit(message, now_ms),
                message.service,
                message.payload,
                message.caller,
                now_ms + message.timeout_ms,
            )
        )

    def _admit(self, message: Request, now_ms: float) -> str:
        number = next(self._sequence)
        query_id = f'{message.query_id}~{self._name}-{number}'
        self._pending[query_id] = _Pending(message, now_ms)
        return query_id

    def _apply_configuration(self, configuration: Configuration) -> None:
        if configuration.revision <= self._configuration.revision:
            return
        self._configuration = configuration
        self._timeouts_ms = {
            resource.name: resource.spec.timeout_ms
            for resource in configuration.resources
            if isinstance(resource.spec, SearchSpec)
        }
        self._backends.apply(server_specs(configuration))
        self._step(ConfigurationApplied(self._clock.now_ms(), configuration))
        self._outputs.on_applied(configuration)

    def _tick(self) -> None:
        self._timer = None
        self._step(Tick(self._clock.now_ms()))

    def _step(self, event: Event) -> None:
        for command in self._router.step(event):
            self._perform(command)
        self._set_timer(event.now_ms)

    def _set_timer(self, now_ms: float) -> None:
        """Schedule the next tick for the router's due time, or the latest allowed."""
        due_ms = now_ms + TICK_MAX_MS
        wanted_ms = self._router.due_ms
        if wanted_ms is not None:
            due_ms = min(due_ms, max(wanted_ms, now_ms + TICK_MIN_MS))
        if self._loop is None or (self._timer and self._timer_ms <= due_ms):
            return
        if self._timer:
            self._timer.cancel()
        self._timer_ms = due_ms
        self._timer = self._loop.call_later((due_ms - now_ms) / MS_PER_S, self._tick)

    def _perform(self, command: Command) -> None:
        match command:
            case SendSearch() | SendRun():
                self._send(command)
            case CancelAttempt():
                self.metrics.count('calls_cancelled')
                self._backends.cancel(command.server, command.call_id)
            case RetireConnections():
                self._backends.retire_connections(command.server)
            case AnswerQuery() | RefuseCaller():
                self._finish(command.query_id, command)
            case AnswerRun():
                self._finish(command.run_id, command)
            case RecordSample():
                self._outputs.on_sample(command)

    def _send(self, command: SendSearch | SendRun) -> None:
        self.metrics.count('calls_sent')
        if self._backends.is_declared(command.server):
            allowance = self._router.connection_allowance(command.server)
            self._backends.send(command, allowance)
            return
        self.post(
            CallFailed(
                self._clock.now_ms(),
                command.call_id,
                command.server,
                FailureStep.CONNECT,
                Ran.NO,
                timed_out=False,
            )
        )

    def _finish(self, query_id: str, outcome: CallerOutcome) -> None:
        pending = self._pending.pop(query_id, None)
        if pending is None:
            return
        elapsed_ms = self._clock.now_ms() - pending.arrived_ms
        self.metrics.record(
            _work_of(pending.request), pending.request.caller, elapsed_ms
        )
        self._count(outcome)
        if pending.request.outcome.set_running_or_notify_cancel():
            pending.request.outcome.set_result(outcome)

    def _count(self, outcome: CallerOutcome) -> None:
        match outcome:
            case AnswerQuery():
                is_full = outcome.coverage.covered_docs >= outcome.coverage.total_docs
                self.metrics.count('answers_whole' if is_full else 'answers_partial')
            case AnswerRun():
                self.metrics.count('runs_answered')
            case RefuseCaller():
                self.metrics.count(f'refused_{outcome.cause}')


def _work_of(request: Request) -> str:
    match request:
        case SearchRequested():
            return request.search
        case RunRequested():
            return request.service
