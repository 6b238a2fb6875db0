"""Changes are atomic and idempotent, and unknown outcomes are reported as such."""

from dataclasses import replace

import pytest

from cowsliploom.ports import Swapped, Unanswered
from cowsliploom.resources import (
    HEAD_KEY,
    Accepted,
    Change,
    ConfigurationView,
    Invalid,
    Kind,
    Missing,
    NotAccepted,
    Raced,
    Resource,
    ResourceRef,
    SearchSpec,
    read_configuration,
)
from cowsliploom.resources._layout import COLLECT_AFTER_MS, RETIRED_MAX, decode_head
from cowsliploom.resources.tests.log_fixtures import (
    CALL_FAULTS,
    CALL_MS,
    IN,
    OUT,
    Crash,
    FaultyStore,
    ManualClock,
    data_centre,
    names_of,
    open_log,
    put,
)
from cowsliploom.standins import MemoryStore


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return MemoryStore(clock)


FIRST = put('first', data_centre('de'), data_centre('gogledd'))
SECOND = Change(
    'second',
    (data_centre('de', OUT), data_centre('canolbarth')),
    (ResourceRef(Kind.DATA_CENTRE, 'gogledd'),),
)
BEFORE = {'de': IN, 'gogledd': IN}
AFTER = {'de': OUT, 'canolbarth': IN}
SECOND_CALLS_END = 11  # head, chunks and their collection; a higher value is harmless


def test_change_of_several_resources_is_readable_after_apply(store, clock):
    log = open_log(store, clock)
    assert log.apply(FIRST, 100) == Accepted(1)
    assert log.apply(SECOND, 100) == Accepted(2)
    assert names_of(store) == AFTER


def test_unchanged_specification_keeps_its_revision(store, clock):
    log = open_log(store, clock)
    log.apply(FIRST, 100)
    assert log.apply(put('again', data_centre('de')), 100) == Accepted(2)
    revisions = {found.revision for found in log.read().configuration.resources}
    assert revisions == {1}


@pytest.mark.parametrize('call', range(1, SECOND_CALLS_END))
def test_crash_at_any_store_call_keeps_change_atomic(store, clock, call):
    open_log(store, clock).apply(FIRST, 100)
    try:
        open_log(FaultyStore(store, {call: 'crash'}), clock).apply(SECOND, 100)
    except Crash:
        assert names_of(store) in (BEFORE, AFTER)
    assert isinstance(open_log(store, clock).apply(SECOND, 1000), Accepted)
    assert names_of(store) == AFTER
    assert read_configuration(store, CALL_MS).revision == 2


@pytest.mark.parametrize('fault', CALL_FAULTS)
@pytest.mark.parametrize('call', range(1, SECOND_CALLS_END))
def test_single_failed_store_call_is_retried(store, clock, call, fault):
    open_log(store, clock).apply(FIRST, 100)
    faulty = FaultyStore(store, {call: fault})
    assert open_log(faulty, clock).apply(SECOND, 10_000) == Accepted(2)
    assert names_of(store) == AFTER


@pytest.mark.parametrize('fault', CALL_FAULTS)
@pytest.mark.parametrize('first', range(1, SECOND_CALLS_END))
def test_outage_from_any_store_call_reports_correct_outcome(store, clock, first, fault):
    open_log(store, clock).apply(FIRST, 100)
    faults = {call: fault for call in range(first, 10_000)}
    outcome = open_log(FaultyStore(store, faults), clock).apply(SECOND, 5000)
    match outcome:
        case Accepted(revision):
            assert revision == 2
            assert names_of(store) == AFTER
        case NotAccepted(maybe=maybe):
            assert maybe or names_of(store) == BEFORE
            assert clock.time_ms >= 5000
        case _:
            raise AssertionError(outcome)
    assert open_log(store, clock).apply(SECOND, 10_000) == Accepted(2)


def test_store_down_from_start_reports_not_applied(store, clock):
    faults = {call: 'down' for call in range(1, 1000)}
    outcome = open_log(FaultyStore(store, faults), clock).apply(FIRST, 1000)
    assert (outcome.maybe, outcome.step) == (False, 'store.read')


def test_delayed_swap_is_not_applied_twice(store, clock):
    writer = open_log(FaultyStore(store, {4: 'late'}), clock)
    assert writer.apply(FIRST, 1000) == Accepted(1)
    assert len(decode_head(store.read(HEAD_KEY, CALL_MS).value).changes) == 1


def test_repeated_change_returns_recorded_outcome(store, clock):
    log = open_log(store, clock)
    log.apply(FIRST, 100)
    log.apply(SECOND, 100)
    assert open_log(store, clock).apply(FIRST, 100) == Accepted(1)
    assert names_of(store) == AFTER


def test_change_id_reused_by_another_change_is_invalid(store, clock):
    log = open_log(store, clock)
    log.apply(FIRST, 100)
    outcome = log.apply(replace(SECOND, change_id='first'), 100)
    assert outcome.problems[0].field == 'change_id'
    assert names_of(store) == BEFORE


