"""An event loop on whose clock a stall of the machine takes next to no time."""

import asyncio
import selectors
import time
from collections.abc import Coroutine

STEP_MAX_S = 0.02  # by which the clock advances between two readings, beside waits


class WaitingSelector(selectors.DefaultSelector):
    """Selector that sums up for how long it was asked to wait, and did."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_s: float = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events."""
        start_s = time.monotonic()
        events = super().select(timeout)
        elapsed_s = time.monotonic() - start_s
        self.waited_s += min(elapsed_s, STEP_MAX_S if timeout is None else timeout)
        return events


class SteadyLoop(asyncio.SelectorEventLoop):
    """Event loop for tests that ask what happens, not how fast the machine is.

    Its clock advances by what it waits for timers and events, and by little more.
    """

    def __init__(self) -> None:
        self._selector_waits = WaitingSelector()
        super().__init__(self._selector_waits)
        self._read_s = time.monotonic()
        self._now_s = self._read_s

    def time(self) -> float:
        """Return the time in seconds, without what a stall took."""
        read_s = time.monotonic()
        waited_s = self._selector_waits.waited_s
        self._selector_waits.waited_s = 0
        working_s = max(0, read_s - self._read_s - waited_s)
        self._now_s += waited_s + min(working_s, STEP_MAX_S)
        self._read_s = read_s
        return self._now_s


def run_steadily(main: Coroutine[object, object, None]) -> None:
    """Run a coroutine on such a loop."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        runner.run(main)
