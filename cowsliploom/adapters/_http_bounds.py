"""Bounds of the HTTP server, and counts of what is open."""

import threading
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpServerSettings:
    """Bound what one HTTP server takes on.

    Parameters
    ----------
    threads : int
        Requests handled at once; a stream holds one for as long as it lasts.
    connections_max : int
        Open connections.
    body_max_bytes : int
        Size of a request's body, in bytes.
    request_read_timeout_ms : float
        Time from a request's first byte to its last, in milliseconds.
    idle_timeout_ms : float
        Time that a connection may stay silent, and that one write may take, in
        milliseconds.
    drain_timeout_ms : float
        Time for requests to end once the server stops, in milliseconds.
    """

    threads: int = 16
    connections_max: int = 2048
    body_max_bytes: int = 1_000_000
    request_read_timeout_ms: float = 5000
    idle_timeout_ms: float = 30_000
    drain_timeout_ms: float = 10_000


class Tally:
    """Count what is open, over threads, and wait for none."""

    def __init__(self) -> None:
        self.count = 0
        self._changed = threading.Condition()

    def add(self) -> None:
        """Count one more."""
        with self._changed:
            self.count += 1

    def remove(self) -> None:
        """Count one less."""
        with self._changed:
            self.count -= 1
            self._changed.notify_all()

    def wait_for_none(self, timeout_s: float) -> bool:
        """Wait until none is open; return whether that came about in time."""
        with self._changed:
            return self._changed.wait_for(self._is_none, timeout_s)

    def _is_none(self) -> bool:
        return self.count <= 0
