"""Event loop in simulated time, with the routers of entry VMs and fake servers."""

import itertools
import random
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from typing import Any

from cowsliploom.protocol import Ran
from cowsliploom.routing import (
    AnswerQuery,
    AnswerRun,
    CallFailed,
    CancelAttempt,
    ConfigurationApplied,
    EntryCountChanged,
    FailureStep,
    HealthReported,
    LoadReported,
    OwnershipChanged,
    QueryArrived,
    RefuseCaller,
    RetireConnections,
    RunArrived,
    SendRun,
    SendSearch,
    ServersWarm,
    Tick,
)
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.fake_server import FakeServer, Network

TICK_MS = 5.0
PROBE_MS = 200.0
LOCAL_MS = 0.25
REMOTE_MS = 1.5


@dataclass
class Entry:
    """Router of one entry VM, with the answers and refusals to its callers."""

    router: object
    data_centre: str
    is_ticking: bool = False
    sub_requests: int = 0
    answers: dict[str, Any] = field(default_factory=dict)
    refusals: dict[str, Any] = field(default_factory=dict)
    retired: list[object] = field(default_factory=list)
    samples: list[object] = field(default_factory=list)


class Loop:
    """Simulation of entry VMs and servers."""

    def __init__(
        self,
        routers: Any,
        services: int = 20,
        replicas: int = 2,
        seed: int = 1,
        slots: int = 2,
        **options: Any,
    ) -> None:
        self.now_ms = float()
        self.rng = random.Random(seed)
        self.arrived: dict[str, Any] = {}
        self.open_calls: set[str] = set()
        self.silent_calls: set[str] = set()
        self._events: list[Any] = []
        self._order = itertools.count()
        self.network = Network(self)
        self.entries = [Entry(router, router.data_centre) for router in routers]
        self.servers = {}
        for index, replica in itertools.product(range(services), range(replicas)):
            rng = random.Random(f'{seed}/{index}/{replica}')
            server = FakeServer(index, replica, services, rng, slots=slots, **options)
            self.servers[server.name] = server
        self.configuration = samples.make_configuration(services, replicas, slots)
        self._start()

    def at(self, time_ms: float, action: Any, *arguments: Any) -> None:
        heappush(self._events, (time_ms, next(self._order), action, arguments))

    def run(self, until_ms: float) -> None:
        while self._events and self._events[0][0] <= until_ms:
            planned = heappop(self._events)
            self.now_ms = planned[0]
            planned[2](*planned[3])
        self.now_ms = until_ms

    def deliver(self, entry, event):
        for command in entry.router.step(event):
            self._execute(entry, command)
        if entry.is_ticking or entry.router.idle:
            return
        entry.is_ticking = True
        self.at(self.now_ms + TICK_MS, self._tick, entry)

    def deliver_all(self, make_event):
        for entry in self.entries:
            self.deliver(entry, make_event(entry))

    def arrive(self, entry, query_id, search='briefing', limit_ms=200.0):
        self.arrived[query_id] = (self.now_ms, search)
        deadline_ms = self.now_ms + limit_ms
        event = QueryArrived(self.now_ms, query_id, search, 'tap', 'c', deadline_ms)
        self.deliver(entry, event)

    def arrive_run(self, entry, run_id, service='s0', limit_ms=200.0):
        self.arrived[run_id] = (self.now_ms, 'run')
        deadline_ms = self.now_ms + limit_ms
        event = RunArrived(self.now_ms, run_id, service, 'van', 'c', deadline_ms)
        self.deliver(entry, event)

    def plan_arrivals(
        self,
        per_second: float,
        from_ms: float,
        until_ms: float,
        searches: Any = ('briefing',),
    ) -> None:
        """Schedule seeded Poisson arrivals at the entry VMs in round-robin order."""
        time_ms = from_ms
        for number in itertools.count():
            time_ms += self.rng.expovariate(per_second / 1000)
            if time_ms >= until_ms:
                return
            entry = self.entries[number % len(self.entries)]
            search = searches[number // len(self.entries) % len(searches)]
            self.at(time_ms, self.arrive, entry, f'q{from_ms:.0f}-{number}', search)

    def _start(self):
        names = sorted(self.servers)
        for position, entry in enumerate(self.entries):
            owned = frozenset(names[position :: len(self.entries)])
            self.deliver(entry, ConfigurationApplied(0, self.configuration))
            if len(self.entries) > 1 or hasattr(entry.router, 'due_ms'):
                self.deliver(entry, EntryCountChanged(0, len(self.entries)))
                self.deliver(entry, OwnershipChanged(0, owned))
        self._probe()

    def _probe(self):
        for server in self.servers.values():
            if server.is_dead:
                continue
            health = server.health()
            load = server.load()
            for entry in self.entries:
                self.deliver(entry, HealthReported(self.now_ms, server.name, health))
                self.deliver(entry, LoadReported(self.now_ms, server.name, load))
        for sender in self.entries:
            warm = ServersWarm(self.now_ms, sender.router.warm_owned)
            for receiver in self.entries:
                self.deliver(receiver, warm)
        self.at(self.now_ms + PROBE_MS, self._probe)

    def _tick(self, entry):
        entry.is_ticking = False
        self.deliver(entry, Tick(self.now_ms))

    def _execute(self, entry, command):
        match command:
            case SendSearch() | SendRun():
                self._send(entry, command)
            case CancelAttempt():
                self.open_calls.discard(command.call_id)
                delay_ms = self._delay_ms(entry, command.server)
                self.at(self.now_ms + delay_ms, self.network.cancel, command)
            case AnswerQuery():
                entry.answers[command.query_id] = (self.now_ms, command)
            case AnswerRun():
                entry.answers[command.run_id] = (self.now_ms, command)
            case RefuseCaller():
                entry.refusals[command.query_id] = (self.now_ms, command)
            case RetireConnections():
                entry.retired.append(command.server)
                self.servers[command.server].silent_to.discard(id(entry))
            case _:
                entry.samples.append(command)

    def _delay_ms(self, entry, server):
        place = samples.DATA_CENTRES[self.servers[server].replica % 3]
        return LOCAL_MS if place == entry.data_centre else REMOTE_MS

    def _send(self, entry, command):
        entry.sub_requests += 1
        self.open_calls.add(command.call_id)
        delay_ms = self._delay_ms(entry, command.server)
        self.at(self.now_ms + delay_ms, self.network.receive, entry, command)
        self.at(command.deadline_ms, self._time_out, entry, command)

    def _time_out(self, entry, command):
        if command.call_id in self.open_calls | self.silent_calls:
            self.open_calls.discard(command.call_id)
            self.deliver(entry, self.make_failure(command, FailureStep.RECEIVE, True))

    def make_failure(self, command, step, timed_out=False):
        ran = Ran.NO if step is FailureStep.CONNECT else Ran.UNKNOWN
        return CallFailed(
            self.now_ms, command.call_id, command.server, step, ran, timed_out
        )

    def schedule_outcome(self, entry, command, event, after_ms):
        delay_ms = self._delay_ms(entry, command.server) + after_ms
        self.at(self.now_ms + delay_ms, self._deliver_outcome, entry, event)

    def _deliver_outcome(self, entry, event):
        if event.call_id in self.open_calls:
            self.open_calls.discard(event.call_id)
            self.deliver(entry, replace(event, now_ms=self.now_ms))


def summarise(loop: 'Loop', from_ms: float = 0) -> dict[str, float]:
    """Return metrics of the queries that arrived since a time."""
    spent, ratios, late = [], [], 0
    refused = 0
    for entry in loop.entries:
        for query_id, (time_ms, answer) in entry.answers.items():
            arrived_ms, _ = loop.arrived[query_id]
            if arrived_ms < from_ms or isinstance(answer, AnswerRun):
                continue
            spent.append(time_ms - arrived_ms)
            covered = answer.coverage.covered_docs / answer.coverage.total_docs
            ratios.append(covered)
            late += covered < 1
        arrivals = [loop.arrived[name][0] for name in entry.refusals]
        refused += sum(arrived_ms >= from_ms for arrived_ms in arrivals)
    spent.sort()
    return {
        'answers': len(spent),
        'refused': refused,
        'partial': late,
        'p50_ms': _at(spent, 0.5),
        'p99_ms': _at(spent, 0.99),
        'p999_ms': _at(spent, 0.999),
        'coverage': sum(ratios) / len(ratios) if ratios else 0,
    }


def _at(ordered, ratio):
    return ordered[int(ratio * (len(ordered) - 1))] if ordered else 0
