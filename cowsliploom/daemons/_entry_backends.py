"""The backend servers of the configuration in force, and calls on them."""

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
    """Return a call's outcome as the router's event."""
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
        self._post: Post = _drop
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
        """Give the router's events to ``post``, on worker threads."""
        self._post = post

    def apply(self, specs: Mapping[str, ServerSpec]) -> None:
        """Open what is new, close what is gone or has moved."""
        for name, server in tuple(self._servers.items()):
            spec = specs.get(name)
            if spec is None or spec.address != server.address:
                self._servers.pop(name).close()
        for name, spec in specs.items():
            if name not in self._servers:
                fresh = BackendServer(
                    name, spec.address, self._take_outcome, self._clock
                )
                fresh.open()
                self._servers[name] = fresh

    def send(self, command: SendSearch | SendRun, connections_max: int) -> None:
        """Send a call; its outcome is posted later, also when there is no server."""
        server = self._servers[command.server]
        server.call(
            CallRequest(command.call_id, command.call, command.deadline_ms),
            connections_max,
        )

    def knows(self, server: str) -> bool:
        """Tell whether a backend server is declared."""
        return server in self._servers

    def ended(self, server: str) -> None:
        """Note that a call's outcome was taken."""
        known = self._servers.get(server)
        if known is not None:
            known.record_call_end()

    def cancel(self, server: str, call_id: str) -> None:
        """Ask a backend server to drop a call."""
        known = self._servers.get(server)
        if known is not None:
            known.cancel(call_id)

    def retire_connections(self, server: str) -> None:
        """Replace the connections to a backend server before their next use."""
        known = self._servers.get(server)
        if known is not None:
            known.retire_connections()

    def probe(self, server: str, *, with_load: bool) -> None:
        """Fetch the health of a backend server, and its load if asked."""
        known = self._servers.get(server)
        if known is not None:
            known.probe(
                _ReportPost(server, self._post, self._clock), with_load=with_load
            )

    def _take_outcome(self, server: str, call_id: str, outcome: CallOutcome) -> None:
        self._post(event_of(self._clock.now_ms(), server, call_id, outcome))


def _drop(_event: Event) -> None:
    """Drop an event that comes before anybody listens."""


class _ReportPost:
    """Post a probe's reports as the router's events."""

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
