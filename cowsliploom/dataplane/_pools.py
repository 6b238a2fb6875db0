"""Connection pools by peer name."""

from collections import Counter
from collections.abc import Callable

from cowsliploom.dataplane._bounds import AnswerBounds
from cowsliploom.dataplane._connection_pool import ConnectionPool


class ConnectionPools:
    """One connection pool for each requested name, until it is no longer needed.

    Parameters
    ----------
    bounds : AnswerBounds
        Upper bounds of one answer in each pool.
    """

    def __init__(
        self,
        bounds: AnswerBounds = AnswerBounds(),  # noqa: WPS404 (frozen)
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._bounds = bounds
        self._pools: dict[str, ConnectionPool] = {}

    def get(self, name: str, address: str) -> ConnectionPool:
        """Return the pool of a name; a new pool connects to the address."""
        known = self._pools.get(name)
        if known is None:
            known = ConnectionPool(address, bounds=self._bounds, counts=self.counts)
            self._pools[name] = known
        return known

    def keep(self, is_needed: Callable[[str], bool]) -> None:
        """Close the pools whose names are no longer needed."""
        unneeded = [name for name in self._pools if not is_needed(name)]
        for name in unneeded:
            self._pools.pop(name).close()

    def drop_idle(self) -> None:
        """Close all connections without an open call."""
        for pool in self._pools.values():
            pool.drop_idle()
