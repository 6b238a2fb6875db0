"""Connection of one caller to an HTTP listener."""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from cowsliploom.dataplane._admission import Admission
from cowsliploom.dataplane._client_timeouts import (
    ClientTimeouts,
    ConnectionState,
    Phase,
    Verdict,
)
from cowsliploom.dataplane._http_requests import HttpRequest, Rejection
from cowsliploom.dataplane._rendering import render_head
from cowsliploom.dataplane._request_intake import RequestIntake
from cowsliploom.dataplane._request_reader import ReadRequest
from cowsliploom.dataplane._sockets import (
    HeaderList,
    format_address,
    reset,
    set_dead_peer_timeout,
    smoothed_rtt_ms,
)
from cowsliploom.dataplane._weights import CONNECTION_BYTES
from cowsliploom.forwarding import CallerLimits

RETRY_AFTER_TEXT = '1'  # seconds
ROUND_TRIPS = 2  # for a request and an answer above the initial TCP window

Handler = Callable[[HttpRequest], Callable[[], None] | None]


class ConnectionOwner(Protocol):
    """Listener that a connection belongs to."""

    admission: Admission
    is_draining: bool
    handler: Handler
    on_rejected: Callable[[Rejection], None]
    limits: Callable[[], CallerLimits]
    loop: asyncio.AbstractEventLoop

    def now_ms(self) -> float:
        """Return the monotonic clock in milliseconds."""
        ...

    def note_used(self, connection: 'ServerConnection') -> None:
        """Record that a connection is new or was used."""
        ...

    def note_closed(self, connection: 'ServerConnection') -> None:
        """Record that a connection is closed."""
        ...


