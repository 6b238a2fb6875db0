"""A cut is seen from servers that owe answers, and told from slow servers."""

import pytest

from cowsliploom.forwarding import (
    Fleet,
    are_remote_servers_silent,
    count_routes_needing_remote_servers,
    count_unreachable_routes,
)
from cowsliploom.forwarding.tests.desk_world import make_dispatcher, record

NOW_MS = 1000


def make_fleet(sent_ms, heard_ms, zone='gogledd'):
    """Return a fleet whose servers elsewhere each have one open call."""
    fleet = Fleet(1, 'de', bool)
    fleet.update([record(f'a{number}', 's', zone) for number in range(len(sent_ms))], 0)
    for number, at_ms in enumerate(sent_ms):
        server = fleet.get(f'a{number}')
        server.sent(number, at_ms)
        server.last_received_ms = heard_ms[number]
    return fleet


@pytest.mark.parametrize(
    ('sent_ms', 'heard_ms', 'zone', 'is_quiet'),
    [
        ((880, 880, 880), (870, 860, 870), 'gogledd', True),
        ((880, 880, 880), (870, 860, 870), 'de', False),
        ((880, 880), (870, 860), 'gogledd', False),
        ((950, 950, 950), (870, 860, 870), 'gogledd', False),
        ((880, 880, 880), (870, 890, 870), 'gogledd', False),
    ],
    ids=['cut', 'own-data-centre', 'too-few', 'too-soon', 'one-answered-since'],
)
def test_servers_elsewhere_are_quiet_when_all_that_owe_are(
    sent_ms, heard_ms, zone, is_quiet
):
    fleet = make_fleet(sent_ms, heard_ms, zone)
    assert are_remote_servers_silent(fleet, NOW_MS) is is_quiet


@pytest.mark.parametrize(('zone', 'short'), [('de', 0), ('gogledd', 1)])
def test_routes_whose_servers_are_elsewhere_need_the_way_there(zone, short):
    desk = make_dispatcher(servers=0)
    names = ('one', *(f's{number}' for number in range(10)))
    near = [record(f'{name}-0', name) for name in names[:8]]
    far = [record(f'{name}-0', name, zone) for name in names[8:]]
    desk.fleet.update([*near, *far], 0)
    assert count_unreachable_routes(desk.table, desk.fleet, NOW_MS) == 0
    assert count_routes_needing_remote_servers(desk.table, desk.fleet) == short
