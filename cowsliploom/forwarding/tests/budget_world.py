"""Entry VMs that send all the extra calls they may, while single ones are lost."""

import random
from collections import deque
from dataclasses import dataclass, field

from cowsliploom.forwarding import BudgetRules, ConstantShare, ServiceBudgets
from cowsliploom.forwarding.tests.extra_calls import ExtraBound
from cowsliploom.members import MembershipTable, FleetShare, Member, LivenessRecord

RATIO = 0.2
CONSTANT = 56
WINDOW_MS = 10_000
STEP_MS = 100
GOSSIP_MS = 500
LATE_MS = 500  # an extra call arrives up to so much after it was sent
SETTLED_MS = 12_000  # traffic begins this long after the processes
RULES = BudgetRules(RATIO, CONSTANT, WINDOW_MS)
BOUND = ExtraBound(RATIO, CONSTANT, WINDOW_MS)


def divided_share(entry):
    """Return the share that the product uses."""
    return entry.share.bound_fraction(entry.known.seeds)


def live_share(entry):
    """Return a share by who is live now."""
    return 1 / len(entry.known.live(entry.now_ms))


def unseeded_share(entry):
    """Return a share by who was heard of, without a look at the seeds."""
    return 1 / entry.share.counted(())


def token_budget(entry, share_of=divided_share, settled_ms=RULES.memory_ms):
    """Return the budget that the product uses, or one that lacks a part of it."""
    budgets = ServiceBudgets(RULES)
    started_ms = entry.now_ms
    budgets.read_share = lambda: ConstantShare(
        share_of(entry), entry.now_ms - started_ms >= settled_ms
    )
    return budgets.of_service('service')


class WindowBudget:
    """Allow the ratio of all own requests in a window, and a share of the constant.

    This is what earlier versions did: a process may spend at any moment what its
    requests of a whole window pay for.
    """

    def __init__(self, entry, divided):
        self._entry = entry
        self._divided = divided
        self._requests = deque()
        self._spent = deque()

    @property
    def may_spend(self):
        """Tell whether one more extra call may be sent."""
        now_ms = self._entry.now_ms
        _forget(self._requests, now_ms - WINDOW_MS)
        _forget(self._spent, now_ms - 1.1 * WINDOW_MS)
        constant = CONSTANT * self._divided(self._entry)
        return len(self._spent) + 1 <= RATIO * len(self._requests) + constant

    def earn(self):
        """Count a request."""
        self._requests.append(self._entry.now_ms)

    def spend(self):
        """Count an extra call."""
        self._spent.append(self._entry.now_ms)


def _forget(moments, end_ms):
    while moments and moments[0] < end_ms:
        moments.popleft()


def live_budget(entry):
    """Return a budget whose share is by who is live now."""
    return WindowBudget(entry, live_share)


def small_budget(entry):
    """Return a budget whose share is small enough for all, seen or not."""
    return WindowBudget(entry, lambda one: 0.4 / 7)


def unpaid_budget(entry):
    """Return a budget without a share of the constant."""
    return WindowBudget(entry, lambda one: 0)


@dataclass
class Entry:
    """One entry VM's process."""

    name: str
    names: tuple[str, ...]
    now_ms: float
    make_budget: object
    group: int = 0
    frozen_until_ms: float = 0
    down_until_ms: float = 0
    budget: object = field(init=False)
    known: MembershipTable = field(init=False)
    share: FleetShare = field(init=False)

    def __post_init__(self):
        """Start with nothing known."""
        self.restart()

    def restart(self):
        """Start a process anew: what it knew is gone."""
        own = Member(self.name, f'{self.name}:1', 'de')
        seeds = tuple(f'{name}:1' for name in self.names[:3])
        self.known = MembershipTable(own, seeds, seed=1)
        self.share = FleetShare(own)
        self.budget = self.make_budget(self)

    def runs(self, now_ms):
        """Tell whether the process runs now."""
        return now_ms >= max(self.frozen_until_ms, self.down_until_ms)


class FleetWorld:
    """Entry VMs that hear of each other and get requests.

    Parameters
    ----------
    names : tuple of str
        Entry VMs at the start; the first three are seeds.
    make_budget : callable
        Returns the budget of an entry VM's new process.
    """

    def __init__(self, names, make_budget=token_budget):
        self.now_ms = 0
        self.names = names
        self.is_calm = False  # no call fails, so that none is sent again
        self.make_budget = make_budget
        self.entries = {name: Entry(name, names, 0, make_budget) for name in names}
        self.requests: list[float] = []
        self.extra: list[float] = []
        self._lateness = random.Random(1)

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

    def add(self, name, group=0):
        """Add an entry VM."""
        entry = Entry(name, self.names, self.now_ms, self.make_budget, group)
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
        return BOUND.excess(self.requests, self.extra)

    def most_extra(self):
        """Return the most extra calls in a window."""
        return BOUND.most(self.extra)

    def _hear(self, running):
        for entry in running:
            heard = [
                LivenessRecord(other.known.own, 0)
                for other in running
                if other.group == entry.group
            ]
            entry.known.record(heard, self.now_ms)
            entry.known.sightings(self.now_ms)  # forgets the silent
            entry.share.record(entry.known.tracked_peers(), self.now_ms)

    def _earn(self, entry):
        entry.budget.earn()
        self.requests.append(self.now_ms)

    def _spend(self, entry):
        while not self.is_calm and entry.budget.may_spend:
            entry.budget.spend()
            self.extra.append(self.now_ms + self._lateness.choice((0, LATE_MS)))
