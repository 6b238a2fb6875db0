"""Which versions receive requests, given move requests and stored states."""

import msgspec
import pytest

from cowsliploom.forwarding import VersionSplit
from cowsliploom.forwarding._server_choice import CallLimits
from cowsliploom.gateway.tests.test_store_view import STORE, make_store_view, server
from cowsliploom.members import Batch, MirrorItem, Removal


def order(revision, text=b'{"service":"s","targetVersion":"v2","durationS":12}'):
    """Return an operator's move request as stored."""
    return MirrorItem('op/rollout/s', text, revision)


def chosen(store_view, count=100):
    """Return the versions of the servers chosen for calls."""
    limits = CallLimits(10, 100)
    fleet = store_view.dispatcher.fleet
    picks = (fleet.choose('s', (), 0, limits, f'r-{each}') for each in range(count))
    return {pick.record.version for pick in picks if pick is not None}


def stored(revision, status, to_version='v2', **more):
    """Return the state of a move as stored."""
    state = {'to_version': to_version, 'status': status, 'share': 0.5, **more}
    return MirrorItem('moves/s', msgspec.json.encode(state), revision)


THIRD = b'{"service":"s","targetVersion":"v3","durationS":12}'


def test_new_version_receives_no_requests_until_its_share_is_known():
    store_view = make_store_view()
    store_view.apply(Batch(6, (order(6), server('a', 5))), STORE, 0)
    store_view.apply(Batch(7, (server('b', 7, version='v2'),)), STORE, 0)
    assert chosen(store_view) == {'v1'}
    store_view.apply(Batch(8, (), (Removal('servers/a', 8),)), STORE, 10)
    assert chosen(store_view) == set()


@pytest.mark.parametrize(
    ('state', 'expected'),
    [
        ((), {'v1'}),
        ((stored(8, 'running'),), {'v1'}),
        ((stored(8, 'taken_back'),), {'v1'}),
        ((stored(8, 'finished'),), {'v1', 'v2'}),
        ((stored(8, 'finished', 'v1', rejected=['v2']),), {'v1'}),
        ((stored(8, 'finished', 'v1', abandoned=['v2']),), {'v1'}),
    ],
)
@pytest.mark.parametrize('is_restarted', [False, True])
def test_only_finished_version_receives_requests_without_move_request(
    state, expected, is_restarted
):
    store_view = make_store_view()
    servers = (server('a', 5), server('b', 7, version='v2'))
    if not is_restarted:
        store_view.apply(Batch(8, (order(6), *servers, *state)), STORE, 0)
        store_view.apply(Batch(9, (), (Removal('op/rollout/s', 9),)), STORE, 10)
        assert chosen(store_view) == expected
    elif state:
        store_view.apply(Batch(9, (*servers, *state)), STORE, 0)
        assert chosen(store_view) == expected


@pytest.mark.parametrize('status', ['running', 'taken_back'])
def test_unfinished_version_stays_blocked_during_the_next_move(status):
    store_view = make_store_view()
    servers = (server('a', 5), server('b', 7, version='v2'))
    batch = Batch(8, (order(6), *servers, stored(8, status)))
    store_view.apply(batch, STORE, 0)
    store_view.apply(Batch(9, (order(9, THIRD),)), STORE, 10)
    assert chosen(store_view) == {'v1'}


def test_version_whose_finish_was_missed_serves_during_the_next_move():
    store_view = make_store_view()
    servers = (server('a', 5, version='v2'), server('b', 5, version='v3'))
    store_view.apply(Batch(8, (order(6), *servers, stored(8, 'running'))), STORE, 0)
    later = (order(20, THIRD), stored(21, 'running', to_version='v3'))
    store_view.apply(Batch(21, later), STORE, 10)
    assert chosen(store_view) == {'v2'}


def test_finished_version_serves_immediately_after_a_start():
    store_view = make_store_view()
    batch = Batch(8, (order(6), server('b', 7, version='v2'), stored(8, 'finished')))
    store_view.apply(batch, STORE, 0)
    assert chosen(store_view) == {'v2'}


def test_repeated_move_request_does_not_change_the_share():
    store_view = make_store_view()
    servers = (server('a', 5), server('b', 7, version='v2'))
    store_view.apply(Batch(7, (order(6), *servers)), STORE, 0)
    store_view.dispatcher.fleet.split('s', VersionSplit('v2', 1))
    store_view.apply(Batch(8, (order(8),)), STORE, 10)
    assert chosen(store_view) == {'v2'}


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'{"service":"s","targetVersion":"v2"}',
        b'{"service":"s","targetVersion":"","durationS":12}',
        b'{"service":"s","targetVersion":"v2","durationS":-1}',
        b'{"service":"s","targetVersion":2,"durationS":12}',
        b'{"service":"t","targetVersion":"v2","durationS":12}',
    ],
)
def test_unreadable_move_request_changes_nothing(text):
    store_view = make_store_view()
    store_view.apply(Batch(6, (order(6, text),)), STORE, 0)
    assert not store_view.orders
    assert ('move', 'unreadable') in [line[:2] for line in store_view.log.lines]
