"""Connections that are counted, limited, and may go silent."""

import socket
import threading
from collections.abc import Callable
from typing import Protocol

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPServer

from cowsliploom.standins._http import Handler, StandinServer


class ConnectionPolicy(Protocol):
    """Decide on connections."""

    def open_connection(self) -> bool:
        """Take a new connection, or refuse it."""
        ...

    def close_connection(self) -> None:
        """Forget a connection that was taken."""
        ...


class CountedConnection(HTTPConnection):
    """Know its number, whether it counts, and whether it has gone silent."""

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
        """Serve one request; a fresh connection first waits without a thread."""
        if self.number == 0:
            return self._server.take(self)
        return bool(super().communicate())  # type: ignore[no-untyped-call]

    def close(self) -> None:
        """Close, unless silent: then the socket stays open and unread."""
        if self.silent_since_ms is None:
            super().close()
            self._server.forget(self)

    def close_silent(self) -> None:
        """Close a connection that was silent."""
        self.silent_since_ms = None
        self.close()

    @property
    def _server(self) -> 'CountedServer':
        assert isinstance(self.server, CountedServer)
        return self.server


class CountedServer(StandinServer):
    """Count connections, and close those that the policy refuses.

    Parameters
    ----------
    listen : str
        ``host:port``; port 0 lets the system choose.
    answer : callable
        Typed handler of the requests.
    threads : int
        Requests that are worked on, or wait, at once.
    policy : ConnectionPolicy
        Decides on new connections.
    admin_connections : int
        Connections over the limit that may stay, for administration only.
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

    def take(self, connection: CountedConnection) -> bool:
        """Number a new connection; false closes it."""
        with self._numbering:
            self.last_number += 1
            connection.number = self.last_number
        former = self._open.get(connection.remote_port)
        if former:
            self.forget(former)
        connection.counted = self.policy.open_connection()
        self._open[connection.remote_port] = connection
        if connection.counted:
            return True
        over = [other for other in self.connections() if not other.counted]
        return len(over) <= self.admin_connections

    def forget(self, connection: CountedConnection) -> None:
        """Stop counting a connection that was closed."""
        if self._open.get(connection.remote_port) is connection:
            self._open.pop(connection.remote_port)
            if connection.counted:
                self.policy.close_connection()

    def connection_from(self, peer_port: int) -> CountedConnection | None:
        """Return the open connection from a peer's port."""
        return self._open.get(peer_port)

    def connections(self) -> tuple[CountedConnection, ...]:
        """Return all open connections."""
        return tuple(self._open.copy().values())

    def close_silent_before(self, silent_before_ms: float) -> None:
        """Close connections that went silent before a time."""
        for connection in self.connections():
            since_ms = connection.silent_since_ms
            if since_ms is not None and since_ms < silent_before_ms:
                connection.close_silent()
