"""Checker of overlapping owners in simulated time."""

from cowsliploom.coordination import ServersWatched, WatchedServer

CHECK_INTERVAL_MS = 50


class OwnershipChecker:
    """Let each running owner act continuously, and record overlapping owners.

    The request of an action may be in flight for ``request_max_ms``, so an action
    of another owner within that time counts as an overlap as well.
    """

    def __init__(self, loop, servers):
        self.loop = loop
        self.servers = tuple(WatchedServer(*server) for server in servers)
        self.overlaps = []
        self.owned_ms = dict.fromkeys((name for name, _ in servers), 0)
        self._last_actions = {}
        for name in loop.vms:
            self.watch(name)
        loop.after_step = self.check
        loop.at(0, self._check_all)

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

    def check(self, vm):
        """Record the actions of a running process."""
        if not vm.is_running:
            return
        local_ms = vm.local_ms(self.loop.now_ms)
        for watched in self.servers:
            if vm.node.owns(watched.server, local_ms):
                self._record_action(watched.server, vm)

    def _check_all(self):
        for vm in tuple(self.loop.vms.values()):
            self.check(vm)
        for watched in self.servers:
            self.owned_ms[watched.server] += CHECK_INTERVAL_MS * bool(
                self.owners(watched.server)
            )
        self.loop.at(CHECK_INTERVAL_MS, self._check_all)

    def _record_action(self, server, vm):
        actions = self._last_actions.setdefault(server, {})
        now_ms = self.loop.now_ms
        for other, action_ms in actions.items():
            in_flight_ms = self.loop.settings.request_max_ms
            if other is not vm and now_ms - action_ms < in_flight_ms:
                self.overlaps.append((server, now_ms))
        actions[vm] = now_ms
