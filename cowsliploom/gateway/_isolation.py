"""Detection of whether this entry VM is cut off from servers, store and peers."""

import asyncio
from collections.abc import Callable

from cowsliploom.forwarding import (
    RequestDispatcher,
    are_remote_servers_silent,
    routes_needing_remote_servers,
    unreachable_routes,
)
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._peers import Peers
from cowsliploom.platform import PlatformStore

MS_PER_S = 1000
CHECK_INTERVAL_MS = 50.0
PROBED_CHECK_INTERVAL_MS = 200.0  # after a check that probed the store and members
PROBE_TIMEOUT_MS = 300.0
STORE_PROBE_INTERVAL_MS = 1000.0  # a data centre that is cut off asks with all its VMs


class Isolation:
    """Withdraw readiness while another data centre serves callers better.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Routes and servers.
    peers : Peers
        Members in other data centres.
    store : PlatformStore
        Platform store.
    log : LineLog
        Receives changes of the isolation state.
    now_ms : callable
        Monotonic clock.

    Notes
    -----
    Too few reachable servers may be the servers' own fault. This VM therefore counts as
    isolated only while neither the store nor a member elsewhere answers a probe. While
    the probes run, isolation is suspected and the VM reports not ready. The load
    balancer acts only on two such responses a second apart, so a false alarm costs
    nothing.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        peers: Peers,
        store: PlatformStore,
        log: LineLog,
        now_ms: Callable[[], float],
    ) -> None:
        self.is_isolated = False
        self.is_suspected = False
        self._dispatcher = dispatcher
        self._peers = peers
        self._store = store
        self._log = log
        self._now_ms = now_ms
        self._store_probed_ms = float('-inf')
        self._store_answered = False

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this VM."""
        return not (self.is_isolated or self.is_suspected)

    async def run(self) -> None:
        """Check periodically until cancelled."""
        pause_ms = CHECK_INTERVAL_MS
        while True:
            await asyncio.sleep(pause_ms / MS_PER_S)
            pause_ms = await self.check()

    async def check(self) -> float:
        """Check once; return the time in ms until the next check."""
        now_ms = self._now_ms()
        table, fleet = self._dispatcher.table, self._dispatcher.fleet
        is_silent = are_remote_servers_silent(fleet, now_ms)
        unreachable = unreachable_routes(table, fleet, now_ms)
        if is_silent:
            unreachable |= routes_needing_remote_servers(table, fleet)
        if not (unreachable or self.is_isolated):
            return CHECK_INTERVAL_MS
        self.is_suspected = is_silent
        self._update(not await self._is_probe_answered(), unreachable)
        self.is_suspected = False
        return PROBED_CHECK_INTERVAL_MS

    async def _is_probe_answered(self) -> bool:
        """Return whether a member elsewhere answers, or else the store.

        The members are asked first, as every VM asks while a route lacks servers.
        """
        return await self._peers.reaches_others() or await self._reaches_store()

    async def _reaches_store(self) -> bool:
        now_ms = self._now_ms()
        if now_ms >= self._store_probed_ms + STORE_PROBE_INTERVAL_MS:
            self._store_probed_ms = now_ms
            self._store_answered = await self._store.is_reachable(PROBE_TIMEOUT_MS)
        return self._store_answered

    def _update(self, is_isolated: bool, unreachable: frozenset[str]) -> None:
        """Refuse the routes out of reach at once while the VM is cut off."""
        closed = unreachable if is_isolated else frozenset()
        self._dispatcher.access.unreachable = closed
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            event = 'cut off' if is_isolated else 'in reach again'
            self._log.write('isolation', event, routes_out_of_reach=len(unreachable))
