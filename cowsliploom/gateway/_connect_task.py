"""The task that opens connections before the first requests need them."""

import asyncio

from cowsliploom.forwarding import RequestDispatcher, Server, servers_ahead
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._peers import Peers

MS_PER_S = 1000
CHECK_MS = 100.0
BATCH = 4  # connections opened at once; each takes a server some milliseconds
BATCH_PAUSE_MS = 20.0
MEMBERS_WAIT_MS = 600.0  # for the members that start together with this VM


class ConnectTask:
    """Connect to the servers that this VM calls as a relay.

    Once after the start, and again for the shards of a new version of the routes.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Routes and servers.
    peers : Peers
        Members, which determine the shards of this VM.
    pools : ServerPools
        Connections to the servers.
    log : LineLog
        Log of what was opened.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        peers: Peers,
        pools: ServerPools,
        log: LineLog,
    ) -> None:
        self._dispatcher = dispatcher
        self._peers = peers
        self._pools = pools
        self._log = log
        self._version = 0

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(CHECK_MS / MS_PER_S)
            table = self._dispatcher.table
            is_new = table.version != self._version
            if is_new and self._peers.others() and len(self._dispatcher.fleet):
                await asyncio.sleep(MEMBERS_WAIT_MS / MS_PER_S)
                self._version = self._dispatcher.table.version
                await self._connect()

    async def _connect(self) -> None:
        servers = servers_ahead(
            self._dispatcher.table,
            self._dispatcher.fleet,
            self._peers.known.own,
            self._peers.others(),
            self._peers.now_ms(),
        )
        opened = 0
        for start in range(0, len(servers), BATCH):
            opened += sum(map(self._open, servers[start : start + BATCH]))
            await asyncio.sleep(BATCH_PAUSE_MS / MS_PER_S)
        if opened:
            self._log.write(
                'placement', 'connected ahead', servers=len(servers), opened=opened
            )

    def _open(self, server: Server) -> bool:
        return not server.is_gone and self._pools.open_ahead(server)
