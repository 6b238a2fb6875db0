"""Event loop in simulated time that runs many nodes with injected faults."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from cowsliploom.coordination import (
    AnswerFetch,
    AnswerPeer,
    CallPeer,
    ConfigurationAnnounced,
    ConfigurationReceived,
    FetchAnswered,
    FetchFailed,
    FetchRequested,
    FetchUpdates,
    Member,
    MembershipSettings,
    Node,
    NodeCommand,
    PeerAnswered,
    PeerCalled,
    PeerFailed,
    SeedsListed,
    Ticked,
)

TICK_MS = 100
DELAY_MS = (0.3, 3)  # one-way delay, within and between data centres


@dataclass(slots=True, eq=False)
class Vm:
    """Simulated process: a node, its clock and its run state."""

    node: Node
    rate: float
    offset_ms: float
    is_frozen: bool = False
    is_dead: bool = False
    deferred_events: list[Callable[['Vm'], None]] = field(default_factory=list)
    events: list[tuple[float, NodeCommand]] = field(default_factory=list)

    @property
    def me(self) -> Member:
        return self.node.membership.me

    @property
    def is_running(self) -> bool:
        return not (self.is_dead or self.is_frozen)

    def local_ms(self, true_ms: float) -> float:
        return self.offset_ms + true_ms * self.rate


Due = tuple[float, int, Callable[..., None], tuple[Any, ...]]


class SimulatedTime:
    """Run actions in the order of their due times."""

    def __init__(self) -> None:
        self.now_ms: float = 0
        self._queue: list[Due] = []
        self._order = itertools.count()

    def at(self, delay_ms: float, action: Callable[..., None], *arguments: Any) -> None:
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._queue, (due_ms, next(self._order), action, arguments))

    def run(self, span_ms: float) -> None:
        end_ms = self.now_ms + span_ms
        while self._queue and self._queue[0][0] <= end_ms:
            due_ms, _, action, arguments = heapq.heappop(self._queue)
            self.now_ms = due_ms
            action(*arguments)
        self.now_ms = end_ms

    def run_until(
        self, condition: Callable[[], bool], span_ms: float, step_ms: float = 100
    ) -> float:
        """Run until the condition holds; return the elapsed time."""
        start_ms = self.now_ms
        while self.now_ms < start_ms + span_ms:
            if condition():
                return self.now_ms - start_ms
            self.run(step_ms)
        assert condition(), f'condition not met within {span_ms} ms'
        return self.now_ms - start_ms


Request = tuple[Vm, tuple[Any, ...], tuple[Any, ...]]


class SimulatedNetwork(SimulatedTime):
    """Deliver calls and answers with delay, loss and partitions."""

    def __init__(self, seed: int, loss: float) -> None:
        super().__init__()
        self.loss = loss
        self.random = random.Random(seed)
        self.vms: dict[str, Vm] = {}
        self.counts: Counter[str] = Counter()
        self.on_frame: Callable[[Vm, Any], None] | None = None
        self._cuts: set[tuple[str, str]] = set()
        self._requests: dict[int, Request] = {}
        self._ids = itertools.count(1)

    def cut(self, side: Iterable[str], other: Iterable[str]) -> None:
        """Drop all messages between two groups of VMs."""
        for one in side:
            for two in other:
                self._cuts.update(((one, two), (two, one)))

    def heal(self) -> None:
        self._cuts.clear()

    def _step(self, vm: Vm, event_type: Any, *arguments: Any) -> None:
        raise NotImplementedError

    def _call(
        self,
        vm: Vm,
        address: str,
        call: tuple[Any, ...],
        answer: tuple[Any, ...],
        fail: tuple[Any, ...],
        timeout_ms: float,
    ) -> None:
        self.counts['calls'] += 1
        request_id = next(self._ids)
        self._requests[request_id] = (vm, answer, fail)
        self.at(timeout_ms, self._expire, request_id)
        self._count(vm, call[1])
        self.at(self._delay(), self._arrive, vm, address, call, request_id)

    def _arrive(
        self, vm: Vm, address: str, call: tuple[Any, ...], request_id: int
    ) -> None:
        target = self.vms.get(address)
        if target is None or self._is_lost(vm, target):
            return
        if target.is_dead:
            self._expire(request_id)
            return
        self._step(target, call[0], request_id, call[1])

    def _answer(self, vm: Vm, request_id: int, content: Any) -> None:
        self._count(vm, content)
        self.at(self._delay(), self._return, vm, request_id, content)

    def _return(self, vm: Vm, request_id: int, content: Any) -> None:
        request = self._requests.get(request_id)
        if request is None or self._is_lost(vm, request[0]):
            return
        self._requests.pop(request_id)
        caller, answer, _ = request
        self._step(caller, *answer, content)

    def _expire(self, request_id: int) -> None:
        request = self._requests.pop(request_id, None)
        if request is not None:
            caller, _, fail = request
            self._step(caller, *fail)

    def _is_lost(self, vm: Vm, target: Vm) -> bool:
        names = (vm.me.name, target.me.name)
        return names in self._cuts or self.random.random() < self.loss

    def _delay(self) -> float:
        return self.random.uniform(*DELAY_MS)

    def _count(self, vm: Vm, content: Any) -> None:
        self.counts['messages'] += 1
        if self.on_frame:
            self.on_frame(vm, content)


class FleetLoop(SimulatedNetwork):
    """Run nodes in simulated time, with all randomness from one seed."""

    def __init__(
        self,
        seed: int = 1,
        settings: MembershipSettings | None = None,
        loss: float = 0,
        node_type: type[Node] = Node,
    ) -> None:
        super().__init__(seed, loss)
        self.settings = settings or MembershipSettings()
        self.node_type = node_type
        self.after_step: Callable[[Vm], None] | None = None

    # Faults

    def start(
        self,
        name: str,
        data_centre: str,
        rate: float = 1,
        seeds: tuple[Member, ...] | None = None,
    ) -> Vm:
        """Start a VM, or replace the dead one of this name."""
        incarnation = next(self._ids) * 100
        member = Member(name, name, data_centre, incarnation)
        node = self.node_type(member, self.settings, self.random.getrandbits(32))
        vm = Vm(node, rate, self.random.uniform(0, 1e6))
        self.vms[name] = vm
        self.at(self.random.uniform(0, TICK_MS), self._tick, vm)
        if seeds is not None:
            self.at(0, self.list_seeds, name, seeds)
        return vm

    def list_seeds(self, name: str, seeds: tuple[Member, ...]) -> None:
        own = [seed for seed in seeds if seed.name != name]
        self.feed(name, SeedsListed, tuple(own))

    def listed(self) -> tuple[Member, ...]:
        """Return the members that an up-to-date platform list contains."""
        return tuple(vm.me for vm in self.vms.values() if not vm.is_dead)

    def list_all(self) -> None:
        seeds = self.listed()
        for name, vm in self.vms.items():
            if vm.is_running:
                self.list_seeds(name, seeds)

    def kill(self, name: str) -> None:
        self.vms[name].is_dead = True

    def freeze(self, name: str) -> None:
        self.vms[name].is_frozen = True

    def resume(self, name: str) -> None:
        vm = self.vms[name]
        if not vm.is_frozen:
            return
        vm.is_frozen = False
        deferred_events = vm.deferred_events
        vm.deferred_events = []
        self.random.shuffle(deferred_events)
        if self.after_step:
            self.after_step(vm)
        for step_event in deferred_events:
            step_event(vm)

    # Running

    def feed(self, name: str, event_type: Any, *arguments: Any) -> None:
        """Step a node with an event stamped by the node's clock."""
        self._step(self.vms[name], event_type, *arguments)

    def live_views(self) -> dict[str, frozenset[str]]:
        """Return the names of the live members as seen by each running node."""
        return {
            name: frozenset(
                update.member.name for update in vm.node.membership.live_updates()
            )
            for name, vm in self.vms.items()
            if vm.is_running
        }

    def running(self) -> dict[str, Vm]:
        return {name: vm for name, vm in self.vms.items() if vm.is_running}

    # Event processing

    def _tick(self, vm: Vm) -> None:
        if vm.is_dead:
            return
        self.at(TICK_MS * self.random.uniform(0.9, 1.1), self._tick, vm)
        if not vm.is_frozen:
            self._step(vm, Ticked)

    def _step(self, vm: Vm, event_type: Any, *arguments: Any) -> None:
        if vm.is_dead:
            return
        if vm.is_frozen:
            vm.deferred_events.append(
                lambda resumed: self._step(resumed, event_type, *arguments)
            )
            return
        event = event_type(vm.local_ms(self.now_ms), *arguments)
        for command in vm.node.step(event):
            self._execute(vm, command)
        if self.after_step:
            self.after_step(vm)

    def _execute(self, vm: Vm, command: NodeCommand) -> None:
        match command:
            case CallPeer(call_id, address, frame, timeout_ms):
                fail = (PeerFailed, call_id)
                answer = (PeerAnswered, call_id)
                self._call(vm, address, (PeerCalled, frame), answer, fail, timeout_ms)
            case FetchUpdates(address, request, timeout_ms):
                self._call(
                    vm,
                    address,
                    (FetchRequested, request),
                    (FetchAnswered,),
                    (FetchFailed,),
                    timeout_ms,
                )
            case AnswerPeer(request_id, content) | AnswerFetch(request_id, content):
                self._answer(vm, request_id, content)
            case ConfigurationReceived(revision, blob):
                vm.events.append((self.now_ms, command))
                self._step(vm, ConfigurationAnnounced, revision, blob)
            case _:
                vm.events.append((self.now_ms, command))


def start_fleet(
    loop: FleetLoop, places: Sequence[str], rates: Sequence[float] | None = None
) -> FleetLoop:
    """Start a VM in each data centre of ``places`` and send the platform's list."""
    for number, data_centre in enumerate(places):
        rate = rates[number] if rates else 1.0
        loop.start(f'vm-{number}', data_centre, rate)
    loop.list_all()
    return loop
