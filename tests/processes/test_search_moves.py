"""Version moves of a search service: bad versions roll back, good ones finish."""

import datetime
import threading
from dataclasses import dataclass

import pytest

from cowsliploom.adapters import HttpStore
from tests.processes.fleet import wait_until
from tests.processes.load import SearchLoad
from tests.processes.shape import Shape
from tests.processes.world import World

pytestmark = pytest.mark.processes

SERVICE = 'cellar-00'
MOVE_TIME_S = 40  # nine steps of at least 3 s each
GOSSIP_TIME_S = 3  # the last share spreads by gossip; it reached all after 0.84 s
STOP_BOUND_S = 3  # the users' bound on new work after enough evidence


@dataclass(frozen=True)
class MovingShape(Shape):
    """Give each service two servers of the old version and two of the new."""

    def cellar(self):
        settings = super().cellar()
        for place, server in enumerate(settings):
            server['version'] = 'v1' if place % self.servers_each < 2 else 'v2'
        return settings

    def resources(self, addresses):
        documents = super().resources(addresses)
        for document in documents:
            for server in document['spec'].get('servers', ()):
                replica = int(server['name'].rsplit('-', 1)[1])
                is_new = server['name'].startswith('cellar') and replica >= 2
                server['version'] = 'v2' if is_new else 'v1'
        return documents


SHAPE = MovingShape(services=2, servers_each=4)
OLD_SERVERS = (f'{SERVICE}-0', f'{SERVICE}-1')
NEW_SERVERS = (f'{SERVICE}-2', f'{SERVICE}-3')


@pytest.fixture
def world(tmp_path):
    with World(str(tmp_path), SHAPE) as running:
        running.apply_shape()
        yield running


def declare_move(world):
    now = datetime.datetime.now(datetime.UTC)
    finish_by = now + datetime.timedelta(seconds=MOVE_TIME_S)
    spec = {
        'service': SERVICE,
        'from_version': 'v1',
        'to_version': 'v2',
        'finish_by': finish_by.isoformat(timespec='seconds').replace('+00:00', 'Z'),
    }
    world.apply([{'kind': 'versionmove', 'name': 'move', 'spec': spec}], 'move')


def move_state(world):
    with HttpStore(world.platform.address) as store:
        answer = store.read('moves/move', 1000)
    return getattr(answer, 'value', '')


def test_good_version_has_all_traffic_by_finish_time(world):
    with SearchLoad(world, world.entries, callers=4) as load:
        wait_until(lambda: len(load.results) > 40, 'load runs')
        declare_move(world)
        wait_until(lambda: 'finished' in move_state(world), 'the move', MOVE_TIME_S + 5)
        threading.Event().wait(GOSSIP_TIME_S)
        received_when_settled = len(load.results)
        wait_until(
            lambda: len(load.results) > received_when_settled + 100, 'load continues'
        )
    assert load.statuses() == {200: len(load.results)}
    assert count_searches(world, OLD_SERVERS, load.results[received_when_settled:]) == 0


def count_searches(world, names, results):
    request_ids = {result.request_id for result in results}
    return sum(
        search['request_id'].split('~')[0] in request_ids
        for name in names
        for search in world.get(world.addresses[name], '/admin/runlog').body['searches']
    )


@pytest.mark.parametrize(
    'faults',
    [
        {'errors': [{'share': 0.5, 'fast': True}]},
        {'errors': [{'share': 1, 'route': 'cellar-briefing'}]},
        {'slow': [{'extra_ms': 60}]},
    ],
    ids=['fails', 'fails-on-one-route', 'slow'],
)
def test_bad_version_is_rolled_back_and_gets_no_more_calls(world, faults):
    for name in NEW_SERVERS:
        world.put(world.addresses[name], '/admin/faults', faults)
    with SearchLoad(world, world.entries, callers=4) as load:
        wait_until(lambda: len(load.results) > 40, 'load runs')
        declare_move(world)
        wait_until(lambda: 'taken_back' in move_state(world), 'the veto', MOVE_TIME_S)
        received = len(load.results)
        wait_until(
            lambda: len(load.results) > received + 50 * STOP_BOUND_S, 'load continues'
        )
        received_at_bound = len(load.results)
        wait_until(
            lambda: len(load.results) > received_at_bound + 100, 'load continues'
        )
    assert count_searches(world, NEW_SERVERS, load.results[received_at_bound:]) == 0
    assert {result.status for result in load.results} == {200}
