"""After a start each server has a connection before the first query needs it."""

from collections import Counter

import pytest

from cowsliploom.forwarding import (
    FanOut,
    Route,
    RouteTable,
    ServerState,
    servers_ahead,
)
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record
from cowsliploom.members import Member

PLACES = ('de', 'gogledd')
URGENT = tuple(f'u{number:02}' for number in range(48))
OTHER = tuple(f'o{number:02}' for number in range(48))


def member(place, number):
    """Return a member."""
    return Member(f'{place}-{number:02}', f'{place}-{number}:1', place)


def route(name, shards, rank):
    """Return a route that asks shards."""
    fan_out = FanOut(shards, 4, 0.9)
    return Route(name, 'h', f'/{name}/', True, 2, 800, 60, rank=rank, fan_out=fan_out)


TABLE = RouteTable(4, (route('other', OTHER, 2), route('urgent', URGENT, 1)))
MEMBERS = tuple(member(place, number) for place in PLACES for number in range(12))


def fleet_of(own, **changes):
    """Return the fleet as a member knows it: one server a shard in each place."""
    fleet = make_dispatcher(servers=0).fleet
    fleet.data_centre = own.data_centre
    names = [(shard, place) for shard in (*URGENT, *OTHER) for place in PLACES]
    servers = [
        record(f'{shard}-{place}', shard, place, **changes) for shard, place in names
    ]
    fleet.update(servers, 0)
    return fleet


def ahead(own, members=MEMBERS, **changes):
    """Return the servers that a member connects to ahead."""
    others = tuple(each for each in members if each != own)
    return servers_ahead(TABLE, fleet_of(own, **changes), own, others, 10)


def test_each_server_is_connected_to_by_one_member_of_its_data_centre():
    counts = Counter(server.name for own in MEMBERS for server in ahead(own))
    assert set(counts.values()) == {1}
    assert len(counts) == len(PLACES) * len((*URGENT, *OTHER))


def test_work_is_divided_and_the_urgent_route_goes_first():
    for own in MEMBERS:
        servers = ahead(own)
        routes = ['u' if one.record.service in URGENT else 'o' for one in servers]
        assert routes == sorted(routes, reverse=True)
        assert len(servers) <= 2 * 8
        assert {one.record.data_centre for one in servers} <= {own.data_centre}


@pytest.mark.parametrize(
    'changes', [{'cold_ms': 9000}, {'state': ServerState.DRAINING}]
)
def test_cold_and_draining_servers_are_left_alone(changes):
    assert not any(ahead(own, **changes) for own in MEMBERS)


def test_single_member_connects_to_nothing_ahead():
    assert not ahead(MEMBERS[0], members=MEMBERS[:1])