@pytest.mark.parametrize(
    ('change', 'outcome'),
    [
        (put('x', data_centre('de', OUT, 7)), Raced(Kind.DATA_CENTRE, 'de', 1)),
        (put('x', data_centre('new', OUT, 7)), Raced(Kind.DATA_CENTRE, 'new', 0)),
        (
            Change('x', deletes=(ResourceRef(Kind.DATA_CENTRE, 'de', 3),)),
            Raced(Kind.DATA_CENTRE, 'de', 1),
        ),
        (
            Change('x', deletes=(ResourceRef(Kind.DATA_CENTRE, 'new'),)),
            Missing(Kind.DATA_CENTRE, 'new'),
        ),
    ],
)
def test_unmet_revision_or_missing_resource_writes_nothing(
    store, clock, change, outcome
):
    log = open_log(store, clock)
    log.apply(FIRST, 100)
    assert log.apply(change, 100) == outcome
    assert read_configuration(store, CALL_MS).revision == 1


@pytest.mark.parametrize(
    'change',
    [
        put('x', Resource(Kind.SEARCH, 'cue', SearchSpec(('gone',), 300))),
        put('', data_centre('de')),
        put('x' * 65, data_centre('de')),
        put('x', data_centre('de'), data_centre('de', OUT)),
        Change('x', (data_centre('de'),), (ResourceRef(Kind.DATA_CENTRE, 'de'),)),
        put('x', Resource(Kind.SEARCH, 'cue', SearchSpec(('s' * 1_000_000,), 300))),
    ],
)
def test_invalid_change_writes_nothing(store, clock, change):
    log = open_log(store, clock)
    log.apply(FIRST, 100)
    assert isinstance(log.apply(change, 100), Invalid)
    assert names_of(store) == BEFORE


def test_lower_revision_is_reported_as_unanswered(store, clock):
    log = open_log(store, clock)
    log.apply(FIRST, 100)
    log.apply(SECOND, 100)
    log.read()
    old = store.read(HEAD_KEY, CALL_MS)
    store.swap(HEAD_KEY, '{"revision":1}', old.version, CALL_MS)
    assert isinstance(log.read(), Unanswered)
    assert log.view.configuration.revision == 2


@pytest.mark.parametrize('head', ['', '{', '{"segments":[{"segment":1}]}', '[]'])
def test_corrupt_head_is_not_overwritten(store, clock, head):
    store.swap(HEAD_KEY, head, 0, CALL_MS)
    log = open_log(store, clock)
    assert isinstance(log.apply(FIRST, 1000), NotAccepted)
    assert store.read(HEAD_KEY, CALL_MS).version == 1


def test_wait_fetches_only_changed_chunks(store, clock):
    writer = open_log(store, clock)
    writer.apply(FIRST, 100)
    reader = open_log(store, clock)
    reader.read()
    writer.apply(put('other', data_centre('canolbarth')), 100)
    reads = store.counters.reads
    view = reader.wait(1000)
    assert isinstance(view, ConfigurationView)
    assert view.configuration.revision == 2
    assert store.counters.reads == reads + 1


class StaleHeadStore(FaultyStore):
    """Return a stale head once that refers to a collected chunk."""

    stale_digest = ''

    def read(self, key, timeout_ms):
        found = super().read(key, timeout_ms)
        if self.calls > 1:
            return found
        digest = decode_head(found.value).segments[0].digest
        return replace(found, value=found.value.replace(digest, self.stale_digest))


def test_reader_retries_after_collected_chunk(store, clock):
    writer = open_log(store, clock)
    writer.apply(FIRST, 100)
    stale = StaleHeadStore(store)
    stale.stale_digest = (
        decode_head(store.read(HEAD_KEY, CALL_MS).value).segments[0].digest
    )
    writer.apply(SECOND, 100)
    store.swap(f'config/chunk/{stale.stale_digest}', '', 1, CALL_MS)
    assert names_of(stale) == AFTER


def test_unreferenced_chunks_are_collected(store, clock):
    log = open_log(store, clock)
    for number in range(20):
        spec = OUT if number % 2 else IN
        clock.time_ms += COLLECT_AFTER_MS
        log.apply(put(f'change-{number}', data_centre('de', spec)), clock.time_ms + 100)
    kept = [
        stored
        for key, stored in store.state._values.items()  # noqa: SLF001
        if key.startswith('config/chunk/') and stored.value
    ]
    assert len(kept) <= 4


def test_head_size_is_bounded_after_many_changes(store, clock):
    log = open_log(store, clock)
    for number in range(RETIRED_MAX + 100):
        spec = OUT if number % 2 else IN
        log.apply(put(f'change-{number}', data_centre('de', spec)), 100)
    head = decode_head(store.read(HEAD_KEY, CALL_MS).value)
    assert len(head.retired) <= RETIRED_MAX + 1
    assert len(head.changes) == 64
    assert names_of(store) == {'de': OUT}


def test_unrelated_key_is_unchanged_by_apply(store, clock):
    assert store.swap('claims/1', 'x', 0, CALL_MS) == Swapped(1)
    open_log(store, clock).apply(FIRST, 100)
    assert store.read('claims/1', CALL_MS).value == 'x'
