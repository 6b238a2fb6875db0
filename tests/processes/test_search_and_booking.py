"""Searches and bookings through entry VMs and backend servers as processes."""

from functools import partial

import pytest

from tests.processes.fleet import wait_until
from tests.processes.shape import DOCS_PER_SERVICE, SNAPSHOT, Shape
from tests.processes.world import World

pytestmark = pytest.mark.processes


@pytest.fixture(scope='module')
def world(tmp_path_factory):
    with World(str(tmp_path_factory.mktemp('world')), Shape()) as running:
        running.apply_shape()
        yield running


def test_search_over_twenty_services_returns_snapshot_coverage_and_hits(world):
    for entry in world.entries:
        reply = world.search(entry, 'sour line')
        assert reply.status == 200
        assert reply.body['snapshot'] == SNAPSHOT
        assert reply.body['coverage'] == {
            'covered_docs': 20 * DOCS_PER_SERVICE,
            'total_docs': 20 * DOCS_PER_SERVICE,
            'missing_services': [],
        }
        assert reply.body['hits']


def test_booking_retried_through_other_entries_runs_once(world):
    first = world.book(world.entries[0], 'van 4 to Bala', 'key-1')
    assert (first.status, first.body['replayed']) == (200, False)
    for entry in world.entries[1:]:
        again = wait_until(
            partial(_book_again, world, entry),
            'the outcome is recorded',
        )
        assert again.body['replayed'] is True
        assert again.body['outcome'] == first.body['outcome']
    assert _count_runs(world, 'van 4 to Bala') == 1


def _book_again(world, entry):
    reply = world.book(entry, 'van 4 to Bala', 'key-1')
    return reply if reply.status == 200 else None


def _count_runs(world, payload):
    count = 0
    for name, address in world.addresses.items():
        if name.startswith('rota'):
            log = world.get(address, '/admin/runlog').body
            count += sum(run['payload'] == payload for run in log['runs'])
    return count


@pytest.mark.parametrize(
    ('path', 'body', 'headers', 'status'),
    [
        ('/v1/searches/none', {'text': 'x'}, {}, 404),
        ('/v1/searches/cellar-briefing', {'texts': 'x'}, {}, 400),
        ('/v1/searches/cellar-briefing', [], {}, 400),
        ('/v1/searches/cellar-briefing', {'text': 'x' * 5000}, {}, 400),
        (
            '/v1/searches/cellar-briefing',
            {'text': 'x'},
            {'Request-Timeout-Ms': 'soon'},
            400,
        ),
        ('/v1/services/none/requests', {'payload': 'x'}, {}, 404),
        ('/v2/what', {}, {}, 404),
    ],
)
def test_invalid_request_returns_problem_with_ran_no(
    world, path, body, headers, status
):
    reply = world.post(world.entries[0].address, path, body, headers)
    assert reply.status == status
    assert reply.headers['Content-Type'] == 'application/problem+json'
    assert reply.body['ran'] == 'no'
