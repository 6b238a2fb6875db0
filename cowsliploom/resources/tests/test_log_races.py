"""Operators that race each other, with faults on their calls, make one history."""

from dataclasses import dataclass
from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st

from cowsliploom.resources import (
    HEAD_KEY,
    Accepted,
    NotAccepted,
    read_configuration,
)
from cowsliploom.resources._layout import decode_head
from cowsliploom.resources.tests.log_fixtures import (
    CALL_MS,
    IN,
    LOSSES,
    OUT,
    FaultyStore,
    ManualClock,
    data_centre,
    names_of,
    open_log,
    put,
)
from cowsliploom.standins import MemoryStore


@dataclass(frozen=True)
class Attempt:
    """One change by one of the operators, with faults on its calls."""

    operator: int
    resource: int
    with_match: bool
    faults: dict[int, str]


ATTEMPTS = st.lists(
    st.builds(
        Attempt,
        st.integers(0, 2),
        st.integers(0, 3),
        st.booleans(),
        st.dictionaries(st.integers(1, 8), st.sampled_from(LOSSES), max_size=3),
    ),
    max_size=12,
)


class RacingStore(FaultyStore):
    """Let other operators' changes in between a writer's calls."""

    def __init__(self, inner, faults, between):
        super().__init__(inner, faults)
        self.between = between

    def swap(self, key, text, expected_version, timeout_ms):
        if self.between:
            self.between.pop()()
        return super().swap(key, text, expected_version, timeout_ms)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(ATTEMPTS, st.lists(st.integers(0, 3), max_size=4))
def test_racing_operators_make_one_history(attempts, races):
    clock = ManualClock()
    store = MemoryStore(clock)
    history = History(store, clock)
    for number, attempt in enumerate(attempts):
        between = [
            partial(history.race, race, f'{number}-{place}')
            for place, race in enumerate(races)
        ]
        history.attempt(number, attempt, between)
    history.check()


class History:  # noqa: WPS230 (one for each thing that is judged)
    """Drive operators on one store and judge them against a register."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.accepted = {}
        self.refused = set()
        self.changes = {}
        self.seen = {}
        self.revision = 0

    def race(self, resource, tag):
        log = open_log(self.store, self.clock, seed=5)
        change = put(f'race-{tag}', data_centre(f'dc-{resource}', self._spec(tag)))
        self._judge(change, log.apply(change, self.clock.time_ms + 1000))

    def attempt(self, number, attempt, between):
        name = f'dc-{attempt.resource}'
        match = self.seen.get(name, 0) if attempt.with_match else 0
        change = put(f'change-{number}', data_centre(name, self._spec(number), match))
        faulty = RacingStore(self.store, attempt.faults, between)
        log = open_log(faulty, self.clock, seed=number)
        self._judge(change, log.apply(change, self.clock.time_ms + 1000))

    def check(self):
        found = self.store.read(HEAD_KEY, CALL_MS)
        head = decode_head(getattr(found, 'value', '{}'))
        recorded = {record.change_id: record.revision for record in head.changes}
        assert len(recorded) == head.revision
        for change_id, revision in self.accepted.items():
            assert recorded[change_id] == revision
        assert not self.refused & recorded.keys()
        register = {}
        for change_id in recorded:
            for resource in self.changes[change_id].puts:
                register[resource.name] = resource.spec
        assert names_of(self.store) == register

    def _spec(self, _tag):
        return OUT if len(self.accepted) % 2 else IN

    def _judge(self, change, outcome):
        self.changes[change.change_id] = change
        match outcome:
            case Accepted(revision):
                assert revision not in self.accepted.values()
                self.accepted[change.change_id] = revision
            case NotAccepted(maybe=True):
                return
            case _:
                self.refused.add(change.change_id)
        now = read_configuration(self.store, CALL_MS)
        assert now.revision >= self.revision
        self.revision = now.revision
        self.seen = {found.name: found.revision for found in now.resources}
