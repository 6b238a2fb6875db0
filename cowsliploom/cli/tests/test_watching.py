"""A watch reports each change once across interrupted streams."""

import pytest

from cowsliploom.cli._errors import CtlError
from cowsliploom.cli._responses import MoveProgress
from cowsliploom.cli._waiting import MoveEnd, ObservedMove, apply_event, move_end
from cowsliploom.cli._watching import (
    DeleteEvent,
    PutEvent,
    StatusEvent,
    StoreEvent,
    WatchLine,
    WatchState,
    apply_line,
    begin_stream,
)
from cowsliploom.resources import VersionMoveSpec

SPEC = {
    'service': 's',
    'from_version': 'v1',
    'to_version': 'v2',
    'finish_by': '2030-01-31T18:00:00Z',
    'generation': 2,
}


def put(name, revision):
    resource = {'kind': 'search', 'name': name, 'revision': revision, 'spec': {}}
    return WatchLine('put', revision, resource)


def delete(name, revision):
    return WatchLine('delete', revision, {'kind': 'search', 'name': name})


def bookmark(revision, store_failure=''):
    return WatchLine('bookmark', revision, store_failure=store_failure)


def apply_lines(state, *lines):
    events = []
    for line in lines:
        state, more = apply_line(state, line)
        events.extend(more)
    return state, events


def put_event(name, revision):
    return PutEvent('search', name, revision, {})


def delete_event(name, revision):
    return DeleteEvent('search', name, revision)


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        ([put('a', 1), bookmark(1)], [put('a', 1), bookmark(1)], []),
        ([put('a', 1), bookmark(1)], [put('a', 2)], [put_event('a', 2)]),
        ([put('a', 1), bookmark(1)], [delete('a', 2)], [delete_event('a', 2)]),
        ([put('a', 1), bookmark(1)], [delete('b', 2)], []),
        (
            [put('a', 1), bookmark(1), delete('a', 2)],
            [delete('a', 2), put('a', 3)],
            [put_event('a', 3)],
        ),
        ([bookmark(1)], [bookmark(1, 'down')], [StoreEvent('down')]),
        ([bookmark(1, 'down')], [bookmark(1)], [StoreEvent('')]),
        ([bookmark(1)], [WatchLine('later')], []),
    ],
)
def test_resumed_stream_reports_only_new_events(first, second, expected):
    state, _ = apply_lines(begin_stream(WatchState()), *first)
    _, events = apply_lines(begin_stream(state), *second)
    assert events == expected


def test_interrupted_batch_resumes_from_last_bookmark():
    state, _ = apply_lines(begin_stream(WatchState()), bookmark(4), put('a', 5))
    assert state.bookmark == 4
    _, events = apply_lines(
        begin_stream(state), put('a', 5), delete('b', 5), bookmark(5)
    )
    assert not events


def test_new_listing_reports_deleted_resources():
    state, _ = apply_lines(
        begin_stream(WatchState()), put('a', 1), put('b', 2), put('c', 3), bookmark(3)
    )
    again = begin_stream(WatchState(None, state.known))
    state, events = apply_lines(again, put('a', 1), put('c', 7), bookmark(9))
    assert events == [put_event('c', 7), delete_event('b', 9)]
    assert state.known == {('search', 'a'): 1, ('search', 'c'): 7}


def test_status_line_gives_status_event():
    line = WatchLine('status', 3, kind='search', name='a', status={'behind': []})
    _, events = apply_lines(WatchState(), line)
    assert events == [StatusEvent('search', 'a', 3, {'behind': []})]


@pytest.mark.parametrize(
    ('status', 'generation', 'to_version', 'end'),
    [
        ('running', 2, 'v2', None),
        ('', 0, '', None),
        ('finished', 2, 'v2', MoveEnd.FINISHED),
        ('taken_back', 2, 'v2', MoveEnd.ROLLED_BACK),
        ('finished', 1, 'v2', None),
        ('taken_back', 1, 'v2', None),
        ('finished', 2, 'v3', None),
    ],
)
def test_move_ends_only_with_status_of_declared_attempt(
    status, generation, to_version, end
):
    observed = apply_event(ObservedMove(), PutEvent('versionmove', 'm', 1, SPEC))
    reported = {'status': status, 'generation': generation, 'to_version': to_version}
    observed = apply_event(
        observed, StatusEvent('versionmove', 'm', 1, {'move': reported})
    )
    assert observed.spec == VersionMoveSpec(**SPEC)
    assert move_end(observed) == end


def test_status_without_specification_does_not_end_move():
    assert move_end(ObservedMove(None, MoveProgress('finished', 2, 'v2'))) is None


def test_deleted_move_raises_error():
    with pytest.raises(CtlError):
        apply_event(ObservedMove(), DeleteEvent('versionmove', 'm', 3))
