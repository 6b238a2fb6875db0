"""When to probe which backend server."""

from collections import Counter
from collections.abc import Iterable

OWNED_INTERVAL_MS = 1000  # leaving servers must be known within 3 s
OTHER_INTERVAL_MIN_MS = 2000  # as long as no owner is known, this finds them
OTHER_SPACING_MS = 40  # keeps probes of others' servers under 2% of a core
OTHER_INTERVAL_MS = 5000  # once owners are known, they tell the others by gossip
LOAD_EVERY = 3  # of the probes of an owned server; load reports lag anyway
FIRST_SPREAD_MS = 10  # probes of new servers start this far apart
PROBES_PER_STEP = 8  # bounds the burst after a pause of the process


class ProbeSchedule:
    """Choose the backend servers that are due for a probe.

    Notes
    -----
    The owner of a server probes it once a second and tells the others of changes
    by gossip. The others probe at a pace bounded in all, so that neither the probes
    of an entry VM nor those on a server grow without bound with the fleet.

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
        """Take the declared servers; new ones are probed first."""
        known = self._due_ms
        self._due_ms = {
            server: known.get(server, now_ms + index * FIRST_SPREAD_MS)
            for index, server in enumerate(servers)
        }

    def update_owned(self, now_ms: float, servers: frozenset[str]) -> None:
        """Take the owned servers; newly owned ones are due soon."""
        for server in servers - self._owned:
            if server in self._due_ms:
                soon_ms = now_ms + OWNED_INTERVAL_MS
                self._due_ms[server] = min(self._due_ms[server], soon_ms)
        self._owned = servers

    def make_due(self, now_ms: float, server: str) -> None:
        """Make a server due now, since its replies have told of a change."""
        if server in self._due_ms:
            self._due_ms[server] = now_ms

    def due(self, now_ms: float) -> tuple[str, ...]:
        """Return the servers to probe now and set their next time."""
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
        """Tell whether this entry VM owns a server."""
        return server in self._owned

    def wants_load(self, server: str) -> bool:
        """Tell whether a server's probe should also ask for its load."""
        return self.owns(server) and self._probes[server] % LOAD_EVERY == 0

    def _interval_ms(self, server: str) -> float:
        if self.owns(server):
            return OWNED_INTERVAL_MS
        least_ms = OTHER_INTERVAL_MS if self._owned else OTHER_INTERVAL_MIN_MS
        return max(least_ms, len(self._due_ms) * OTHER_SPACING_MS)
