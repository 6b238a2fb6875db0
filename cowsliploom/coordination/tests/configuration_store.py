"""Simulated configuration store, and the schedulers that poll and watch it."""

from collections import Counter
from collections.abc import Callable

from cowsliploom.coordination import (
    ConfigurationAnnounced,
    ConfigurationReceived,
    MembersChanged,
    StoreWatchScheduler,
    WatchStore,
)
from cowsliploom.coordination._store_watch import WATCH_WAIT_MS
from cowsliploom.coordination.tests.fleet_loop import TICK_MS, FleetLoop, Vm

STORE_DELAY_MS = 3
SLOW_DELAY_MS = 3000
OUTAGE_TIMEOUT_MS = 1000


def blob_of(revision: int) -> bytes:
    return f'head {revision}{" tail" * 50}'.encode()


class ConfigurationStore:
    """Answer and count polls and watches, with outages and slow answers."""

    def __init__(self, loop: FleetLoop) -> None:
        self.loop = loop
        self.revision = 0
        self.is_out = False
        self.is_slow = False
        self.counts: Counter[str] = Counter()
        self.written_ms: dict[int, float] = {}
        self._waiting: list[Callable[[], None]] = []
        for vm in loop.vms.values():
            self.serve(vm)

    def write(self) -> None:
        self.revision += 1
        self.written_ms[self.revision] = self.loop.now_ms
        waiting = self._waiting
        self._waiting = []
        for answer in waiting:
            answer()

    def serve(self, vm: Vm) -> None:
        """Start the store calls of a VM."""
        scheduler = StoreWatchScheduler(
            vm.me.name, vm.me.data_centre, self.loop.random.getrandbits(32)
        )
        self.loop.at(TICK_MS, self._tick, vm, scheduler, 0)

    def _tick(self, vm: Vm, scheduler: StoreWatchScheduler, seen: int) -> None:
        if vm.is_dead:
            return
        self.loop.at(TICK_MS, self._tick, vm, scheduler, len(vm.events))
        if vm.is_frozen:
            return
        now_ms = vm.local_ms(self.loop.now_ms)
        for _, event in vm.events[seen:]:
            if isinstance(event, MembersChanged):
                scheduler.members_changed(now_ms, event.live)
        call = scheduler.next_call(now_ms, vm.node.dissemination.revision)
        if call is not None:
            self._call(vm, scheduler, call)

    def _call(self, vm: Vm, scheduler: StoreWatchScheduler, call: WatchStore) -> None:
        self.counts['watch' if call.wait_ms else 'poll'] += 1
        if self.is_out:
            self.loop.at(OUTAGE_TIMEOUT_MS, self._end, vm, scheduler.unanswered)
            return
        open_calls = [call]

        def answer() -> None:
            if open_calls:
                open_calls.clear()
                self.loop.at(
                    self._delay_ms(), self._answer, vm, scheduler, self.revision
                )

        if call.wait_ms and self.revision <= call.after_revision:
            self._waiting.append(answer)
            self.loop.at(WATCH_WAIT_MS, answer)
        else:
            answer()

    def _delay_ms(self) -> float:
        slowest_ms = SLOW_DELAY_MS if self.is_slow else STORE_DELAY_MS
        return self.loop.random.uniform(0, slowest_ms)

    def _answer(self, vm: Vm, scheduler: StoreWatchScheduler, revision: int) -> None:
        self._end(vm, scheduler.unanswered if self.is_out else scheduler.answered)
        if revision and not self.is_out:
            name = vm.me.name
            self.loop.feed(name, ConfigurationAnnounced, revision, blob_of(revision))

    def _end(self, vm: Vm, ended: Callable[[float], None]) -> None:
        ended(vm.local_ms(self.loop.now_ms))


class RevisionChecker:
    """Check that revisions in force never decrease and blobs are intact."""

    def __init__(self, loop: FleetLoop) -> None:
        self.loop = loop

    def revisions(self, name: str) -> list[int]:
        return [
            event.revision
            for _, event in self.loop.vms[name].events
            if isinstance(event, ConfigurationReceived)
        ]

    def went_down(self) -> bool:
        return any(
            sorted(set(revisions)) != revisions
            for revisions in map(self.revisions, self.loop.vms)
        )

    def in_force(self, revision: int) -> bool:
        return all(
            vm.node.dissemination.revision >= revision
            for vm in self.loop.running().values()
        )

    def blobs_are_whole(self) -> bool:
        return all(
            event.blob == blob_of(event.revision)
            for vm in self.loop.vms.values()
            for _, event in vm.events
            if isinstance(event, ConfigurationReceived)
        )
