"""The task that tells whether this entry VM is cut off from what it needs."""

import asyncio
from collections.abc import Callable

from cowsliploom.forwarding import (
    RequestDispatcher,
    are_remote_servers_silent,
    count_routes_needing_remote_servers,
    count_unreachable_routes,
)
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._peers import Peers
from cowsliploom.platform import PlatformStore

MS_PER_S = 1000
LOOK_MS = 50.0
LOOK_AGAIN_MS = 200.0  # after a look that asked others
PROBE_TIMEOUT_MS = 300.0


class Isolation:
    """Report not ready while callers are served better by another data centre.

    Parameters
    ----------
    desk : RequestDispatcher
        Routes and servers.
    peers : Peers
        Members in other data centres.
    store : PlatformStore
        The store.
    log : LineLog
        Log of the changes.
    now_ms : callable
        Steady clock.

    Notes
    -----
    Too few servers in reach may as well be the servers' fault. So this VM counts as
    cut off only while neither the store nor a member elsewhere answers it either.
    While they are being asked it is suspected, and says that it isn't ready: the
    balancer acts on two such answers a second apart, so a false alarm costs nothing.
    """

    def __init__(
        self,
        desk: RequestDispatcher,
        peers: Peers,
        store: PlatformStore,
        log: LineLog,
        now_ms: Callable[[], float],
    ) -> None:
        self.is_isolated = False
        self.is_suspected = False
        self._desk = desk
        self._peers = peers
        self._store = store
        self._log = log
        self._now_ms = now_ms

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return not (self.is_isolated or self.is_suspected)

    async def run(self) -> None:
        """Look until cancelled."""
        pause_ms = LOOK_MS
        while True:
            await asyncio.sleep(pause_ms / MS_PER_S)
            pause_ms = await self.look()

    async def look(self) -> float:
        """Look once, and return how long to wait before the next look."""
        now_ms = self._now_ms()
        table, fleet = self._desk.table, self._desk.fleet
        is_quiet = are_remote_servers_silent(fleet, now_ms)
        short = count_unreachable_routes(table, fleet, now_ms)
        if is_quiet:
            short = max(short, count_routes_needing_remote_servers(table, fleet))
        if not (short or self.is_isolated):
            return LOOK_MS
        self.is_suspected = is_quiet
        self._set(not await self._reaches_anyone(), short)
        self.is_suspected = False
        return LOOK_AGAIN_MS

    async def _reaches_anyone(self) -> bool:
        answers = await asyncio.gather(
            self._peers.reaches_others(), self._store.is_reachable(PROBE_TIMEOUT_MS)
        )
        return any(answers)

    def _set(self, is_isolated: bool, short: int) -> None:
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            event = 'cut off' if is_isolated else 'in reach again'
            self._log.write('isolation', event, routes_out_of_reach=short)
