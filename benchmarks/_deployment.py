"""The Welsh deployment on loopback, with entry VMs of both policies."""

from cowsliploom.loadgen import CallerSettings, Target
from tests.processes.shape import DATA_CENTRES, Document
from tests.processes.world import World

BACKEND_PROCESSES = 4  # one process is bound by its interpreter lock
ENTRIES_EACH = 3


class Deployment(World):
    """Own a platform, backend servers and entry VMs of both policies.

    Both sets of entry VMs use the same backend servers; load goes to one at a
    time. One backend server has a process of its own, so that it can be lost.
    """

    def _start(self) -> None:
        self.platform = self.fleet.start('cowsliploom.standins.platform', 'platform')
        lost, *others = self.shape.cellar()
        self.lost_server = str(lost['server'])
        self.start_backends('lost', [lost])
        for number in range(BACKEND_PROCESSES):
            self.start_backends(f'cellar-{number}', others[number::BACKEND_PROCESSES])
        self.start_backends('rota', self.shape.rota())
        for place, data_centre in enumerate(DATA_CENTRES):
            self.start_entry(f'adaptive-{place}', data_centre)
            self.start_entry(f'naive-{place}', data_centre, '--policy', 'naive')
        self.list_vms()

    def targets(self, timeout_ms: float) -> tuple[Target, Target]:
        """Return the two systems to compare."""
        return self._target('adaptive', timeout_ms), self._target('naive', timeout_ms)

    def set_faults(self, faults: Document) -> None:
        """Switch faults on all servers of the cellar briefing that run."""
        for name, address in self.running_backends().items():
            if name.startswith('cellar'):
                self.put(address, '/admin/faults', faults)

    def turn_cold(self) -> None:
        """Turn one server cold without a warning."""
        self.put(self.addresses[self.lost_server], '/admin/cold', {})

    def count_overruns(self) -> int:
        """Return how often the server that turns cold fell over."""
        reply = self.get(self.addresses[self.lost_server], '/admin/counters')
        return int(reply.body['overruns'])

    def lose_replica(self) -> None:
        """End one server at once."""
        self.backend_hosts[self.lost_server].kill()

    def running_backends(self) -> dict[str, str]:
        """Return the addresses of servers whose process runs."""
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
