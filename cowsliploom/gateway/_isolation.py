"""The task that tells whether this entry VM is cut off from what it needs."""

import asyncio
from collections.abc import Callable

from cowsliploom.forwarding import ForwardingDesk, out_of_reach
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._peers import Peers
from cowsliploom.platform import PlatformStore

MS_PER_S = 1000
LOOK_MS = 200.0
PROBE_TIMEOUT_MS = 300.0


class Isolation:
    """Report not ready while callers are served better by another data centre.

    Parameters
    ----------
    desk : ForwardingDesk
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
    """

    def __init__(
        self,
        desk: ForwardingDesk,
        peers: Peers,
        store: PlatformStore,
        log: LineLog,
        now_ms: Callable[[], float],
    ) -> None:
        self.is_isolated = False
        self._desk = desk
        self._peers = peers
        self._store = store
        self._log = log
        self._now_ms = now_ms

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(LOOK_MS / MS_PER_S)
            now_ms = self._now_ms()
            short = out_of_reach(self._desk.table, self._desk.fleet, now_ms)
            if short or self.is_isolated:
                self._set(not await self._reaches_anyone(), short)

    async def _reaches_anyone(self) -> bool:
        answers = await asyncio.gather(
            self._peers.reaches_others(), self._store.answers(PROBE_TIMEOUT_MS)
        )
        return any(answers)

    def _set(self, is_isolated: bool, short: int) -> None:
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            event = 'cut off' if is_isolated else 'in reach again'
            self._log.write('isolation', event, routes_out_of_reach=short)
