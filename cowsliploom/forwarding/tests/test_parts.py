"""The small parts of forwarding: routes, records, turns, servers."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowsliploom.forwarding import (
    CallerLimits,
    Route,
    RouteTable,
    Server,
    ServerState,
    WeightedService,
    calls_max,
    merge_records,
    count_unreachable_routes,
)
from cowsliploom.forwarding._fleet import CallLimits
from cowsliploom.forwarding._weights import WeightedTurns
from cowsliploom.forwarding.tests.desk_world import SHARDS, make_dispatcher, record

LIMITS = CallLimits(usual_ms=10, calls_max=2)


def route(prefix, host='h'):
    return Route(f'{host}{prefix}', host, prefix, True, 2, 1000, 100)


@pytest.mark.parametrize(
    ('host', 'path', 'found'),
    [
        ('h', '/a/x', '/a/'),
        ('h', '/a/b/x?y=/c/', '/a/b/'),
        ('h', '/a/bb/x', '/a/'),
        ('H', '/a/', '/a/'),
        ('h', '/a', None),
        ('h', '/c/a/b/', None),
        ('other', '/a/x', None),
        ('h', '', None),
    ],
)
def test_the_longest_prefix_of_the_host_selects_the_route(host, path, found):
    table = RouteTable(1, (route('/a/'), route('/a/b/'), route('/', 'z')))
    selected = table.find(host, path)
    assert getattr(selected, 'prefix', None) == found


def test_limits_have_defaults_without_a_configuration():
    assert RouteTable().limits == CallerLimits()


@given(st.lists(st.binary(max_size=80), max_size=6), st.integers(0, 12))
def test_merged_records_are_the_greatest_of_all_whole_records(bodies, records_max):
    whole = [
        body[at : at + 16] for body in bodies for at in range(0, len(body) - 15, 16)
    ]
    expected = b''.join(sorted(whole, reverse=True)[:records_max])
    assert merge_records(bodies, records_max) == expected


@pytest.mark.parametrize('weights', [(1, 1), (9, 1), (0.7, 0.2, 0.1), (1, 0)])
def test_weighted_services_get_their_share_of_few_requests(weights):
    services = tuple(
        WeightedService(f'w{number}', weight) for number, weight in enumerate(weights)
    )
    turns = WeightedTurns(random.Random(3))
    weighted = Route('w', 'h', '/', True, 1, 100, 10, services=services)
    counts = Counter(turns.next_service(weighted) for _ in range(60))
    for service in services:
        share = service.weight / sum(weights)
        assert counts[service.name] / 60 == pytest.approx(share, abs=0.05)


@pytest.mark.parametrize(
    ('connections', 'sharers', 'expected'), [(26, 8, 2), (26, 1, 22), (2, 70, 1)]
)
def test_connections_are_divided_among_entry_vms(connections, sharers, expected):
    assert calls_max(connections, sharers) == expected


def test_a_near_server_is_chosen_unless_one_elsewhere_is_twice_as_quick():
    desk = make_dispatcher(servers=0)
    desk.fleet.update([record('near', 'one'), record('far', 'one', zone='x')], 0)
    near, far = desk.fleet.get('near'), desk.fleet.get('far')
    near.last_received_ms = 0
    far.last_received_ms = 0
    near.succeeded(15)
    far.succeeded(10)
    assert desk.fleet.choose('one', (), 1, LIMITS) is near
    near.mean_ms = 60
    assert desk.fleet.choose('one', (), 1, LIMITS) is far


def test_a_paused_server_is_passed_over_while_its_call_waits():
    desk = make_dispatcher()
    first = desk.fleet.serving('one')[0]
    first.sent(1, 0)
    chosen = {desk.fleet.choose('one', (), 60, LIMITS).name for _ in range(20)}
    assert first.name not in chosen


@pytest.mark.parametrize(
    ('changes', 'is_new'),
    [
        ({'sequence': 9}, False),
        ({'sequence': 0}, True),
        ({'born_ms': 5}, True),
        ({'service': 's1'}, True),
    ],
)
def test_a_server_that_started_again_is_known_by_birth_and_sequence(changes, is_new):
    desk = make_dispatcher(servers=0)
    service = changes.pop('service', 'one')
    desk.fleet.update([record('a', 'one')], 0)
    before = desk.fleet.get('a')
    desk.fleet.update([record('a', service, **changes)], 10)
    assert (desk.fleet.get('a') is not before) is is_new
    assert before.is_gone is is_new


def test_servers_that_are_no_longer_registered_are_gone():
    desk = make_dispatcher()
    desk.fleet.update([record('one-0', 'one')], 10)
    assert len(desk.fleet) == 1
    assert not desk.fleet.has_usable(SHARDS[0], ())


def test_routes_are_out_of_reach_when_too_many_shards_have_no_server():
    desk = make_dispatcher()
    assert count_unreachable_routes(desk.table, desk.fleet, 0) == 0
    for shard in SHARDS[:3]:
        for server in desk.fleet.serving(shard):
            server.unreachable(0)
    assert count_unreachable_routes(desk.table, desk.fleet, 1) == 1
    desk.fleet.update(
        [record(f'{name}-0', name, state=ServerState.DRAINING) for name in SHARDS], 1
    )
    assert count_unreachable_routes(desk.table, desk.fleet, 1) == 3


def test_changed_beliefs_on_a_server_are_told():
    desk = make_dispatcher()
    told = []
    desk.fleet.on_health_change = told.append
    server = desk.fleet.serving('one')[0]
    server.unreachable(0)
    server.succeeded(10)
    assert [belief.health for belief in told] == ['rests', 'answers again']


def test_what_was_learnt_of_a_server_fades():
    desk = make_dispatcher()
    server = desk.fleet.serving('one')[0]
    server.last_received_ms = 0
    server.succeeded(200)
    assert server.typical_ms(0, 10) == 200
    assert server.typical_ms(1500, 10) == 105
    assert server.typical_ms(9000, 10) == 10


def test_calls_that_fail_together_are_one_failure_and_one_line():
    told = []
    server = Server(record('a', 's'), 0, told.append)
    for _ in range(8):
        server.unreachable(100)
    assert server.failures == 1
    server.unreachable(200)
    assert server.failures == 2
    assert [belief.health for belief in told] == ['rests']
