"""Connection limit of a server and the work caused by new connections."""

from cowsliploom.standins._server_log import ServerCounters
from cowsliploom.standins._server_settings import ServerSettings


class ConnectionLimit:
    """Connection counter with a limit and a setup cost for each new connection.

    Parameters
    ----------
    settings : ServerSettings
        Limit and setup cost.
    counters : ServerCounters
        Counters to update.
    """

    def __init__(self, settings: ServerSettings, counters: ServerCounters) -> None:
        self.settings = settings
        self.counters = counters
        self._pending_cost_ms: float = 0
        self._reduced_at_ms: float = 0

    def open(self) -> bool:
        """Accept a new connection and add its cost; false if the limit is reached."""
        counters = self.counters
        if counters.connections_now >= self.settings.connections_max:
            counters.connections_closed_over += 1
            return False
        counters.connections_opened += 1
        counters.connections_now += 1
        counters.connections_now_max = max(
            counters.connections_now_max, counters.connections_now
        )
        self._pending_cost_ms += self.settings.connect_cost_ms
        return True

    def close(self) -> None:
        """Stop counting an accepted connection."""
        self.counters.connections_now -= 1

    def reduce_cost(self, now_ms: float, busy: int) -> None:
        """Reduce the pending cost by the elapsed time if a slot was free."""
        if busy < self.settings.slots:
            elapsed_ms = now_ms - self._reduced_at_ms
            self._pending_cost_ms = max(0, self._pending_cost_ms - elapsed_ms)
        self._reduced_at_ms = now_ms

    def consume_cost_ms(self) -> float:
        """Return the pending cost, which delays the next call, and reset it."""
        cost_ms = self._pending_cost_ms
        self._pending_cost_ms = 0
        return cost_ms
