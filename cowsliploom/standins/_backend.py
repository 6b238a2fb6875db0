"""HTTP handlers of the backend server stand-in."""

import threading
import uuid
from http import HTTPStatus

from cowsliploom.ports import Clock
from cowsliploom.protocol import (
    CallRefusal,
    CancelCall,
    RunCall,
    SearchCall,
)
from cowsliploom.standins._backend_admin import BackendAdmin
from cowsliploom.standins._connections import CountedServer
from cowsliploom.standins._http import (
    DropConnection,
    Reply,
    Request,
    decode_body,
    json_reply,
    problem_reply,
)
from cowsliploom.standins._replies import Replies, refusal_reply
from cowsliploom.standins._reports import Reports
from cowsliploom.standins._server_model import (
    ADMIN_CONNECTIONS,
    Call,
    ServerModel,
    Ticket,
)
from cowsliploom.standins._server_settings import (
    ServerSettings,
    Silence,
)

MS_PER_S = 1000
SPARE_THREADS = 6  # for refusals, cancels, health, load and admin requests


class Backend:
    """HTTP server that fakes one backend server on its own address.

    Parameters
    ----------
    settings : ServerSettings
        Identity, capacity and latency of the server.
    clock : Clock
        Monotonic clock for calls and faults.
    """

    def __init__(self, settings: ServerSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.model = ServerModel(settings, uuid.uuid4().hex)
        self._reports = Reports(self.model)
        self.server = CountedServer(
            settings.listen,
            self.answer,
            settings.slots + settings.queue_max + SPARE_THREADS,
            self,
            ADMIN_CONNECTIONS,
        )
        self._lock = threading.Lock()
        self._wake_events: dict[int, threading.Event] = {}
        self._replies = Replies(self.model)
        self._admin = BackendAdmin(self.model, self.server, clock)

    def __enter__(self) -> 'Backend':
        """Listen and serve in background threads."""
        self.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop serving and close all connections."""
        self.stop()

    def start(self) -> None:
        """Listen and serve in background threads."""
        self.server.start_serving()

    def stop(self) -> None:
        """Stop serving and close all connections."""
        self.server.stop()

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound."""
        return self.server.address

    def open_connection(self) -> bool:
        """Accept a new connection unless the limit is reached."""
        now_ms = self.clock.now_ms()
        self.server.close_silent_before(now_ms - self.model.faults.silent_hold_ms)
        with self._lock:
            return self.model.open_connection(now_ms)

    def close_connection(self) -> None:
        """Release the slot of an accepted connection."""
        with self._lock:
            self.model.close_connection()

    def leave(self) -> None:
        """Start leaving the service."""
        with self._lock:
            self.model.leave(self.clock.now_ms())

    def idle(self) -> bool:
        """Return whether no call is running or queued."""
        with self._lock:
            return self.model.calls == 0

    def answer(self, request: Request) -> Reply:
        """Answer one request; raise `DropConnection` if a fault requires it."""
        if request.path.startswith('/admin/'):
            with self._lock:
                return self._admin.answer(request)
        self._drop_if_over_limit(request)
        if self._admin.is_unresponsive(request.peer_port):
            self._hold_connection(request)
        return self._answer_call(request)

    def _answer_call(self, request: Request) -> Reply:
        match (request.method, request.path):
            case ('POST', '/v1/search'):
                return self._serve(decode_body(request, SearchCall), request)
            case ('POST', '/v1/run'):
                return self._serve(decode_body(request, RunCall), request)
            case ('POST', '/v1/cancel'):
                return self._cancel(decode_body(request, CancelCall))
            case ('GET', '/v1/health'):
                with self._lock:
                    return json_reply(self._reports.health(self.clock.now_ms()))
            case ('GET', '/v1/load'):
                with self._lock:
                    return json_reply(self._reports.load(self.clock.now_ms()))
        return problem_reply(HTTPStatus.NOT_FOUND, request.path)

    def _drop_if_over_limit(self, request: Request) -> None:
        connection = self.server.connection_from(request.peer_port)
        if connection and not connection.counted:
            raise DropConnection

    def _hold_connection(self, request: Request) -> None:
        """Keep the connection open without ever answering on it."""
        connection = self.server.connection_from(request.peer_port)
        if connection:
            connection.silent_since_ms = self.clock.now_ms()
        with self._lock:
            self.model.server_log.counters.silenced += 1
        raise DropConnection

    def _serve(self, call: Call, request: Request) -> Reply:
        with self._lock:
            ticket = self.model.admit(call, self.clock.now_ms())
            if isinstance(ticket, CallRefusal):
                return refusal_reply(ticket)
            self._wake_events[id(ticket)] = threading.Event()
        reply = self._work(ticket)
        if ticket.work and ticket.work.late:
            threading.Event().wait(self.model.faults.late_ms / MS_PER_S)
        if self.model.faults.silent is Silence.ANSWERS:
            self._hold_connection(request)
        return reply

    def _work(self, ticket: Ticket) -> Reply:
        wake_event = self._wake_events[id(ticket)]
        if ticket.work is None:
            wake_event.wait(self._time_left_ms(ticket) / MS_PER_S)
        with self._lock:
            wake_event.clear()
            if ticket.work is None:
                self._wake_events.pop(id(ticket))
                return refusal_reply(self.model.drop_queued(ticket))
        if not ticket.cancelled:
            wake_event.wait(ticket.work.duration_ms / MS_PER_S)
        with self._lock:
            self._wake_events.pop(id(ticket))
            next_ticket = self.model.finish(ticket, self.clock.now_ms())
            if next_ticket:
                self._wake_events[id(next_ticket)].set()
            return self._replies.end(ticket)

    def _time_left_ms(self, ticket: Ticket) -> float:
        return max(0, ticket.deadline_ms - self.clock.now_ms())

    def _cancel(self, call: CancelCall) -> Reply:
        with self._lock:
            ticket = self.model.cancel(call.request_id)
            if ticket:
                self._wake_events[id(ticket)].set()
        return json_reply(call)
