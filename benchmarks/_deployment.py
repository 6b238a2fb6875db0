"""Wales test deployment on loopback, with entry VMs of both routing policies."""

from cowsliploom.loadgen import CallerSettings, Target
from tests.processes.shape import DATA_CENTRES, Document
from tests.processes.world import World

BACKEND_PROCESSES = 4  # the interpreter lock limits one process to one core
ENTRIES_PER_POLICY = 3


class Deployment(World):
    """Run a platform, backend servers and entry VMs of both policies.

    Both sets of entry VMs use the same backend servers; load is sent to one set at
    a time. One backend server runs in its own process, so that it can be killed.
    """

    def _start(self) -> None:
        self.platform = self.fleet.start('cowsliploom.standins.platform', 'platform')
        fault_target, *others = self.shape.cellar()
        self.fault_server = str(fault_target['server'])
        self.start_backends('lost', [fault_target])
        for number in range(BACKEND_PROCESSES):
            self.start_backends(f'cellar-{number}', others[number::BACKEND_PROCESSES])
        self.start_backends('rota', self.shape.rota())
        for index, data_centre in enumerate(DATA_CENTRES):
            self.start_entry(f'adaptive-{index}', data_centre)
            self.start_entry(f'naive-{index}', data_centre, '--policy', 'naive')
        self.list_vms()

    def targets(self, timeout_ms: float) -> tuple[Target, Target]:
        """Return the load targets of the adaptive and the naive policy."""
        return self._target('adaptive', timeout_ms), self._target('naive', timeout_ms)

    def set_faults(self, faults: Document) -> None:
        """Set faults on all running servers of the cellar briefing."""
        for name, address in self.running_backends().items():
            if name.startswith('cellar'):
                self.put(address, '/admin/faults', faults)

    def make_server_cold(self) -> None:
        """Make one server cold without announcing it."""
        self.put(self.addresses[self.fault_server], '/admin/cold', {})

    def count_overruns(self) -> int:
        """Return the overrun count of the server that is made cold."""
        reply = self.get(self.addresses[self.fault_server], '/admin/counters')
        return int(reply.body['overruns'])

    def kill_replica(self) -> None:
        """Kill the process of one server."""
        self.backend_hosts[self.fault_server].kill()

    def running_backends(self) -> dict[str, str]:
        """Return the addresses of servers whose process is running."""
        return {
            name: address
            for name, address in self.addresses.items()
            if self.backend_hosts[name].process.poll() is None
        }

    def _target(self, policy: str, timeout_ms: float) -> Target:
        entries = tuple(
            entry.address for entry in self.entries if entry.name.startswith(policy)
        )
        callers = CallerSettings(entries, timeout_ms)
        return Target(policy, callers, tuple(self.running_backends().values()))
