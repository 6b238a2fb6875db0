"""HTTP/1.1 server on the event loop, with the parser of httptools."""

import asyncio
from collections.abc import Callable

from cowsliploom.dataplane._acceptor import Acceptor
from cowsliploom.dataplane._admission import Admission
from cowsliploom.dataplane._client_timeouts import Phase
from cowsliploom.dataplane._http_requests import Rejection
from cowsliploom.dataplane._room import Use
from cowsliploom.dataplane._server_connection import Handler, ServerConnection
from cowsliploom.forwarding import CallerLimits

MS_PER_S = 1000
TIMEOUT_CHECK_MS = 250


def _ignore_rejection(rejection: Rejection) -> None:
    """Do nothing; the default of ``on_rejected``."""


class HttpListener:
    """Listener on one address, with its connections.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP address.
    handler : callable
        Called with each request, in order on each connection; may return a callback
        for a caller that disconnects before the answer.
    limits : callable
        Returns the limits in force.
    on_rejected : callable
        Called with each rejected request.
    admission : Admission or None
        Account of the process. Default one without limits.
    use : Use
        What the connections are used for, which bounds their number.

    Attributes
    ----------
    connections : dict of ServerConnection
        Open connections, the one first that was not used for longest.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        on_rejected: Callable[[Rejection], None] = _ignore_rejection,
        admission: Admission | None = None,
        use: Use = Use.CALLERS,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.connections: dict[ServerConnection, None] = {}
        self.admission = Admission() if admission is None else admission
        self.use = use
        self.is_draining = False
        self.loop = asyncio.get_running_loop()
        self._acceptor = Acceptor(
            address,
            self.admission,
            use,
            lambda: ServerConnection(self),
            self._end_oldest,
        )
        self._timeout_timer: asyncio.TimerHandle | None = None

    @property
    def address(self) -> str:
        """Address that it listens on."""
        return self._acceptor.address

    def now_ms(self) -> float:
        """Return the monotonic clock in milliseconds."""
        return self.loop.time() * MS_PER_S

    async def start(self) -> None:
        """Bind the address and start to listen."""
        self._acceptor.start()
        self._check_timeouts()

    def note_used(self, connection: ServerConnection) -> None:
        """Record that a connection is new or was used."""
        self.connections.pop(connection, None)
        self.connections[connection] = None

    def note_closed(self, connection: ServerConnection) -> None:
        """Record that a connection is closed."""
        self.connections.pop(connection, None)
        self.admission.close(self.use)

    def drain(self) -> None:
        """Close each connection after its last queued answer."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if connection.phase is Phase.IDLE:
                connection.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self._acceptor.close()
        for connection in list(self.connections):
            connection.close()

    def _end_oldest(self) -> None:
        """End the connection that was not used for longest and has no request.

        Only one at a time is ended, as it is still counted until it is closed.
        """
        if any(connection.is_ending for connection in self.connections):
            return
        for connection in self.connections:
            if not connection.is_busy:
                self.admission.shed += 1
                connection.shed()
                return

    def _check_timeouts(self) -> None:
        now_ms = self.now_ms()
        limits = self.limits()
        for connection in list(self.connections):
            connection.check_timeouts(now_ms, limits)
        self._timeout_timer = self.loop.call_later(
            TIMEOUT_CHECK_MS / MS_PER_S, self._check_timeouts
        )
