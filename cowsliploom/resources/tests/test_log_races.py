"""Concurrent writers with store faults produce a linear history of changes."""

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
    CALL_FAULTS,
    CALL_MS,
    IN,
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
    """One change by one operator, with faults by store call number."""

    operator: int
    resource: int
    with_match: bool
    faults: dict[int, str]


ATTEMPT_LISTS = st.lists(
    st.builds(
        Attempt,
        st.integers(0, 2),
        st.integers(0, 3),
        st.booleans(),
        st.dictionaries(st.integers(1, 8), st.sampled_from(CALL_FAULTS), max_size=3),
    ),
    max_size=12,
)


class RacingStore(FaultyStore):
    """Apply other operators' changes before a writer's swaps."""

    def __init__(self, inner, faults, concurrent_changes):
        super().__init__(inner, faults)
        self.concurrent_changes = concurrent_changes

    def swap(self, key, text, expected_version, timeout_ms):
        if self.concurrent_changes:
            self.concurrent_changes.pop()()
        return super().swap(key, text, expected_version, timeout_ms)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(ATTEMPT_LISTS, st.lists(st.integers(0, 3), max_size=4))
def test_concurrent_writers_with_faults_produce_linear_history(attempts, races):
    clock = ManualClock()
    store = MemoryStore(clock)
    history = HistoryChecker(store, clock)
    for number, attempt in enumerate(attempts):
        concurrent_changes = [
            partial(history.apply_concurrent, resource, f'{number}-{place}')
            for place, resource in enumerate(races)
        ]
        history.attempt(number, attempt, concurrent_changes)
    history.check()


class HistoryChecker:  # noqa: WPS230 (one attribute per checked property)
    """Apply changes to one store and check it against a sequential model."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.accepted = {}
        self.rejected = set()
        self.changes = {}
        self.known_revisions = {}
        self.revision = 0

    def apply_concurrent(self, resource, tag):
        log = open_log(self.store, self.clock, seed=5)
        change = put(f'race-{tag}', data_centre(f'dc-{resource}', self._spec(tag)))
        self._check_outcome(change, log.apply(change, self.clock.time_ms + 1000))

    def attempt(self, number, attempt, concurrent_changes):
        name = f'dc-{attempt.resource}'
        match = self.known_revisions.get(name, 0) if attempt.with_match else 0
        change = put(f'change-{number}', data_centre(name, self._spec(number), match))
        faulty = RacingStore(self.store, attempt.faults, concurrent_changes)
        log = open_log(faulty, self.clock, seed=number)
        self._check_outcome(change, log.apply(change, self.clock.time_ms + 1000))

    def check(self):
        found = self.store.read(HEAD_KEY, CALL_MS)
        head = decode_head(getattr(found, 'value', '{}'))
        recorded = {record.change_id: record.revision for record in head.changes}
        assert len(recorded) == head.revision
        for change_id, revision in self.accepted.items():
            assert recorded[change_id] == revision
        assert not self.rejected & recorded.keys()
        expected_state = {}
        for change_id in recorded:
            for resource in self.changes[change_id].puts:
                expected_state[resource.name] = resource.spec
        assert names_of(self.store) == expected_state

    def _spec(self, _tag):
        return OUT if len(self.accepted) % 2 else IN

    def _check_outcome(self, change, outcome):
        self.changes[change.change_id] = change
        match outcome:
            case Accepted(revision):
                assert revision not in self.accepted.values()
                self.accepted[change.change_id] = revision
            case NotAccepted(maybe=True):
                return
            case _:
                self.rejected.add(change.change_id)
        now = read_configuration(self.store, CALL_MS)
        assert now.revision >= self.revision
        self.revision = now.revision
        self.known_revisions = {found.name: found.revision for found in now.resources}
