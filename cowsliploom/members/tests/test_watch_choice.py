"""Which members watch the store when a fleet starts, and during an outage.

The load pattern: hundreds of VMs start within 0.3 s, or find the store silent at the
same moment, and all would read it at once.
"""

import heapq
import random
from dataclasses import dataclass, field

import pytest

from cowsliploom.members import (
    STALE_MS,
    LivenessRecord,
    Member,
    MembershipTable,
    WatcherLiveness,
    WatchInputs,
    chosen_watchers,
    must_watch,
)
from cowsliploom.members._watch_choice import TAKEOVER_STEP_MS

DATA_CENTRES = ('a', 'b', 'c', 'd', 'e')
VMS = 195
APPLY_MS = 6000
START_MS = 300  # within which all VMs start
READ_MS = 50
CHECK_MS = 200
EXCHANGE_MS = 500
FAST_EXCHANGE_MS = 120
UNKNOWN_MS = 1e9


@dataclass
class Vm:
    """One VM: its members, what it knows of the store, and whether it has read it."""

    table: MembershipTable
    started_ms: float
    liveness: WatcherLiveness = field(default_factory=lambda: WatcherLiveness(APPLY_MS))
    confirmed_ms: float = -UNKNOWN_MS
    reads: int = 0

    def watches(self, now_ms):
        """Return whether this VM watches the store."""
        own = self.table.own
        live = self.table.live(now_ms)
        ranked = chosen_watchers(live, own.data_centre, len(live))
        inputs = WatchInputs(
            rank=ranked.index(own.name),
            is_seed=own.address in self.table.seeds,
            has_seen_peer=self.table.has_seen_peer,
            up_ms=now_ms - self.started_ms,
            has_contents=self.confirmed_ms > -UNKNOWN_MS,
            confirmed_age_ms=now_ms - self.confirmed_ms,
        )
        return must_watch(inputs, self.liveness, now_ms)


class StartingFleet:
    """VMs that start together, exchange members and contents, and read the store."""

    def __init__(self, seed, dead_seeds=False, store_until_ms=UNKNOWN_MS):
        generator = random.Random(seed)
        members = [
            Member(f'vm-{at}', f'vm-{at}:1', DATA_CENTRES[at % len(DATA_CENTRES)])
            for at in range(VMS)
        ]
        names = [f'gone-{at}:1' for at in range(3)]
        if not dead_seeds:
            names = [one.address for one in generator.sample(members, 3)]
        self.store_until_ms = store_until_ms
        self.random = generator
        self.vms = {
            one.address: Vm(
                MembershipTable(one, tuple(names), at), generator.uniform(0, START_MS)
            )
            for at, one in enumerate(members)
        }
        if dead_seeds:  # they are found by others, as a restarted VM is
            self._introduce(members)

    def _introduce(self, members):
        for vm in self.vms.values():
            met = self.random.sample(members, 3)
            vm.table.record((LivenessRecord(one, 0) for one in met), vm.started_ms)

    def run(self, until_ms):
        """Play exchanges and checks in the order of their times."""
        due = []
        for number, (address, vm) in enumerate(self.vms.items()):
            heapq.heappush(due, (vm.started_ms, number, 'check', address))
            heapq.heappush(due, (vm.started_ms, number, 'exchange', address))
        while due[0][0] < until_ms:
            now_ms, number, what, address = heapq.heappop(due)
            vm = self.vms[address]
            if what == 'check':
                pause_ms = self._check(vm, now_ms)
            else:
                pause_ms = self._exchange(vm, now_ms)
            heapq.heappush(due, (now_ms + pause_ms, number, what, address))
        return self

    def readers(self):
        """Return how many VMs have read the store."""
        return sum(vm.reads > 0 for vm in self.vms.values())

    def _check(self, vm, now_ms):
        if not vm.watches(now_ms):
            return CHECK_MS
        vm.reads += 1
        if now_ms < self.store_until_ms:
            vm.confirmed_ms = now_ms
            vm.liveness.store_answered(now_ms)
        return READ_MS + CHECK_MS

    def _exchange(self, vm, now_ms):
        address = vm.table.partner(now_ms)
        other = self.vms.get(address)
        if other is not None and other.started_ms <= now_ms:
            for sender, receiver in ((vm, other), (other, vm)):
                self._send(sender, receiver, now_ms)
        is_fast = not vm.table.has_seen_peer or vm.confirmed_ms < 0
        pause_ms = FAST_EXCHANGE_MS if is_fast else EXCHANGE_MS
        return pause_ms * self.random.uniform(0.7, 1.3)

    def _send(self, sender, receiver, now_ms):
        records = sender.table.liveness_records(now_ms)
        receiver.table.record(records, now_ms)
        age_ms = sender.liveness.age_ms(now_ms)
        if sender.watches(now_ms):
            age_ms = sender.liveness.reported_age_ms(now_ms)
        receiver.liveness.record(age_ms, now_ms)
        receiver.confirmed_ms = max(receiver.confirmed_ms, sender.confirmed_ms)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_few_members_read_the_store_when_a_fleet_starts(seed):
    """All 195 read it whole before."""
    fleet = StartingFleet(seed).run(6000)
    assert fleet.readers() <= 4 * len(DATA_CENTRES)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_all_members_have_the_contents_soon_after_a_start(seed):
    fleet = StartingFleet(seed).run(3000)
    assert all(vm.confirmed_ms > 0 for vm in fleet.vms.values())


@pytest.mark.parametrize('seed', [1, 2])
def test_members_read_the_store_themselves_when_the_seeds_are_gone(seed):
    fleet = StartingFleet(seed, dead_seeds=True).run(4000)
    assert all(vm.confirmed_ms > 0 for vm in fleet.vms.values())


def test_members_ask_a_silent_store_one_after_the_other():
    """All 195 asked it twice a second each, from 6.5 s after its last answer on."""
    out_ms, outage_ms = 6000, 9000
    fleet = StartingFleet(1, store_until_ms=out_ms).run(out_ms)
    before = {address: vm.reads for address, vm in fleet.vms.items()}
    fleet.run(out_ms + outage_ms)
    asked = sum(vm.reads > before[address] for address, vm in fleet.vms.items())
    ranks = 1 + (outage_ms - STALE_MS) // TAKEOVER_STEP_MS
    assert asked <= len(DATA_CENTRES) * (ranks + 1)  # ranks may differ for a moment


ALONE = WatchInputs(
    rank=0,
    is_seed=False,
    has_seen_peer=False,
    up_ms=600,
    has_contents=False,
    confirmed_age_ms=UNKNOWN_MS,
)


def test_member_that_reaches_no_other_reads_the_store_soon():
    assert must_watch(ALONE, WatcherLiveness(APPLY_MS), 600)
