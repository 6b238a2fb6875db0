"""A judge who sees every act of every owner in simulated time."""

from cowsliploom.coordination import ServersWatched, WatchedServer

LOOK_MS = 50


class OwnershipChecker:
    """Let each running owner act all the time, and note overlapping owners.

    An act's request may be in flight for ``request_max_ms``, so another owner's
    act within that time after it is an overlap too.
    """

    def __init__(self, loop, servers):
        self.loop = loop
        self.servers = tuple(WatchedServer(*server) for server in servers)
        self.overlaps = []
        self.owned_ms = dict.fromkeys((name for name, _ in servers), 0)
        self._last_acts = {}
        for name in loop.vms:
            self.watch(name)
        loop.after_step = self.look
        loop.at(0, self._look_at_all)

    def watch(self, name):
        self.loop.feed(name, ServersWatched, self.servers)

    def owners(self, server):
        return {
            name
            for name, vm in self.loop.running().items()
            if vm.node.owns(server, vm.local_ms(self.loop.now_ms))
        }

    def all_owned(self):
        return all(len(self.owners(watched.server)) == 1 for watched in self.servers)

    def look(self, vm):
        """Note the acts of one running process, just before anything else."""
        if not vm.runs:
            return
        local_ms = vm.local_ms(self.loop.now_ms)
        for watched in self.servers:
            if vm.node.owns(watched.server, local_ms):
                self._act(watched.server, vm)

    def _look_at_all(self):
        for vm in tuple(self.loop.vms.values()):
            self.look(vm)
        for watched in self.servers:
            self.owned_ms[watched.server] += LOOK_MS * bool(self.owners(watched.server))
        self.loop.at(LOOK_MS, self._look_at_all)

    def _act(self, server, vm):
        acts = self._last_acts.setdefault(server, {})
        now_ms = self.loop.now_ms
        for other, acted_ms in acts.items():
            in_flight_ms = self.loop.settings.request_max_ms
            if other is not vm and now_ms - acted_ms < in_flight_ms:
                self.overlaps.append((server, now_ms))
        acts[vm] = now_ms
