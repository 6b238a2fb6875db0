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

    Each once for a version of the routes, as it is registered.

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
        self._seen = (0, 0)
        self._handled: set[str] = set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(CHECK_MS / MS_PER_S)
            if self._current() != self._seen and self._peers.others():
                await asyncio.sleep(MEMBERS_WAIT_MS / MS_PER_S)
                await self._connect()

    def _current(self) -> tuple[int, int]:
        """Return the versions of the routes and of the set of servers."""
        return self._dispatcher.table.version, self._dispatcher.fleet.layout_version

    async def _connect(self) -> None:
        """Connect to the servers that are new since the last version of the routes."""
        current = self._current()
        if current[0] != self._seen[0]:
            self._handled.clear()
        self._seen = current
        found = servers_ahead(
            self._dispatcher.table,
            self._dispatcher.fleet,
            self._peers.known.own,
            self._peers.others(),
            self._peers.now_ms(),
        )
        servers = [server for server in found if server.name not in self._handled]
        self._handled.update(server.name for server in servers)
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
