"""Configuration change by one operator while another may race it."""

import random
from dataclasses import dataclass, field
from functools import partial

from cowsliploom.ports import Unanswered
from cowsliploom.resources import (
    Accepted,
    Change,
    ConfigurationLog,
    DataCentreSpec,
    DataCentreState,
    Invalid,
    Kind,
    Missing,
    NotAccepted,
    Raced,
    Resource,
)
from cowsliploom.resources.tests.log_fixtures import (
    CALL_MS,
    Crash,
    FaultyStore,
    ManualClock,
)
from cowsliploom.standins import MemoryStore
from tests.matrix.table import Case, Fault, Finding, Subject, findings, strike

DEADLINE_MS = 5000
OUTAGE_CALLS = 6
LONG_OUTAGE_CALLS = 10_000
STEPS = (
    'read-head',
    'read-chunk-1',
    'read-chunk-2',
    'read-chunk-3',
    'write-chunk-1',
    'write-chunk-2',
    'write-head',
    'collect-read',
    'collect-write',
)
OWN = ('gogledd', 'canolbarth')


def put(change_id: str, names: tuple[str, ...], state: DataCentreState) -> Change:
    spec = DataCentreSpec(state)
    return Change(
        change_id, tuple(Resource(Kind.DATA_CENTRE, name, spec) for name in names)
    )


@dataclass
class RacedStore(FaultyStore):
    """Let another operator's change in before calls of given numbers."""

    clock: ManualClock = field(default_factory=ManualClock)
    races: dict[int, str] = field(default_factory=dict)
    slow: set[int] = field(default_factory=set)
    raced: list[str] = field(default_factory=list)
    revisions: list[int] = field(default_factory=list)

    def observe(self):
        view = open_log(self.inner, self.clock).read()
        if isinstance(view, Unanswered):
            self.revisions.append(-1)
            return None
        self.revisions.append(view.configuration.revision)
        return {
            resource.name: resource.spec.state
            for resource in view.configuration.resources
        }

    def _call(self, name, *arguments):
        number = self.calls + 1
        if number in self.races:
            other = self.races.pop(number)
            change = put(other, (other,), DataCentreState.OUT)
            outcome = open_log(self.inner, self.clock).apply(
                change, self.clock.now_ms() + DEADLINE_MS
            )
            assert isinstance(outcome, Accepted)
            self.raced.append(other)
        outcome = super()._call(name, *arguments)
        self.observe()
        if number in self.slow:
            self.clock.pause(CALL_MS)
            return Unanswered(f'store.{name}', 'store', True, 'slow')
        return outcome


def open_log(store, clock) -> ConfigurationLog:
    return ConfigurationLog(store, clock, clock.pause, random.Random(1), CALL_MS)


@dataclass
class ChangeWorld:
    """One operator's change over a store whose calls fail."""

    store: RacedStore
    step: int = 1

    def number(self, position: int) -> int:
        """Return the call to strike; the second fault of a step hits the next."""
        is_struck = self.step in self.store.faults
        return self.step + position * is_struck


def fail_call(kind: str, world: ChangeWorld, position: int) -> None:
    world.store.faults[world.number(position)] = kind


def outage(calls: int, world: ChangeWorld, _position: int) -> None:
    world.store.faults.update(
        dict.fromkeys(range(world.step, world.step + calls), 'down')
    )


def slow(world: ChangeWorld, _position: int) -> None:
    world.store.slow.add(world.step)


def race(world: ChangeWorld, position: int) -> None:
    world.store.races[world.number(position)] = f'race-{position}'


def race_same(world: ChangeWorld, position: int) -> None:
    world.store.races[world.number(position)] = OWN[position]


def play_change(case: Case, log_type=ConfigurationLog) -> tuple[Finding, ...]:
    clock = ManualClock()
    memory = MemoryStore(clock)
    before = open_log(memory, clock).apply(
        put('before', (*OWN, 'de'), DataCentreState.IN), DEADLINE_MS
    )
    assert isinstance(before, Accepted)
    store = RacedStore(memory, clock=clock)
    world = ChangeWorld(store)
    for number, step in enumerate(STEPS, 1):
        world.step = number
        strike(world, case, step)
    log = log_type(store, clock, clock.pause, random.Random(2), CALL_MS)
    change = put('own', OWN, DataCentreState.OUT)
    try:
        outcome = log.apply(change, clock.now_ms() + DEADLINE_MS)
    except Crash:
        outcome = None
    return judge(store, outcome)


def judge(store: RacedStore, outcome) -> tuple[Finding, ...]:
    told = store.observe()
    for name, arguments in store.late:
        getattr(store.inner, name)(*arguments)
    found = store.observe() or {}
    out = {name for name, state in found.items() if state is DataCentreState.OUT}
    own = set(OWN) - set(store.raced)
    revisions = store.revisions
    unsure = isinstance(outcome, NotAccepted) and outcome.maybe
    refused = isinstance(outcome, (NotAccepted, Raced, Missing, Invalid)) and not unsure
    accepted = isinstance(outcome, Accepted)
    return findings(
        (
            ('accepted is in force', accepted and set(OWN) - out),
            ('a refusal is true', refused and own and own <= out and outcome),
            ('never reverts', revisions != sorted(revisions) and revisions),
            ('others are kept', set(store.raced) - out),
            ('whole or not at all', own & out and own - out),
            ('nothing else changes', found.get('de') is DataCentreState.OUT),
            ('readable throughout', told is None or -1 in revisions),
        )
    )


CHANGE = Subject(
    'change',
    STEPS,
    (
        *(
            Fault(kind, partial(fail_call, kind))
            for kind in ('lost_answer', 'lost_request', 'down', 'late', 'crash')
        ),
        Fault('outage', partial(outage, OUTAGE_CALLS)),
        Fault('long-outage', partial(outage, LONG_OUTAGE_CALLS)),
        Fault('slow', slow),
        Fault('race', race),
        Fault('race-same', race_same),
    ),
    play_change,
    pairs_max=700,
    twice_max=400,
)
