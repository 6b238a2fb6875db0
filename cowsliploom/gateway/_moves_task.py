"""The task that runs version moves from the first move request on."""

import asyncio
import importlib
from collections.abc import Callable
from typing import Protocol, cast

from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.platform import PlatformStore

MS_PER_S = 1000
TICK_MS = 100.0
MODULE = 'cowsliploom.gateway._version_moves'


class Moves(Protocol):
    """Interface of the loaded module."""

    def tick(self) -> None:
        """Apply changes and take the steps that are due."""
        ...


class MovesTask:
    """Load the version moves at the first move request, and run them.

    Parameters
    ----------
    store_view : StoreView
        Move requests of the operators.
    peers : Peers
        Other entry VMs.
    store : PlatformStore
        Client of the store.
    log : LineLog
        Log of the moves.

    Notes
    -----
    The import takes tens of milliseconds, so it runs in a thread beside the event loop.
    Until then the new version receives no calls (see ``MoveTracker``).
    """

    def __init__(
        self, store_view: StoreView, peers: Peers, store: PlatformStore, log: LineLog
    ) -> None:
        self._store_view = store_view
        self._peers = peers
        self._store = store
        self._log = log

    async def run(self) -> None:
        """Run until cancelled."""
        while not self._store_view.orders:
            await asyncio.sleep(TICK_MS / MS_PER_S)
        moves = await self._load()
        while True:
            moves.tick()
            await asyncio.sleep(TICK_MS / MS_PER_S)

    async def _load(self) -> Moves:
        loop = asyncio.get_running_loop()
        module = await loop.run_in_executor(None, importlib.import_module, MODULE)
        make = cast(Callable[..., Moves], module.VersionMoves)
        return make(self._store_view, self._peers, self._store, self._log)
