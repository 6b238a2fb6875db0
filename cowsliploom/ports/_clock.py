"""Clock interface, injected so that decision logic can run at any simulated time."""

from typing import Protocol


class Clock(Protocol):
    """Read the monotonic and wall clocks of this process."""

    def now_ms(self) -> float:
        """Return monotonic milliseconds, also counted while the process is frozen."""
        ...

    def wall_ms(self) -> float:
        """Return milliseconds since the epoch; may jump forwards or backwards."""
        ...
