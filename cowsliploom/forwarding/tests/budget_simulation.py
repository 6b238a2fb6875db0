"""Simulated entry VMs that send all allowed extra calls, under faults."""

import random
from collections import deque
from dataclasses import dataclass, field

from cowsliploom.forwarding import BudgetRules, ConstantShare, ServiceBudgets
from cowsliploom.forwarding.tests.extra_calls import ExtraBound
from cowsliploom.members import FleetShare, LivenessRecord, Member, MembershipTable

RATIO = 0.2
CONSTANT = 56
WINDOW_MS = 10_000
STEP_MS = 100
GOSSIP_MS = 500
ARRIVAL_LAG_MS = 500  # by which an extra call arrives after it was sent, at most
SETTLED_MS = 12_000  # traffic starts this long after the processes
RULES = BudgetRules(RATIO, CONSTANT, WINDOW_MS)
BOUND = ExtraBound(RATIO, CONSTANT, WINDOW_MS)


def product_share(entry):
    """Return the share as the product computes it."""
    return entry.share.bound_fraction(entry.known.seeds)


def live_share(entry):
    """Return a share computed from the members that are live now."""
    return 1 / len(entry.known.live(entry.now_ms))


def unseeded_share(entry):
    """Return a share computed from known members, regardless of the seeds."""
    return 1 / entry.share.counted(())


def token_budget(entry, share_of=product_share, settled_ms=RULES.memory_ms):
    """Return the product's budget, or one that lacks a part of its rule."""
    budgets = ServiceBudgets(RULES)
    started_ms = entry.now_ms
    budgets.read_share = lambda: ConstantShare(
        share_of(entry), entry.now_ms - started_ms >= settled_ms
    )
    return budgets.of_service('service')


class WindowBudget:
    """Allow the ratio of all local requests in a window, and a share of the constant.

    This is the rule of earlier versions: a process may at any time spend what its
    requests of a whole window earn.
    """

    def __init__(self, entry, share_of):
        self._entry = entry
        self._share_of = share_of
        self._requests = deque()
        self._spent = deque()

    @property
    def may_spend(self):
        """Whether one more extra call may be sent."""
        now_ms = self._entry.now_ms
        _forget(self._requests, now_ms - WINDOW_MS)
        _forget(self._spent, now_ms - 1.1 * WINDOW_MS)
        constant = CONSTANT * self._share_of(self._entry)
        return len(self._spent) + 1 <= RATIO * len(self._requests) + constant

    def earn(self):
        """Count a request."""
        self._requests.append(self._entry.now_ms)

    def spend(self):
        """Count an extra call."""
        self._spent.append(self._entry.now_ms)


def _forget(times, end_ms):
    while times and times[0] < end_ms:
        times.popleft()


def live_budget(entry):
    """Return a window budget whose share is computed from the live members."""
    return WindowBudget(entry, live_share)


def small_budget(entry):
    """Return a window budget whose share is small enough for all members."""
    return WindowBudget(entry, lambda one: 0.4 / 7)


def unpaid_budget(entry):
    """Return a window budget without a share of the constant."""
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
        """Start without knowledge of other members."""
        self.restart()

    def restart(self):
        """Restart the process, which loses its state."""
        own = Member(self.name, f'{self.name}:1', 'de')
        seeds = tuple(f'{name}:1' for name in self.names[:3])
        self.known = MembershipTable(own, seeds, seed=1)
        self.share = FleetShare(own)
        self.budget = self.make_budget(self)

    def runs(self, now_ms):
        """Return whether the process runs now."""
        return now_ms >= max(self.frozen_until_ms, self.down_until_ms)


class FleetSimulation:
    """Entry VMs that gossip and receive requests.

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
        self.calls_succeed = False  # no extra call is sent
        self.make_budget = make_budget
        self.entries = {name: Entry(name, names, 0, make_budget) for name in names}
        self.requests: list[float] = []
        self.extra: list[float] = []
        self._arrival_lag = random.Random(1)

    def kill(self, name, down_ms=500):
        """Kill a process; it restarts by itself."""
        entry = self.entries[name]
        entry.down_until_ms = self.now_ms + down_ms
        entry.now_ms = entry.down_until_ms
        entry.restart()

    def freeze(self, name, for_ms):
        """Freeze a process."""
        self.entries[name].frozen_until_ms = self.now_ms + for_ms

    def partition(self, names, group):
        """Move entry VMs to a group that gossips only among itself."""
        for name in names:
            self.entries[name].group = group

    def add(self, name, group=0):
        """Add an entry VM."""
        entry = Entry(name, self.names, self.now_ms, self.make_budget, group)
        self.entries[name] = entry

    def remove(self, name):
        """Remove an entry VM permanently."""
        self.entries.pop(name)

    def step(self, requests=1):
        """Advance time: gossip, receive requests, send all allowed extra calls.

        Requests to processes that do not run go to the others.
        """
        self.now_ms += STEP_MS
        running = [entry for entry in self.entries.values() if entry.runs(self.now_ms)]
        for entry in running:
            entry.now_ms = self.now_ms
        if self.now_ms % GOSSIP_MS == 0:
            self._exchange_gossip(running)
        if self.now_ms > SETTLED_MS:
            for number in range(requests * len(self.entries) if running else 0):
                self._earn(running[number % len(running)])
            for entry in running:
                self._spend(entry)

    def run(self, for_ms, requests=1):
        """Advance time in steps."""
        for _ in range(int(for_ms // STEP_MS)):
            self.step(requests)

    def excess(self):
        """Return the excess over the bound in the worst window; negative if none."""
        return BOUND.excess(self.requests, self.extra)

    def most_extra(self):
        """Return the most extra calls in a window."""
        return BOUND.most(self.extra)

    def _exchange_gossip(self, running):
        for entry in running:
            records = [
                LivenessRecord(other.known.own, 0)
                for other in running
                if other.group == entry.group
            ]
            entry.known.record(records, self.now_ms)
            entry.known.liveness_records(self.now_ms)  # drops silent members
            entry.share.record(entry.known.tracked_peers(), self.now_ms)

    def _earn(self, entry):
        entry.budget.earn()
        self.requests.append(self.now_ms)

    def _spend(self, entry):
        while not self.calls_succeed and entry.budget.may_spend:
            entry.budget.spend()
            self.extra.append(
                self.now_ms + self._arrival_lag.choice((0, ARRIVAL_LAG_MS))
            )
