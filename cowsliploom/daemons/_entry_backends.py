"""Connections to the backend servers of the configuration in force."""

from collections.abc import Callable, Mapping
from types import TracebackType

from cowsliploom.adapters import BackendServer, CallFailure, CallOutcome, CallRequest
from cowsliploom.ports import Clock
from cowsliploom.protocol import (
    CallRefusal,
    HealthReport,
    LoadReport,
    RunReply,
    SearchReply,
)
from cowsliploom.resources import Configuration, ServerSpec, ServiceSpec
from cowsliploom.routing import (
    CallFailed,
    CallRefused,
    Event,
    HealthReported,
    LoadReported,
    ProbeFailed,
    RunReplied,
    SearchReplied,
    SendRun,
    SendSearch,
)

Post = Callable[[Event], None]


def server_specs(configuration: Configuration) -> dict[str, ServerSpec]:
    """Return the declared backend servers by name."""
    return {
        server.name: server
        for resource in configuration.resources
        if isinstance(resource.spec, ServiceSpec)
        for server in resource.spec.servers
    }


def event_of(now_ms: float, server: str, call_id: str, outcome: CallOutcome) -> Event:
    """Convert the outcome of a call to a router event."""
    match outcome:
        case SearchReply():
            return SearchReplied(now_ms, call_id, server, outcome)
        case RunReply():
            return RunReplied(now_ms, call_id, server, outcome)
        case CallRefusal():
            return CallRefused(now_ms, call_id, server, outcome)
        case CallFailure():
            return CallFailed(
                now_ms, call_id, server, outcome.step, outcome.ran, outcome.timed_out
            )


class Backends:
    """Own the connections to all backend servers of one configuration.

    Parameters
    ----------
    clock : Clock
        Clock of the events.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._post: Post = _discard
        self._servers: dict[str, BackendServer] = {}

    def __enter__(self) -> 'Backends':
        """Return the empty set of backend servers."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections to all backend servers."""
        for server in self._servers.values():
            server.close()
        self._servers = {}

    def report_to(self, post: Post) -> None:
        """Pass router events to ``post``, which is called on worker threads."""
        self._post = post

    def apply(self, specs: Mapping[str, ServerSpec]) -> None:
        """Connect to added servers; close those removed or with a new address."""
        for name, server in tuple(self._servers.items()):
            spec = specs.get(name)
            if spec is None or spec.address != server.address:
                self._servers.pop(name).close()
        for name, spec in specs.items():
            if name not in self._servers:
                added = BackendServer(
                    name, spec.address, self._post_outcome, self._clock
                )
                added.open()
                self._servers[name] = added

    def send(self, command: SendSearch | SendRun, connections_max: int) -> None:
        """Send a call to a declared server; post its outcome, also if unreachable."""
        server = self._servers[command.server]
        server.call(
            CallRequest(command.call_id, command.call, command.deadline_ms),
            connections_max,
        )

    def is_declared(self, server: str) -> bool:
        """Return whether a backend server is declared."""
        return server in self._servers

    def record_call_end(self, server: str) -> None:
        """Record that the outcome of a call was handled."""
        backend = self._servers.get(server)
        if backend is not None:
            backend.record_call_end()

    def cancel(self, server: str, call_id: str) -> None:
        """Ask a backend server to cancel a call."""
        backend = self._servers.get(server)
        if backend is not None:
            backend.cancel(call_id)

    def retire_connections(self, server: str) -> None:
        """Replace the connections to a backend server before their next use."""
        backend = self._servers.get(server)
        if backend is not None:
            backend.retire_connections()

    def probe(self, server: str, *, with_load: bool) -> None:
        """Fetch the health of a backend server, and optionally its load."""
        backend = self._servers.get(server)
        if backend is not None:
            backend.probe(
                _ReportPost(server, self._post, self._clock), with_load=with_load
            )

    def _post_outcome(self, server: str, call_id: str, outcome: CallOutcome) -> None:
        self._post(event_of(self._clock.now_ms(), server, call_id, outcome))


def _discard(_event: Event) -> None:
    """Discard an event posted before ``report_to``."""


class _ReportPost:
    """Post the reports of a probe as router events."""

    def __init__(self, server: str, post: Post, clock: Clock) -> None:
        self._server = server
        self._post = post
        self._clock = clock

    def __call__(self, report: HealthReport | LoadReport | None) -> None:
        now_ms = self._clock.now_ms()
        match report:
            case HealthReport():
                self._post(HealthReported(now_ms, self._server, report))
            case LoadReport():
                self._post(LoadReported(now_ms, self._server, report))
            case None:
                self._post(ProbeFailed(now_ms, self._server))
