"""Backend servers in simulated time."""

import random
from dataclasses import dataclass, field, replace

from cowsliploom.protocol import (
    CallRefusal,
    LoadReport,
    Ran,
    RefusalReason,
    RunReply,
    ServerState,
)
from cowsliploom.routing import (
    CallRefused,
    FailureStep,
    RunReplied,
    SearchReplied,
    SendRun,
    SendSearch,
)
from cowsliploom.routing.tests import samples

CONNECT_FAIL_MS = 0.5


@dataclass
class FakeServer:
    """Backend server that processes calls in simulated time, with fault switches."""

    index: int
    replica: int
    services: int
    rng: random.Random
    slots: int = 2
    waiting_max: int = 2
    work_ms: float = 4.0
    straggler_ratio: float = 0
    straggler_ms: float = 80.0
    state: ServerState = ServerState.LIVE
    incarnation: str = 'i1'
    version: str = 'v1'
    snapshots: tuple[int, ...] = (1,)
    is_dead: bool = False
    is_failing: bool = False
    is_resetting: bool = False
    capacity: int = 1
    warm_after: int = 40
    reports_live: bool = False
    silent_to: set[int] = field(default_factory=set)
    working: dict[str, object] = field(default_factory=dict)
    waiting: list[object] = field(default_factory=list)
    run_log: list[str] = field(default_factory=list)
    received: int = 0
    cold_overloads: int = 0
    served_cold: int = 0
    slowdown: float = 1.0

    @property
    def name(self):
        return samples.server_name(self.index, self.replica)

    @property
    def reported_state(self):
        return ServerState.LIVE if self.reports_live else self.state

    def turn_cold(self, incarnation: str | None = None) -> None:
        self.state = ServerState.COLD
        self.incarnation = incarnation or self.incarnation
        self.served_cold = 0
        self.capacity = 1

    def draw_ms(self):
        if self.rng.random() < self.straggler_ratio:
            return self.straggler_ms
        factor = 3.0 if self.state is ServerState.COLD else 1.0
        jitter = self.rng.lognormvariate(0, 0.25)
        return self.work_ms * jitter * factor * self.slowdown

    def health(self):
        return replace(
            samples.make_health(
                self.index, self.replica, self.services, self.snapshots
            ),
            incarnation=self.incarnation,
            version=self.version,
            state=self.reported_state,
        )

    def load(self):
        is_cold = self.state is ServerState.COLD
        capacity = self.capacity if is_cold else self.slots
        return LoadReport(self.name, self.slots, len(self.working), 1, 25, capacity)


class Network:
    """Network that delivers calls to fake servers and returns their outcomes."""

    def __init__(self, loop):
        self._loop = loop

    def receive(self, entry, command):
        server = self._loop.servers[command.server]
        if server.is_dead:
            failure = self._loop.make_failure(command, FailureStep.CONNECT)
            self._loop.schedule_outcome(entry, command, failure, CONNECT_FAIL_MS)
            return
        server.received += 1
        if id(entry) in server.silent_to:
            self._loop.silent_calls.add(command.call_id)
            return
        reason = self._refusal_reason(server, command)
        if reason:
            self._refuse(entry, command, server, reason)
        elif len(server.working) < server.slots:
            self._work(entry, command, server)
        else:
            server.waiting.append((entry, command))

    def _refusal_reason(self, server, command):
        if server.state is ServerState.LEAVING:
            return RefusalReason.LEAVING
        if server.state is ServerState.COLD and len(server.working) >= server.capacity:
            server.cold_overloads += 1
            return RefusalReason.COLD
        if isinstance(command, SendSearch):
            if command.call.snapshot not in server.snapshots:
                return RefusalReason.SNAPSHOT_GONE
        if server.is_failing:
            return RefusalReason.FAILED
        if len(server.working) + len(server.waiting) >= (
            server.slots + server.waiting_max
        ):
            return RefusalReason.SHED
        return None

    def _refuse(self, entry, command, server, reason):
        ran = Ran.UNKNOWN if reason is RefusalReason.FAILED else Ran.NO
        state = server.reported_state
        refusal = CallRefusal(
            command.call_id, reason, ran, server.incarnation, server.version, state
        )
        event = CallRefused(self._loop.now_ms, command.call_id, server.name, refusal)
        self._loop.schedule_outcome(entry, command, event, 0.1)

    def _work(self, entry, command, server):
        server.working[command.call_id] = command
        if isinstance(command, SendRun):
            server.run_log.append(command.call_id)
        end_ms = self._loop.now_ms + server.draw_ms()
        self._loop.at(end_ms, self._finish, entry, command, server)

    def _finish(self, entry, command, server):
        if server.working.pop(command.call_id, None) is None:
            return
        self._serve_next(server)
        if server.is_dead:
            return
        if server.state is ServerState.COLD:
            server.served_cold += 1
            server.capacity = 1 + server.served_cold * server.slots // server.warm_after
            if server.served_cold >= server.warm_after:
                server.state = ServerState.LIVE
        event = self._reply(command, server)
        if server.is_resetting:
            event = self._loop.make_failure(command, FailureStep.RECEIVE)
        self._loop.schedule_outcome(entry, command, event, 0)

    def _reply(self, command, server):
        facts = {
            'version': server.version,
            'incarnation': server.incarnation,
            'state': server.reported_state,
        }
        if isinstance(command, SendRun):
            call = command.call
            reply = RunReply(call.request_id, call.service, 'booked', **facts)
            return RunReplied(self._loop.now_ms, command.call_id, server.name, reply)
        reply = samples.make_reply(command.call, **facts)
        return SearchReplied(self._loop.now_ms, command.call_id, server.name, reply)

    def cancel(self, command):
        server = self._loop.servers[command.server]
        server.waiting = [
            pair for pair in server.waiting if pair[1].call_id != command.call_id
        ]
        if server.working.pop(command.call_id, None) is not None:
            self._serve_next(server)

    def _serve_next(self, server):
        if server.waiting:
            entry, command = server.waiting.pop(0)
            self._work(entry, command, server)
