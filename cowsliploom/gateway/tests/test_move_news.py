"""A version gets requests only as its order, and how far its move is, allow."""

import msgspec
import pytest

from cowsliploom.forwarding import VersionSplit
from cowsliploom.forwarding._fleet import CallLimits
from cowsliploom.gateway.tests.test_store_view import STORE, make_store_view, server
from cowsliploom.members import Batch, MirrorItem, Removal


def order(revision, text=b'{"service":"s","targetVersion":"v2","durationS":12}'):
    """Return an operator's order as the store holds it."""
    return MirrorItem('op/rollout/s', text, revision)


def chosen(store_view, count=100):
    """Return the versions of the servers that are chosen for calls."""
    limits = CallLimits(10, 100)
    fleet = store_view.desk.fleet
    picks = (fleet.choose('s', (), 0, limits, f'r-{each}') for each in range(count))
    return {pick.record.version for pick in picks if pick is not None}


def stored(revision, status, to_version='v2', **more):
    """Return the state of a move as the store holds it."""
    state = {'to_version': to_version, 'status': status, 'share': 0.5, **more}
    return MirrorItem('moves/s', msgspec.json.encode(state), revision)


THIRD = b'{"service":"s","targetVersion":"v3","durationS":12}'


def test_an_ordered_version_gets_nothing_until_its_share_is_known():
    store_view = make_store_view()
    store_view.take(Batch(6, (order(6), server('a', 5))), STORE, 0)
    store_view.take(Batch(7, (server('b', 7, version='v2'),)), STORE, 0)
    assert chosen(store_view) == {'v1'}
    store_view.take(Batch(8, (), (Removal('servers/a', 8),)), STORE, 10)
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
def test_only_a_finished_version_is_asked_without_its_order(
    state, expected, is_restarted
):
    store_view = make_store_view()
    servers = (server('a', 5), server('b', 7, version='v2'))
    if not is_restarted:
        store_view.take(Batch(8, (order(6), *servers, *state)), STORE, 0)
        store_view.take(Batch(9, (), (Removal('op/rollout/s', 9),)), STORE, 10)
        assert chosen(store_view) == expected
    elif state:
        store_view.take(Batch(9, (*servers, *state)), STORE, 0)
        assert chosen(store_view) == expected


@pytest.mark.parametrize('status', ['running', 'taken_back'])
def test_an_unfinished_version_gets_nothing_beside_the_next_order(status):
    store_view = make_store_view()
    servers = (server('a', 5), server('b', 7, version='v2'))
    batch = Batch(8, (order(6), *servers, stored(8, status)))
    store_view.take(batch, STORE, 0)
    store_view.take(Batch(9, (order(9, THIRD),)), STORE, 10)
    assert chosen(store_view) == {'v1'}


def test_a_version_that_was_finished_unseen_serves_beside_the_next_order():
    store_view = make_store_view()
    servers = (server('a', 5, version='v2'), server('b', 5, version='v3'))
    store_view.take(Batch(8, (order(6), *servers, stored(8, 'running'))), STORE, 0)
    later = (order(20, THIRD), stored(21, 'running', to_version='v3'))
    store_view.take(Batch(21, later), STORE, 10)
    assert chosen(store_view) == {'v2'}


def test_a_finished_version_serves_at_once_after_a_start():
    store_view = make_store_view()
    batch = Batch(8, (order(6), server('b', 7, version='v2'), stored(8, 'finished')))
    store_view.take(batch, STORE, 0)
    assert chosen(store_view) == {'v2'}


def test_the_same_order_again_changes_no_share():
    store_view = make_store_view()
    servers = (server('a', 5), server('b', 7, version='v2'))
    store_view.take(Batch(7, (order(6), *servers)), STORE, 0)
    store_view.desk.fleet.split('s', VersionSplit('v2', 1))
    store_view.take(Batch(8, (order(8),)), STORE, 10)
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
def test_an_order_that_cannot_be_read_changes_nothing(text):
    store_view = make_store_view()
    store_view.take(Batch(6, (order(6, text),)), STORE, 0)
    assert not store_view.orders
    assert ('move', 'unreadable') in [line[:2] for line in store_view.log.lines]
