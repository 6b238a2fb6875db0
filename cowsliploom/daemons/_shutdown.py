"""Shutdown signals: the first drains a daemon, the second exits immediately."""

import os
import signal
import threading
from types import FrameType

EXIT_FORCED = 1  # requests in flight may have been aborted


class ShutdownSignals:
    """Turn SIGTERM and SIGINT into an event.

    Notes
    -----
    Signals reach the main thread only, so use this on the main thread.
    """

    def __init__(self) -> None:
        self._requested = threading.Event()

    def __enter__(self) -> 'ShutdownSignals':
        """Install the signal handlers."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Keep the handlers, so that a second signal still ends the drain."""

    def wait(self) -> None:
        """Wait for the first signal."""
        self._requested.wait()

    def _handle(self, _number: int, _frame: FrameType | None) -> None:
        if self._requested.is_set():
            os._exit(EXIT_FORCED)  # noqa: SLF001
        self._requested.set()
