"""Index changes during queries, on real processes."""

from functools import partial

import pytest

from tests.processes.fleet import wait_until
from tests.processes.load import SearchLoad
from tests.processes.shape import DOCS_PER_SERVICE, SNAPSHOT, Shape
from tests.processes.world import World

pytestmark = pytest.mark.processes

SMALL = Shape(services=4, latency_ms=5)


@pytest.fixture
def world(tmp_path):
    with World(str(tmp_path), SMALL) as running:
        running.apply_shape()
        yield running


def test_answers_use_one_snapshot_while_index_changes(world):
    with SearchLoad(world, world.entries) as load:
        wait_until(lambda: len(load.results) > 40, 'load runs')
        for snapshot in (SNAPSHOT + 1, SNAPSHOT + 2):
            for name, address in world.addresses.items():
                if name.startswith('cellar'):
                    _install_snapshot(world, name, address, snapshot)
            received = len(load.results)
            wait_until(
                partial(_has_more_results, load, received + 100), 'load continues'
            )
        wait_until(
            lambda: load.results[-1].body.get('snapshot') == SNAPSHOT + 2,
            'the newest snapshot is answered',
        )
    total = SMALL.services * DOCS_PER_SERVICE
    for result in load.results:
        assert result.status == 200
        assert result.body['coverage']['total_docs'] == total
    served = _served_snapshots(world)
    for result in load.results:
        assert served[result.request_id] >= {result.body['snapshot']}


def _has_more_results(load, size):
    return len(load.results) > size


def _install_snapshot(world, name, address, snapshot):
    service = int(name.split('-')[1])
    kept = [
        {
            'snapshot': number,
            'service': f'cellar-{service:02}',
            'ranges': [
                {
                    'first': service * DOCS_PER_SERVICE,
                    'end': (service + 1) * DOCS_PER_SERVICE,
                }
            ],
            'total_docs': SMALL.services * DOCS_PER_SERVICE,
        }
        for number in (snapshot - 1, snapshot)
    ]
    assert world.put(address, '/admin/snapshots', kept).status == 200


def _served_snapshots(world):
    served = {}
    for name, address in world.addresses.items():
        if name.startswith('cellar'):
            for search in world.get(address, '/admin/runlog').body['searches']:
                caller_id = search['request_id'].split('~')[0]
                if search['served']:
                    served.setdefault(caller_id, set()).add(search['snapshot'])
    return served
