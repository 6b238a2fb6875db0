"""Subject: configuration change by one operator, possibly racing another's."""

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
from tests.matrix.table import (
    Case,
    Fault,
    Finding,
    Subject,
    collect_findings,
    inject_faults,
)

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
OWN_NAMES = ('gogledd', 'canolbarth')


def put(change_id: str, names: tuple[str, ...], state: DataCentreState) -> Change:
    spec = DataCentreSpec(state)
    return Change(
        change_id, tuple(Resource(Kind.DATA_CENTRE, name, spec) for name in names)
    )


@dataclass
class RacingStore(FaultyStore):
    """Store that applies another operator's change before calls of given numbers."""

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
    """One operator's change on a store whose calls fail."""

    store: RacingStore
    step: int = 1

    def number(self, position: int) -> int:
        """Return the call to fail; the second fault of a step hits the next call."""
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
    world.store.races[world.number(position)] = OWN_NAMES[position]


def run_change(case: Case, log_type=ConfigurationLog) -> tuple[Finding, ...]:
    clock = ManualClock()
    memory = MemoryStore(clock)
    before = open_log(memory, clock).apply(
        put('before', (*OWN_NAMES, 'de'), DataCentreState.IN), DEADLINE_MS
    )
    assert isinstance(before, Accepted)
    store = RacingStore(memory, clock=clock)
    world = ChangeWorld(store)
    for number, step in enumerate(STEPS, 1):
        world.step = number
        inject_faults(world, case, step)
    log = log_type(store, clock, clock.pause, random.Random(2), CALL_MS)
    change = put('own', OWN_NAMES, DataCentreState.OUT)
    try:
        outcome = log.apply(change, clock.now_ms() + DEADLINE_MS)
    except Crash:
        outcome = None
    return check_invariants(store, outcome)


def check_invariants(store: RacingStore, outcome) -> tuple[Finding, ...]:
    last_read = store.observe()
    for name, arguments in store.late:
        getattr(store.inner, name)(*arguments)
    final_states = store.observe() or {}
    out = {name for name, state in final_states.items() if state is DataCentreState.OUT}
    own = set(OWN_NAMES) - set(store.raced)
    revisions = store.revisions
    is_inconclusive = isinstance(outcome, NotAccepted) and outcome.maybe
    refused = (
        isinstance(outcome, (NotAccepted, Raced, Missing, Invalid))
        and not is_inconclusive
    )
    accepted = isinstance(outcome, Accepted)
    return collect_findings(
        (
            ('accepted change is applied', accepted and set(OWN_NAMES) - out),
            (
                'rejected change is not applied',
                refused and own and own <= out and outcome,
            ),
            ('revision never decreases', revisions != sorted(revisions) and revisions),
            ('concurrent changes are kept', set(store.raced) - out),
            ('change is atomic', own & out and own - out),
            (
                'other resources are unchanged',
                final_states.get('de') is DataCentreState.OUT,
            ),
            ('configuration stays readable', last_read is None or -1 in revisions),
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
    run_change,
    pairs_max=700,
    repeats_max=400,
)
