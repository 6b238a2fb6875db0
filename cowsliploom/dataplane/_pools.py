"""Connection pools by peer."""

from collections import Counter
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from cowsliploom.dataplane._admission import Admission
from cowsliploom.dataplane._bounds import AnswerBounds
from cowsliploom.dataplane._connection_pool import ConnectionPool
from cowsliploom.dataplane._http_calls import NO_HEAD_WATCH, HeadWatch

Peer = TypeVar('Peer', bound=Hashable)


class ConnectionPools(Generic[Peer]):
    """One connection pool for each requested peer, until it is no longer needed.

    Parameters
    ----------
    bounds : AnswerBounds
        Upper bounds of one answer in each pool.
    admission : Admission or None
        Account of the process. Default one without limits.
    has_priority : bool
        Whether answers are read also when room is short. Default False.
    """

    def __init__(
        self,
        bounds: AnswerBounds = AnswerBounds(),  # noqa: WPS404 (frozen)
        admission: Admission | None = None,
        has_priority: bool = False,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._bounds = bounds
        self._admission = Admission() if admission is None else admission
        self._has_priority = has_priority
        self._admission.on_shortage.append(self.drop_idle)
        self._pools: dict[Peer, ConnectionPool] = {}

    def get(
        self,
        peer: Peer,
        address: str,
        watch_heads: Callable[[Peer], HeadWatch] | None = None,
    ) -> ConnectionPool:
        """Return the pool of a peer; a new pool connects to the address.

        Parameters
        ----------
        peer : Peer
            Peer to connect to.
        address : str
            Its address.
        watch_heads : callable or None
            Returns the watch on the heads of its answers. Default none.
        """
        known = self._pools.get(peer)
        if known is None:
            head_watch = watch_heads(peer) if watch_heads else NO_HEAD_WATCH
            known = ConnectionPool(
                address,
                bounds=self._bounds,
                head_watch=head_watch,
                counts=self.counts,
                admission=self._admission,
                has_priority=self._has_priority,
            )
            self._pools[peer] = known
        return known

    def keep(self, is_needed: Callable[[Peer], bool]) -> None:
        """Close the pools of the peers that are no longer needed."""
        unneeded = [peer for peer in self._pools if not is_needed(peer)]
        for peer in unneeded:
            self._pools.pop(peer).close()

    def drop_idle(self) -> None:
        """Close all connections without an open call."""
        for pool in self._pools.values():
            pool.drop_idle()
