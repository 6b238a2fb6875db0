"""A partition is detected from overdue servers, and distinguished from slow ones."""

import pytest

from cowsliploom.forwarding import (
    Fleet,
    are_remote_servers_silent,
    routes_needing_remote_servers,
    unreachable_routes,
)
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record

NOW_MS = 1000


def make_fleet(sent_ms, received_ms, data_centre='gogledd'):
    """Return a fleet whose remote servers have one open call each."""
    fleet = Fleet(1, 'de', bool)
    fleet.update(
        [record(f'a{number}', 's', data_centre) for number in range(len(sent_ms))], 0
    )
    for number, at_ms in enumerate(sent_ms):
        server = fleet.get(f'a{number}')
        server.add_call(number, at_ms)
        server.last_received_ms = received_ms[number]
    return fleet


@pytest.mark.parametrize(
    ('sent_ms', 'received_ms', 'data_centre', 'is_silent'),
    [
        ((880, 880, 880), (870, 860, 870), 'gogledd', True),
        ((880, 880, 880), (870, 860, 870), 'de', False),
        ((880, 880), (870, 860), 'gogledd', False),
        ((950, 950, 950), (870, 860, 870), 'gogledd', False),
        ((880, 880, 880), (870, 890, 870), 'gogledd', False),
    ],
    ids=['partition', 'own-data-centre', 'too-few', 'too-soon', 'one-answered-since'],
)
def test_remote_servers_are_silent_if_several_are_overdue(
    sent_ms, received_ms, data_centre, is_silent
):
    fleet = make_fleet(sent_ms, received_ms, data_centre)
    assert are_remote_servers_silent(fleet, NOW_MS) is is_silent


@pytest.mark.parametrize(('data_centre', 'short'), [('de', 0), ('gogledd', 1)])
def test_route_with_remote_servers_needs_the_remote_data_centre(data_centre, short):
    dispatcher = make_dispatcher(servers=0)
    names = ('one', *(f's{number}' for number in range(10)))
    local = [record(f'{name}-0', name) for name in names[:8]]
    remote = [record(f'{name}-0', name, data_centre) for name in names[8:]]
    dispatcher.fleet.update([*local, *remote], 0)
    assert len(unreachable_routes(dispatcher.table, dispatcher.fleet, NOW_MS)) == 0
    assert (
        len(routes_needing_remote_servers(dispatcher.table, dispatcher.fleet)) == short
    )
