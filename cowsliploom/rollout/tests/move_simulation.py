"""Simulated version moves: daemons, servers of two versions and a store."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from cowsliploom.daemons._declared_moves import declared_moves
from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import LeaseResult, StoredValue
from cowsliploom.resources import (
    Configuration,
    Kind,
    Resource,
    ServerSpec,
    ServiceSpec,
    VersionMoveSpec,
)
from cowsliploom.rollout import (
    AnnounceFact,
    CallLease,
    FleetView,
    LeaseAnswered,
    MoveState,
    ReadState,
    RecordSample,
    Rollout,
    SharesChanged,
    StateRead,
    StateSwapped,
    SwapState,
)

TICK_MS = 50
GOSSIP_MS = 300
ROUTES = ('briefing', 'certificates')
FINISH_BY_MS = 60_000
OUT = Unanswered('store', 'store', maybe_applied=True, reason='out')


@dataclass(frozen=True)
class Call:
    """Properties of a call that determine its outcome."""

    now_ms: float
    started_ms: float
    share: float
    route: str
    server: str
    is_cold: bool


@dataclass(frozen=True)
class Outcome:
    """Error rate and slowdown of a call of a version."""

    error_rate: float = 0.002
    slowdown: float = 1


Behaviour = Callable[[Call], Outcome]


def good(call: Call) -> Outcome:
    return Outcome()


@dataclass
class FakeStore:
    """In-memory store of the platform with one lease."""

    values: dict[str, tuple[int, str]] = field(default_factory=dict)
    holder: str = ''
    token: int = 0
    expires_ms: float = 0
    out: bool = False
    calls: int = 0

    def lease(self, call, now_ms):
        if now_ms >= self.expires_ms and call.holder != self.holder:
            self.holder = call.holder
            self.token += 1
        if call.holder == self.holder:
            self.expires_ms = now_ms + call.ttl_ms
        return LeaseResult('lease', self.holder, self.token, self.expires_ms, now_ms)

    def read(self, key, now_ms):
        if key not in self.values:
            return Absent(key)
        version, text = self.values[key]
        return StoredValue(key, version, text, now_ms)

    def swap(self, command):
        version = self.values.get(command.move, (0, ''))[0]
        if version != command.expected_version:
            return Conflict(version)
        self.values[command.move] = (version + 1, command.text)
        return Swapped(version + 1)

    def state(self, move='move'):
        if move not in self.values:
            return None
        return msgspec.json.decode(self.values[move][1], type=MoveState)


def configuration(
    finish_by_ms: float = FINISH_BY_MS, servers: int = 2, generation: int = 1
) -> Configuration:
    """Return a service with servers of two versions and a move between them."""
    specs = tuple(
        ServerSpec(f'{version}-{index}', '127.0.0.1:1', 'de', version)
        for version in ('v1', 'v2')
        for index in range(servers)
    )
    seconds = finish_by_ms / 1000
    finish_by = f'1970-01-01T00:{int(seconds // 60):02d}:{seconds % 60:06.3f}+00:00'
    move = VersionMoveSpec('rota', 'v1', 'v2', finish_by, generation)
    return Configuration(
        1,
        (
            Resource(Kind.SERVICE, 'rota', ServiceSpec(specs, 6, 110, 1)),
            Resource(Kind.VERSION_MOVE, 'move', move),
        ),
    )


@dataclass
class MoveSimulation:
    """Simulate a move at a given rate of calls over all daemons."""

    seed: int = 0
    daemons: int = 4
    calls_per_s: float = 200
    servers: int = 2
    finish_by_ms: float = FINISH_BY_MS
    new: Behaviour = good
    old: Behaviour = good
    cold_ms: float = 5000

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.store = FakeStore()
        self.now_ms: float = 0
        self.rollouts = [self.make_rollout(idx) for idx in range(self.daemons)]
        self.shares: list[float] = [0 for _ in range(self.daemons)]
        self.latest_share: float = 0
        self.dead: set[int] = set()
        self.cut: set[int] = set()
        self.facts: list[tuple[float, int, AnnounceFact]] = []
        self.received_generations: list[dict[str, int]] = [
            {} for _ in range(self.daemons)
        ]
        self.calls = 0
        self.new_calls = 0
        self.first_new_ms: dict[str, float] = {}
        self.bad_ms = float('inf')
        self.bad_calls = 0
        self.vetoed_share: float = 0
        self.vetoed_ms = float('inf')
        self.stopped_ms = float('inf')
        self.finished_ms = float('inf')
        self.fact_bytes = 0
        self.visible_to: Callable[[int, float], Iterable[int]] = self._all_daemons
        self.declare(configuration(self.finish_by_ms, self.servers))

    def make_rollout(self, idx: int) -> Rollout:
        """Return a daemon's rollout."""
        return Rollout(f'entry-{idx}', 'a')

    def declare(self, declared: Configuration) -> None:
        for daemon, rollout in enumerate(self.rollouts):
            self.perform(
                daemon,
                rollout.declare(self.now_ms, declared_moves(declared), self.daemons),
            )

    def run(self, until_ms: float) -> 'MoveSimulation':
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self._gossip()
            for daemon in range(self.daemons):
                if daemon not in self.dead:
                    self._run_daemon(daemon)
            self._observe()
        return self

    def perform(self, daemon: int, commands) -> None:
        for command in commands:
            if isinstance(command, SharesChanged):
                self.shares[daemon] = command.shares[0].share
                self.latest_share = max(self.shares) or self.latest_share
            elif isinstance(command, AnnounceFact):
                self._announce(daemon, command)
            else:
                event = self._call_store(command)
                self.perform(daemon, self.rollouts[daemon].step_controller(event))

    def _call_store(self, command):
        self.store.calls += 1
        match command:
            case CallLease(call, sent_ms):
                answer = OUT if self.store.out else self.store.lease(call, self.now_ms)
                return LeaseAnswered(self.now_ms, sent_ms, answer)
            case ReadState(move):
                answer = OUT if self.store.out else self.store.read(move, self.now_ms)
                return StateRead(self.now_ms, move, answer)
            case SwapState(move):
                answer = OUT if self.store.out else self.store.swap(command)
                return StateSwapped(self.now_ms, move, answer)

    def _announce(self, daemon: int, fact: AnnounceFact) -> None:
        self.fact_bytes += len(fact.blob)
        if fact.key.startswith('veto') and self.vetoed_ms > self.now_ms:
            self.vetoed_ms = self.now_ms
            self.vetoed_share = self.latest_share
        for other in self.recipients(fact):
            if other != daemon and not {other, daemon} & self.cut:
                self.facts.append((self.now_ms + GOSSIP_MS, other, fact))

    def recipients(self, fact: AnnounceFact) -> range:
        """Return the daemons that receive a fact."""
        return range(self.daemons)

    def _gossip(self) -> None:
        due = [sent for sent in self.facts if sent[0] <= self.now_ms]
        self.facts = [sent for sent in self.facts if sent[0] > self.now_ms]
        for _, daemon, fact in due:
            if self.received_generations[daemon].get(fact.key, 0) < fact.generation:
                self.received_generations[daemon][fact.key] = fact.generation
                if daemon not in self.dead:
                    commands = self.rollouts[daemon].handle_fact(
                        self.now_ms, fact.key, fact.generation, fact.blob
                    )
                    self.perform(daemon, commands)

    def _run_daemon(self, daemon: int) -> None:
        mean = self.calls_per_s * TICK_MS / 1000 / self.daemons
        calls = int(mean) + (self.rng.random() < mean - int(mean))
        for _ in range(calls):
            self.rollouts[daemon].sample(self._call(daemon))
        members = frozenset(
            f'entry-{idx}' for idx in self.visible_to(daemon, self.now_ms)
        )
        view = FleetView(members, {})
        self.perform(daemon, self.rollouts[daemon].tick(self.now_ms, self.now_ms, view))

    def _all_daemons(self, daemon: int, now_ms: float) -> range:
        return range(self.daemons)

    def _call(self, daemon: int) -> RecordSample:
        share = self.shares[daemon]
        is_new = self.rng.random() < share
        version = 'v2' if is_new else 'v1'
        server = f'{version}-{self.rng.randrange(self.servers)}'
        self.calls += 1
        self.new_calls += is_new
        is_cold = False
        if is_new:
            first_ms = self.first_new_ms.setdefault(server, self.now_ms)
            is_cold = self.now_ms < first_ms + self.cold_ms
        started_ms = min(self.first_new_ms.values(), default=self.now_ms)
        call = Call(
            now_ms=self.now_ms,
            started_ms=started_ms,
            share=share,
            route=self.rng.choice(ROUTES),
            server=server,
            is_cold=is_cold,
        )
        outcome = (self.new if is_new else self.old)(call)
        if is_new and outcome != self.old(call):
            self.bad_ms = min(self.bad_ms, self.now_ms)
            self.bad_calls += 1
        elapsed_ms = self.rng.lognormvariate(1, 0.5) * outcome.slowdown
        if is_cold:
            elapsed_ms *= 3
        return RecordSample(
            now_ms=self.now_ms,
            service='rota',
            route=call.route,
            version=version,
            server=server,
            elapsed_ms=elapsed_ms,
            ok=self.rng.random() >= outcome.error_rate,
            cold=is_cold,
        )

    def _observe(self) -> None:
        live = [share for idx, share in enumerate(self.shares) if idx not in self.dead]
        if self.vetoed_ms < float('inf') and not any(live):
            self.stopped_ms = min(self.stopped_ms, self.now_ms)
        if min(live) >= 1:
            self.finished_ms = min(self.finished_ms, self.now_ms)


def fails(rate: float) -> Behaviour:
    return lambda call: Outcome(error_rate=rate)


def slows(factor: float) -> Behaviour:
    return lambda call: Outcome(slowdown=factor)


def later(after_ms: float, bad: Behaviour) -> Behaviour:
    """Behave badly from some time after the first call of the new version."""
    return lambda call: (
        bad(call) if call.now_ms > call.started_ms + after_ms else Outcome()
    )


def under_load(share: float, bad: Behaviour) -> Behaviour:
    """Behave badly while the share is at least ``share``."""
    return lambda call: bad(call) if call.share >= share else Outcome()


def on_route(route: str, bad: Behaviour) -> Behaviour:
    return lambda call: bad(call) if call.route == route else Outcome()


def on_server(server: str, bad: Behaviour) -> Behaviour:
    return lambda call: bad(call) if call.server == server else Outcome()


def fails_fast(call: Call) -> Outcome:
    return Outcome(error_rate=1, slowdown=0.01)
