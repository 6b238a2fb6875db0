"""Limits of the HTTP server, and a counter of open requests and connections."""

import threading
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpServerSettings:
    """Resource limits and timeouts of one HTTP server.

    Parameters
    ----------
    threads : int
        Worker threads, one per concurrent request; a streamed response occupies its
        thread until it ends.
    connections_max : int
        Maximum number of open connections.
    body_max_bytes : int
        Maximum size of a request body, in bytes.
    request_read_timeout_ms : float
        Maximum time to read one request, from its first to its last byte, in
        milliseconds.
    idle_timeout_ms : float
        Maximum time that a connection may stay idle, and that one write may take, in
        milliseconds.
    drain_timeout_ms : float
        Maximum time to wait for open requests when the server stops, in milliseconds.
    """

    threads: int = 16
    connections_max: int = 2048
    body_max_bytes: int = 1_000_000
    request_read_timeout_ms: float = 5000
    idle_timeout_ms: float = 30_000
    drain_timeout_ms: float = 10_000


class OpenCounter:
    """Thread-safe count of open items that can be awaited to reach zero."""

    def __init__(self) -> None:
        self.count = 0
        self._changed = threading.Condition()

    def increment(self) -> None:
        """Increment the count."""
        with self._changed:
            self.count += 1

    def decrement(self) -> None:
        """Decrement the count."""
        with self._changed:
            self.count -= 1
            self._changed.notify_all()

    def wait_for_zero(self, timeout_s: float) -> bool:
        """Wait until the count is zero; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(self._is_zero, timeout_s)

    def _is_zero(self) -> bool:
        return self.count <= 0
