"""Server connections that are counted, limited and may stop responding."""

import socket
import threading
from collections.abc import Callable
from typing import Protocol

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPServer

from cowsliploom.standins._http import Handler, StandinServer


class ConnectionPolicy(Protocol):
    """Admission of connections."""

    def open_connection(self) -> bool:
        """Return whether a new connection is accepted."""
        ...

    def close_connection(self) -> None:
        """Stop counting an accepted connection."""
        ...


class CountedConnection(HTTPConnection):
    """Connection with a sequence number and the time since which it is silent."""

    def __init__(
        self,
        server: HTTPServer,
        sock: socket.socket,
        makefile: Callable[..., object] = MakeFile,
    ) -> None:
        super().__init__(server, sock, makefile)
        self.number = 0
        self.counted = False
        self.silent_since_ms: float | None = None

    def communicate(self) -> bool:
        """Serve one request; the first call only registers a new connection.

        A registered connection waits for its first request without a thread.
        """
        if self.number == 0:
            return self._server.register(self)
        return bool(super().communicate())  # type: ignore[no-untyped-call]

    def close(self) -> None:
        """Close the connection; a silent one stays open and unread."""
        if self.silent_since_ms is None:
            super().close()
            self._server.unregister(self)

    def close_silent(self) -> None:
        """Close a silent connection."""
        self.silent_since_ms = None
        self.close()

    @property
    def _server(self) -> 'CountedServer':
        assert isinstance(self.server, CountedServer)
        return self.server


class CountedServer(StandinServer):
    """HTTP server that counts connections and closes those the policy refuses.

    Parameters
    ----------
    listen : str
        ``host:port``; port 0 selects a free port.
    answer : callable
        Handler of a `Request` that returns a `Reply`.
    threads : int
        Requests that may run or wait concurrently.
    policy : ConnectionPolicy
        Accepts or refuses new connections.
    admin_connections : int
        Connections beyond the limit that stay open for admin requests only.
    """

    ConnectionClass = CountedConnection

    def __init__(
        self,
        listen: str,
        answer: Handler,
        threads: int,
        policy: ConnectionPolicy,
        admin_connections: int,
    ) -> None:
        super().__init__(listen, answer, threads)
        self.policy = policy
        self.admin_connections = admin_connections
        self.last_number = 0
        self._numbering = threading.Lock()
        self._open: dict[int, CountedConnection] = {}

    def register(self, connection: CountedConnection) -> bool:
        """Number a new connection; false if it must be closed."""
        with self._numbering:
            self.last_number += 1
            connection.number = self.last_number
        stale = self._open.get(connection.remote_port)
        if stale:
            self.unregister(stale)
        connection.counted = self.policy.open_connection()
        self._open[connection.remote_port] = connection
        if connection.counted:
            return True
        over_limit = [other for other in self.connections() if not other.counted]
        return len(over_limit) <= self.admin_connections

    def unregister(self, connection: CountedConnection) -> None:
        """Remove a closed connection and stop counting it."""
        if self._open.get(connection.remote_port) is connection:
            self._open.pop(connection.remote_port)
            if connection.counted:
                self.policy.close_connection()

    def connection_from(self, peer_port: int) -> CountedConnection | None:
        """Return the open connection of a peer's port, if any."""
        return self._open.get(peer_port)

    def connections(self) -> tuple[CountedConnection, ...]:
        """Return all open connections."""
        return tuple(self._open.copy().values())

    def close_silent_before(self, silent_before_ms: float) -> None:
        """Close connections that have been silent since before a time."""
        for connection in self.connections():
            since_ms = connection.silent_since_ms
            if since_ms is not None and since_ms < silent_before_ms:
                connection.close_silent()
