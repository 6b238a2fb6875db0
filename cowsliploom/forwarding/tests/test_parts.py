"""Routes, records, weighted round robin, servers."""

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
    unreachable_routes,
)
from cowsliploom.forwarding._server_choice import CallLimits
from cowsliploom.forwarding._weights import WeightedRoundRobin
from cowsliploom.forwarding.tests.dispatcher_harness import (
    SHARDS,
    make_dispatcher,
    record,
)

LIMITS = CallLimits(median_ms=10, calls_max=2)


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
        ('h:8080', '/a/x', '/a/'),
        ('H:80', '/a/x', '/a/'),
        ('h:', '/a/x', None),
        ('h:x', '/a/x', None),
        ('p:81', '/p/x', '/p/'),
        ('h', '', None),
    ],
)
def test_longest_prefix_of_the_host_selects_the_route(host, path, found):
    table = RouteTable(
        1, (route('/a/'), route('/a/b/'), route('/', 'z'), route('/p/', 'p:81'))
    )
    selected = table.find(host, path)
    assert getattr(selected, 'prefix', None) == found


def test_limits_have_defaults_without_a_configuration():
    assert RouteTable().limits == CallerLimits()


@given(st.lists(st.binary(max_size=80), max_size=6), st.integers(0, 12))
def test_merged_records_are_the_greatest_complete_records(bodies, records_max):
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
    round_robin = WeightedRoundRobin(random.Random(3))
    weighted = Route('w', 'h', '/', True, 1, 100, 10, services=services)
    counts = Counter(round_robin.next_service(weighted) for _ in range(60))
    for service in services:
        share = service.weight / sum(weights)
        assert counts[service.name] / 60 == pytest.approx(share, abs=0.05)


@pytest.mark.parametrize(
    ('connections', 'sharers', 'expected'), [(26, 8, 2), (26, 1, 22), (2, 70, 1)]
)
def test_connections_are_divided_among_entry_vms(connections, sharers, expected):
    assert calls_max(connections, sharers) == expected


def test_local_server_is_chosen_unless_a_remote_one_is_much_faster():
    dispatcher = make_dispatcher(servers=0)
    dispatcher.fleet.update(
        [record('near', 'one'), record('far', 'one', data_centre='x')], 0
    )
    local, remote = dispatcher.fleet.get('near'), dispatcher.fleet.get('far')
    local.last_received_ms = 0
    remote.last_received_ms = 0
    local.record_success(15)
    remote.record_success(10)
    assert dispatcher.fleet.choose('one', (), 1, LIMITS) is local
    local.mean_ms = 60
    assert dispatcher.fleet.choose('one', (), 1, LIMITS) is remote


def test_stalled_server_is_not_chosen():
    dispatcher = make_dispatcher()
    first = dispatcher.fleet.serving('one')[0]
    first.add_call(1, 0)
    chosen = {dispatcher.fleet.choose('one', (), 60, LIMITS).name for _ in range(20)}
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
def test_restarted_server_is_detected_by_start_time_and_sequence(changes, is_new):
    dispatcher = make_dispatcher(servers=0)
    service = changes.pop('service', 'one')
    dispatcher.fleet.update([record('a', 'one')], 0)
    before = dispatcher.fleet.get('a')
    dispatcher.fleet.update([record('a', service, **changes)], 10)
    assert (dispatcher.fleet.get('a') is not before) is is_new
    assert before.is_gone is is_new


def test_unregistered_servers_are_removed():
    dispatcher = make_dispatcher()
    dispatcher.fleet.update([record('one-0', 'one')], 10)
    assert len(dispatcher.fleet) == 1
    assert not dispatcher.fleet.has_usable(SHARDS[0], (), 0)


def test_route_is_unreachable_if_too_many_shards_have_no_server():
    dispatcher = make_dispatcher()
    assert len(unreachable_routes(dispatcher.table, dispatcher.fleet, 0)) == 0
    for shard in SHARDS[:3]:
        for server in dispatcher.fleet.serving(shard):
            server.record_unreachable(0)
    assert len(unreachable_routes(dispatcher.table, dispatcher.fleet, 1)) == 1
    dispatcher.fleet.update(
        [record(f'{name}-0', name, state=ServerState.DRAINING) for name in SHARDS], 1
    )
    assert len(unreachable_routes(dispatcher.table, dispatcher.fleet, 1)) == 3


def test_health_changes_of_a_server_are_reported():
    dispatcher = make_dispatcher()
    changes_seen = []
    dispatcher.fleet.on_health_change = changes_seen.append
    server = dispatcher.fleet.serving('one')[0]
    server.record_unreachable(0)
    server.record_success(10)
    assert [health.health for health in changes_seen] == ['rests', 'answers again']


def test_measured_latency_of_a_server_expires():
    dispatcher = make_dispatcher()
    server = dispatcher.fleet.serving('one')[0]
    server.last_received_ms = 0
    server.record_success(200)
    assert server.typical_ms(0, 10) == 200
    assert server.typical_ms(1500, 10) == 105
    assert server.typical_ms(9000, 10) == 10


def test_simultaneous_failures_count_once_and_are_reported_once():
    changes_seen = []
    server = Server(record('a', 's'), 0, changes_seen.append)
    for _ in range(8):
        server.record_unreachable(100)
    assert server.failures == 1
    server.record_unreachable(200)
    assert server.failures == 2
    assert [health.health for health in changes_seen] == ['rests']
