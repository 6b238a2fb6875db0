"""Entry VMs that send all the extra calls they may, while single ones are lost."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cowsliploom.forwarding import ExtraBudget
from cowsliploom.forwarding._budget import MEMORY_RATIO
from cowsliploom.members import Acquaintances, FleetShare, Member, Sighting

RATIO = 0.2
CONSTANT = 56
WINDOW_MS = 10_000
STEP_MS = 100
GOSSIP_MS = 500
SETTLED_MS = 12_000  # traffic begins this long after the processes


def divided_share(entry):
    """Return the share that the entry VM takes."""
    return entry.share.of_bound(entry.now_ms, WINDOW_MS * MEMORY_RATIO)


def live_share(entry):
    """Return a share by who is live now, which is what broke the bound."""
    return 1 / len(entry.known.live(entry.now_ms))


@dataclass
class Entry:
    """One entry VM's process."""

    name: str
    names: tuple[str, ...]
    now_ms: float
    group: int = 0
    frozen_until_ms: float = 0
    down_until_ms: float = 0
    budget: ExtraBudget = field(init=False)
    known: Acquaintances = field(init=False)
    share: FleetShare = field(init=False)

    def __post_init__(self):
        """Start with nothing known."""
        self.restart()

    def restart(self):
        """Start a process anew: what it knew is gone."""
        own = Member(self.name, f'{self.name}:1', 'de')
        seeds = tuple(f'{name}:1' for name in self.names[:3])
        self.known = Acquaintances(own, seeds, seed=1)
        self.share = FleetShare(self.name, self.now_ms)
        self.budget = ExtraBudget(RATIO, CONSTANT, WINDOW_MS)

    def runs(self, now_ms):
        """Tell whether the process runs now."""
        return now_ms >= max(self.frozen_until_ms, self.down_until_ms)


class FleetWorld:
    """Entry VMs that hear of each other and get requests.

    Parameters
    ----------
    names : tuple of str
        Entry VMs at the start.
    share_of : callable
        Returns the share that an entry VM uses.
    """

    def __init__(self, names, share_of: Callable[[Entry], float] = divided_share):
        self.now_ms = 0
        self.is_calm = False  # no call fails, so that none is sent again
        self.share_of = share_of
        self.entries = {name: Entry(name, names, 0) for name in names}
        self.requests: list[float] = []
        self.extra: list[float] = []

    def kill(self, name, down_ms=500):
        """End a process; it starts again by itself."""
        entry = self.entries[name]
        entry.down_until_ms = self.now_ms + down_ms
        entry.now_ms = entry.down_until_ms
        entry.restart()

    def freeze(self, name, for_ms):
        """Let a process stand still."""
        self.entries[name].frozen_until_ms = self.now_ms + for_ms

    def cut(self, names, group):
        """Move entry VMs to a group that hears of nobody outside."""
        for name in names:
            self.entries[name].group = group

    def add(self, name):
        """Add an entry VM."""
        entry = Entry(name, tuple(self.entries), self.now_ms)
        self.entries[name] = entry

    def remove(self, name):
        """Remove an entry VM for good."""
        self.entries.pop(name)

    def step(self, requests=1):
        """Let time pass: hear others, get requests, send all that is allowed.

        Requests to those that do not run come to the others.
        """
        self.now_ms += STEP_MS
        running = [entry for entry in self.entries.values() if entry.runs(self.now_ms)]
        for entry in running:
            entry.now_ms = self.now_ms
        if self.now_ms % GOSSIP_MS == 0:
            self._hear(running)
        if self.now_ms > SETTLED_MS:
            for number in range(requests * len(self.entries) if running else 0):
                self._earn(running[number % len(running)])
            for entry in running:
                self._spend(entry)

    def run(self, for_ms, requests=1):
        """Let time pass in steps."""
        for _ in range(int(for_ms // STEP_MS)):
            self.step(requests)

    def excess(self):
        """Return by how much the worst window passes the bound; negative if none."""
        return max(
            (self._excess_from(start_ms) for start_ms in sorted(set(self.extra))),
            default=-CONSTANT,
        )

    def most_extra(self):
        """Return the most extra calls in a window."""
        return max(self._count(self.extra, start_ms) for start_ms in set(self.extra))

    def _hear(self, running):
        for entry in running:
            heard = [
                Sighting(other.known.own, 0)
                for other in running
                if other.group == entry.group
            ]
            entry.known.hear(heard, self.now_ms)
            entry.known.sightings(self.now_ms)  # forgets the silent
            names = (member.name for member in entry.known.remembered())
            entry.share.hear(names, self.now_ms)

    def _earn(self, entry):
        entry.budget.earn(self.now_ms)
        self.requests.append(self.now_ms)

    def _spend(self, entry):
        share = self.share_of(entry)
        while not self.is_calm and entry.budget.may_spend(self.now_ms, share):
            entry.budget.spend(self.now_ms)
            self.extra.append(self.now_ms)

    def _excess_from(self, start_ms):
        requests = max(
            self._count(self.requests, start_ms - earlier_ms)
            for earlier_ms in (0, WINDOW_MS / 2, WINDOW_MS)
        )
        allowed = RATIO * requests + CONSTANT
        return self._count(self.extra, start_ms) - allowed

    def _count(self, moments, start_ms):
        return sum(start_ms <= at < start_ms + WINDOW_MS for at in moments)
