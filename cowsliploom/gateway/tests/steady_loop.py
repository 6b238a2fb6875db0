"""An event loop on whose clock a stall of the machine takes next to no time."""

import asyncio
import time
from collections.abc import Coroutine

STEP_MAX_S = 0.02  # by which the clock advances between two readings


class SteadyLoop(asyncio.SelectorEventLoop):
    """Event loop for tests that ask what happens, not how fast the machine is.

    Timers still fire in order; a wait without other events takes somewhat longer.
    """

    def __init__(self) -> None:
        super().__init__()
        self._read_s = time.monotonic()
        self._now_s = self._read_s

    def time(self) -> float:
        """Return the time in seconds, without what a stall took."""
        read_s = time.monotonic()
        self._now_s += min(read_s - self._read_s, STEP_MAX_S)
        self._read_s = read_s
        return self._now_s


def run_steadily(main: Coroutine[object, object, None]) -> None:
    """Run a coroutine on such a loop."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        runner.run(main)
