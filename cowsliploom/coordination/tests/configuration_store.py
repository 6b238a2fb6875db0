"""A store of one revision-numbered configuration, and daemons that watch it."""

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
    """Answer polls and watches; count calls; go out and come back."""

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
        """Let a VM's plan call this store from now on."""
        plan = StoreWatchScheduler(
            vm.me.name, vm.me.data_centre, self.loop.random.getrandbits(32)
        )
        self.loop.at(TICK_MS, self._tick, vm, plan, 0)

    def _tick(self, vm: Vm, plan: StoreWatchScheduler, seen: int) -> None:
        if vm.is_dead:
            return
        self.loop.at(TICK_MS, self._tick, vm, plan, len(vm.events))
        if vm.is_frozen:
            return
        now_ms = vm.local_ms(self.loop.now_ms)
        for _, event in vm.events[seen:]:
            if isinstance(event, MembersChanged):
                plan.members_changed(now_ms, event.live)
        call = plan.next_call(now_ms, vm.node.news.revision)
        if call is not None:
            self._call(vm, plan, call)

    def _call(self, vm: Vm, plan: StoreWatchScheduler, call: WatchStore) -> None:
        self.counts['watch' if call.wait_ms else 'poll'] += 1
        if self.is_out:
            self.loop.at(OUTAGE_TIMEOUT_MS, self._end, vm, plan.unanswered)
            return
        open_calls = [call]

        def answer() -> None:
            if open_calls:
                open_calls.clear()
                self.loop.at(self._delay_ms(), self._answer, vm, plan, self.revision)

        if call.wait_ms and self.revision <= call.after_revision:
            self._waiting.append(answer)
            self.loop.at(WATCH_WAIT_MS, answer)
        else:
            answer()

    def _delay_ms(self) -> float:
        slowest_ms = SLOW_DELAY_MS if self.is_slow else STORE_DELAY_MS
        return self.loop.random.uniform(0, slowest_ms)

    def _answer(self, vm: Vm, plan: StoreWatchScheduler, revision: int) -> None:
        self._end(vm, plan.unanswered if self.is_out else plan.answered)
        if revision and not self.is_out:
            name = vm.me.name
            self.loop.feed(name, ConfigurationAnnounced, revision, blob_of(revision))

    def _end(self, vm: Vm, ended: Callable[[float], None]) -> None:
        ended(vm.local_ms(self.loop.now_ms))


class RevisionChecker:
    """Note when each VM had a revision in force, and that none went down."""

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
            vm.node.news.revision >= revision for vm in self.loop.running().values()
        )

    def blobs_are_whole(self) -> bool:
        return all(
            event.blob == blob_of(event.revision)
            for vm in self.loop.vms.values()
            for _, event in vm.events
            if isinstance(event, ConfigurationReceived)
        )
