"""A watch tells each change once, over any number of streams."""

import pytest

from cowsliploom.cli._answers import MoveProgress
from cowsliploom.cli._errors import CtlError
from cowsliploom.cli._waiting import MoveEnd, MoveSeen, follow_move, move_end
from cowsliploom.cli._watching import (
    DeleteSeen,
    PutSeen,
    StatusSeen,
    StoreSeen,
    WatchLine,
    WatchState,
    open_stream,
    take_line,
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


def play(state, *lines):
    events = []
    for line in lines:
        state, more = take_line(state, line)
        events.extend(more)
    return state, events


def seen_put(name, revision):
    return PutSeen('search', name, revision, {})


def seen_delete(name, revision):
    return DeleteSeen('search', name, revision)


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        ([put('a', 1), bookmark(1)], [put('a', 1), bookmark(1)], []),
        ([put('a', 1), bookmark(1)], [put('a', 2)], [seen_put('a', 2)]),
        ([put('a', 1), bookmark(1)], [delete('a', 2)], [seen_delete('a', 2)]),
        ([put('a', 1), bookmark(1)], [delete('b', 2)], []),
        (
            [put('a', 1), bookmark(1), delete('a', 2)],
            [delete('a', 2), put('a', 3)],
            [seen_put('a', 3)],
        ),
        ([bookmark(1)], [bookmark(1, 'down')], [StoreSeen('down')]),
        ([bookmark(1, 'down')], [bookmark(1)], [StoreSeen('')]),
        ([bookmark(1)], [WatchLine('later')], []),
    ],
)
def test_resumed_stream_tells_only_news(first, second, expected):
    state, _ = play(open_stream(WatchState()), *first)
    _, events = play(open_stream(state), *second)
    assert events == expected


def test_stream_that_breaks_within_a_batch_resumes_before_it():
    state, _ = play(open_stream(WatchState()), bookmark(4), put('a', 5))
    assert state.bookmark == 4
    _, events = play(open_stream(state), put('a', 5), delete('b', 5), bookmark(5))
    assert not events


def test_listing_after_a_gap_tells_what_is_gone():
    state, _ = play(
        open_stream(WatchState()), put('a', 1), put('b', 2), put('c', 3), bookmark(3)
    )
    again = open_stream(WatchState(None, state.known))
    state, events = play(again, put('a', 1), put('c', 7), bookmark(9))
    assert events == [seen_put('c', 7), seen_delete('b', 9)]
    assert state.known == {('search', 'a'): 1, ('search', 'c'): 7}


def test_status_is_passed_on():
    line = WatchLine('status', 3, kind='search', name='a', status={'behind': []})
    _, events = play(WatchState(), line)
    assert events == [StatusSeen('search', 'a', 3, {'behind': []})]


@pytest.mark.parametrize(
    ('status', 'generation', 'to_version', 'end'),
    [
        ('running', 2, 'v2', None),
        ('', 0, '', None),
        ('finished', 2, 'v2', MoveEnd.FINISHED),
        ('taken_back', 2, 'v2', MoveEnd.TAKEN_BACK),
        ('finished', 1, 'v2', None),
        ('taken_back', 1, 'v2', None),
        ('finished', 2, 'v3', None),
    ],
)
def test_only_the_declared_attempt_ends_a_move(status, generation, to_version, end):
    seen = follow_move(MoveSeen(), PutSeen('versionmove', 'm', 1, SPEC))
    told = {'status': status, 'generation': generation, 'to_version': to_version}
    seen = follow_move(seen, StatusSeen('versionmove', 'm', 1, {'move': told}))
    assert seen.spec == VersionMoveSpec(**SPEC)
    assert move_end(seen) == end


def test_status_before_the_resource_ends_nothing():
    assert move_end(MoveSeen(None, MoveProgress('finished', 2, 'v2'))) is None


def test_deleted_move_ends_the_wait():
    with pytest.raises(CtlError):
        follow_move(MoveSeen(), DeleteSeen('versionmove', 'm', 3))
