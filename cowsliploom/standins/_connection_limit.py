"""Connections that a server takes, and the work that they cost."""

from cowsliploom.standins._server_log import ServerCounters
from cowsliploom.standins._server_settings import ServerSettings


class ConnectionLimit:
    """Take connections up to the limit, and keep account of their cost.

    Parameters
    ----------
    settings : ServerSettings
        Limit and cost.
    counters : ServerCounters
        Counters to keep.
    """

    def __init__(self, settings: ServerSettings, counters: ServerCounters) -> None:
        self.settings = settings
        self.counters = counters
        self._debt_ms: float = 0
        self._passed_ms: float = 0

    def open(self) -> bool:
        """Take a new connection, at its cost; false when the limit is reached."""
        counters = self.counters
        if counters.connections_now >= self.settings.connections_max:
            counters.connections_closed_over += 1
            return False
        counters.connections_opened += 1
        counters.connections_now += 1
        counters.connections_now_max = max(
            counters.connections_now_max, counters.connections_now
        )
        self._debt_ms += self.settings.connect_cost_ms
        return True

    def close(self) -> None:
        """Forget a connection that was taken."""
        self.counters.connections_now -= 1

    def pass_time(self, now_ms: float, busy: int) -> None:
        """Let a free slot work off what new connections cost."""
        if busy < self.settings.slots:
            paid_ms = now_ms - self._passed_ms
            self._debt_ms = max(0, self._debt_ms - paid_ms)
        self._passed_ms = now_ms

    def take_debt_ms(self) -> float:
        """Return the cost not yet worked off; the caller works it off."""
        debt_ms = self._debt_ms
        self._debt_ms = 0
        return debt_ms
