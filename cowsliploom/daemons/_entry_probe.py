"""Schedule of the probes of backend servers."""

from collections import Counter
from collections.abc import Iterable

OWNED_INTERVAL_MS = 1000  # a leaving server must be known within 3 s
OTHER_INTERVAL_MIN_MS = 2000  # finds changes while no owner may be known
OTHER_SPACING_MS = 40  # keeps probes of servers not owned under 2% of a core
OTHER_INTERVAL_MS = 5000  # once owners are known, they report by gossip
LOAD_EVERY = 3  # every third probe of an owned server, as load reports lag anyway
FIRST_SPREAD_MS = 10  # interval between the first probes of new servers
PROBES_PER_STEP = 8  # bounds the burst after the process was suspended


class ProbeSchedule:
    """Choose the backend servers that are due for a probe.

    Notes
    -----
    The owner of a server probes it once a second and reports changes by gossip.
    Other entry VMs limit their total probe rate, so that neither the probes that an
    entry VM sends nor those that a server receives grow without bound with the fleet.

    Examples
    --------
    >>> schedule = ProbeSchedule()
    >>> schedule.declare(0, ('a1', 'a2'))
    >>> schedule.due(5)
    ('a1',)
    """

    def __init__(self) -> None:
        self._due_ms: dict[str, float] = {}
        self._owned: frozenset[str] = frozenset()
        self._probes: Counter[str] = Counter()

    def declare(self, now_ms: float, servers: Iterable[str]) -> None:
        """Set the declared servers; new ones are probed first."""
        known = self._due_ms
        self._due_ms = {
            server: known.get(server, now_ms + index * FIRST_SPREAD_MS)
            for index, server in enumerate(servers)
        }

    def update_owned(self, now_ms: float, servers: frozenset[str]) -> None:
        """Set the owned servers; newly owned ones fall due within their interval."""
        for server in servers - self._owned:
            if server in self._due_ms:
                soon_ms = now_ms + OWNED_INTERVAL_MS
                self._due_ms[server] = min(self._due_ms[server], soon_ms)
        self._owned = servers

    def make_due(self, now_ms: float, server: str) -> None:
        """Make a known server due now, as its replies imply a new state."""
        if server in self._due_ms:
            self._due_ms[server] = now_ms

    def due(self, now_ms: float) -> tuple[str, ...]:
        """Return the servers to probe now, and schedule their next probes."""
        ready = sorted(
            (due_ms, server)
            for server, due_ms in self._due_ms.items()
            if due_ms <= now_ms
        )
        chosen = tuple(server for _, server in ready[:PROBES_PER_STEP])
        for server in chosen:
            self._due_ms[server] = now_ms + self._interval_ms(server)
            self._probes[server] += 1
        return chosen

    def owns(self, server: str) -> bool:
        """Return whether this entry VM owns a server."""
        return server in self._owned

    def wants_load(self, server: str) -> bool:
        """Return whether the probe of a server should also fetch its load."""
        return self.owns(server) and self._probes[server] % LOAD_EVERY == 0

    def _interval_ms(self, server: str) -> float:
        if self.owns(server):
            return OWNED_INTERVAL_MS
        min_interval_ms = OTHER_INTERVAL_MS if self._owned else OTHER_INTERVAL_MIN_MS
        return max(min_interval_ms, len(self._due_ms) * OTHER_SPACING_MS)