class ServerConnection(asyncio.BufferedProtocol):
    """Connection of one caller; one that half-closes it counts as disconnected.

    Reading is paused while the caller does not read its answers, while enough of its
    requests are queued, and while the process lacks room for more.

    Parameters
    ----------
    server : ConnectionOwner
        Listener that the connection belongs to.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self.transport: asyncio.Transport | None = None
        self._intake = RequestIntake(self, server.limits, server.admission)
        self._timeouts = ClientTimeouts()
        self._current: HttpRequest | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self._is_write_paused = False
        self._written_bytes = 0
        self._is_reading = False
        self._rejection: bytes = b''
        self._rtt_ms: float = 0
        self._is_first_request = True
        self._peer = ''

    @property
    def phase(self) -> Phase:
        """What the connection waits for."""
        if self._current or self._intake or self._is_write_paused:
            return Phase.ANSWERING
        if self._rejection:
            return Phase.REJECTED
        return Phase.READING if self._is_reading else Phase.IDLE

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return self._current is not None

    @property
    def is_ending(self) -> bool:
        """Whether the connection was ended and is not closed yet."""
        return self._timeouts.is_ending

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self._intake.room.transport = self.transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_dead_peer_timeout(sock)
            self._rtt_ms = smoothed_rtt_ms(sock)
        self._peer = format_address(transport.get_extra_info('peername'))
        self._start_phase()
        self._server.note_used(self)
        self.note_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the open request that its caller has disconnected."""
        self.transport = None
        self._intake.close()
        on_disconnect = self._on_disconnect
        self._on_disconnect = None
        self._current = None
        self._server.admission.remove(self)
        self._server.note_closed(self)
        if on_disconnect is not None:
            on_disconnect()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: WPS615 (of asyncio)
        """Return the buffer that all connections share."""
        return self._server.admission.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        self._intake.receive(self._server.admission.read_buffer[:nbytes])

    def pause_writing(self) -> None:
        """Handle no further request while the caller does not read the answers."""
        self._is_write_paused = True
        self._intake.room.pause()

    def resume_writing(self) -> None:
        """Go on with the queued requests."""
        self._is_write_paused = False
        self._written_bytes = 0
        self.note_held()
        self._intake.read_on()
        if self._intake:
            self._server.loop.call_soon(self._handle_next)

    # Events of the reader.

    @property
    def is_blocked(self) -> bool:
        """Whether no further request may be read for now."""
        is_closing = self.transport is None or self.transport.is_closing()
        return is_closing or self._is_write_paused or self._intake.is_full

    def begin_request(self) -> None:
        """Note that a request is being read."""
        self._is_reading = True
        self._start_phase()

    def end_request(self, read: ReadRequest) -> None:
        """Queue the complete request."""
        self._is_reading = False
        self._start_phase()
        trips = ROUND_TRIPS + self._is_first_request  # the TCP handshake takes one more
        self._is_first_request = False
        request = HttpRequest(
            read.method,
            read.target,
            read.headers,
            read.body,
            self._timeouts.phase_start_ms,
            read.keep_alive,
            self,
            trips * self._rtt_ms,
        )
        self._intake.append(request)
        if self._current is None:
            self._handle_next()

    def reject(self, status: int, reason: str) -> None:
        """Answer an invalid request with an error status, and close.

        Requests that were received before it are answered first.
        """
        if self._rejection:
            return
        headers = self._intake.reader.headers
        self._server.on_rejected(Rejection(status, reason, self._peer, headers))
        self._intake.reject()
        self._rejection = render_head(status, [], 0, keep=False)
        if self._current is None and not self._intake:
            self._end_rejected()

    # Methods for the listener, the intake and the request.

    def answer(
        self, request: HttpRequest, status: int, headers: HeaderList, body: bytes
    ) -> bool:
        """Write the answer to the current request."""
        if self._current is not request or self.transport is None:
            return False
        is_last = self._server.is_draining and not self._intake
        keep = request.keep_alive and not is_last
        has_body = request.method != 'HEAD'
        length_bytes = len(body) if has_body else None
        self.write(render_head(status, headers, length_bytes, keep))
        if has_body:
            self.write(body)
        self._current = None
        self._on_disconnect = None
        self._start_phase()
        self._server.note_used(self)
        self.note_held()
        if not keep:
            self.close()
        elif self._intake:
            self._server.loop.call_soon(self._handle_next)
        elif self._rejection:
            self._end_rejected()
        return True

    def write(self, chunk: bytes) -> None:
        """Send bytes to the caller."""
        if self.transport is not None and chunk:
            self.transport.write(chunk)
            self._written_bytes += len(chunk)

    def close(self) -> None:
        """Close after the written bytes are sent, if they are read in time."""
        if self.transport is not None:
            self.transport.close()

    def note_held(self) -> None:
        """Update what the connection holds in the account.

        The request that is being answered is accounted for by its handler. An answer
        that is written counts whole, as the transport keeps all of it until the client
        has read nearly everything.
        """
        unsent = 0 if self.transport is None else self.transport.get_write_buffer_size()
        if not unsent:
            self._written_bytes = 0
        written = max(unsent, self._written_bytes)
        held_bytes = CONNECTION_BYTES + written + self._intake.held_bytes
        self._server.admission.update(self, held_bytes, self.is_busy)

    def shed(self) -> None:
        """End the connection, as the process lacks room.

        A request that is not complete has not run, and is told so. One that waits for
        its answer may have, and a connection without a request expects no answer.
        """
        transport = self.transport
        if transport is None:
            return
        phase = self.phase
        unsent_bytes = transport.get_write_buffer_size()
        self._timeouts.end(self._server.now_ms())
        self._server.admission.end(self)
        self._intake.close()
        if unsent_bytes or phase is Phase.ANSWERING:
            reset(transport)
            return
        if phase is Phase.READING and not transport.is_closing():
            retry_after = [('Retry-After', RETRY_AFTER_TEXT)]
            transport.write(render_head(503, retry_after, 0, keep=False))
        transport.close()

    def check_timeouts(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection of a caller that is idle or too slow."""
        transport = self.transport
        if transport is None:
            return
        state = ConnectionState(self.phase, transport.get_write_buffer_size())
        match self._timeouts.check(now_ms, state, limits):
            case Verdict.RESET:
                reset(transport)
            case Verdict.REJECT if not transport.is_closing():
                elapsed_ms = now_ms - self._timeouts.phase_start_ms
                self.reject(408, f'not whole after {round(elapsed_ms)} ms')
            case Verdict.CLOSE if not transport.is_closing():
                self._timeouts.end(now_ms)
                transport.close()

    def _start_phase(self) -> None:
        self._timeouts.phase_start_ms = self._server.now_ms()

    def _handle_next(self) -> None:
        if self._current is not None or not self._intake or self._is_write_paused:
            return
        was_blocked = self.is_blocked
        request = self._intake.pop()
        self._current = request
        self._on_disconnect = None
        on_disconnect = self._server.handler(request)
        if self._current is request:
            self._on_disconnect = on_disconnect
        if was_blocked and not self.is_blocked:
            self._server.loop.call_soon(self._intake.read_on)

    def _end_rejected(self) -> None:
        """Write the rejection, and discard what the caller still sends for a while.

        Closing with unread bytes would reset the connection, and the caller could lose
        the answers that it has not read yet.
        """
        self._start_phase()
        self.write(self._rejection)
        if self.transport is not None:
            self.transport.write_eof()
