"""Clocks, as arguments, so that decisions can be played at any time."""

from typing import Protocol


class Clock(Protocol):
    """Tell the time of this process."""

    def now_ms(self) -> float:
        """Return monotonic milliseconds; never goes back, stops for no freeze."""
        ...

    def wall_ms(self) -> float:
        """Return milliseconds since the epoch; may jump."""
        ...
