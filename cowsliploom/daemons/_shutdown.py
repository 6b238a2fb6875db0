"""Signals that end a daemon: the first drains it, the second ends it at once."""

import os
import signal
import threading
from types import FrameType

EXIT_FORCED = 1  # requests in flight may have been cut


class ShutdownSignals:
    """Turn SIGTERM and SIGINT into an event.

    Notes
    -----
    Signals reach the main thread only, so it is the one to construct and wait.
    """

    def __init__(self) -> None:
        self._requested = threading.Event()

    def __enter__(self) -> 'ShutdownSignals':
        """Take the signals over."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Keep the signals, so that a second one still ends the drain."""

    def wait(self) -> None:
        """Wait for the first signal."""
        self._requested.wait()

    def _handle(self, _number: int, _frame: FrameType | None) -> None:
        if self._requested.is_set():
            os._exit(EXIT_FORCED)  # noqa: SLF001
        self._requested.set()
