"""Calls leave the data centre when that pays, and no more than servers there bear."""

import pytest

from cowsliploom.forwarding import LoadReport
from cowsliploom.forwarding._leaving import LeavingPolicy, leaving_price_ms
from cowsliploom.forwarding._server_choice import CallLimits
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record

MEDIAN_MS = 20
TARGET_MS = 170
PRICE_MS = leaving_price_ms(TARGET_MS, MEDIAN_MS)
LIMITS = CallLimits(MEDIAN_MS, 100, TARGET_MS)


def make_fleet(places):
    """Return a fleet with servers of one service, by their data centres."""
    fleet = make_dispatcher(servers=0).fleet
    servers = [
        record(f'{place}-{number}', 'one', place) for number, place in enumerate(places)
    ]
    fleet.update(servers, 0)
    for server in fleet:
        server.last_received_ms = 0
        server.record_success(MEDIAN_MS)
        server.update_load(LoadReport(0, 0, 2), 0)
    return fleet


def keep_busy(fleet, place, calls):
    """Let calls be open at the servers of a data centre."""
    for server in fleet:
        if server.record.data_centre == place:
            for call_id in range(calls):
                server.add_call(call_id, 0)


def chosen_places(fleet, limits=LIMITS, calls=20):
    """Return the data centres of the servers chosen for calls."""
    picks = (fleet.choose('one', (), 1, limits) for _ in range(calls))
    return {pick.record.data_centre for pick in picks}


@pytest.mark.parametrize(
    ('places', 'busy_at_home', 'expected'),
    [
        (('de', 'gogledd'), 0, {'de'}),
        (('de', 'gogledd'), 2, {'de'}),
        (('de', 'de', 'gogledd'), 6, {'gogledd'}),
        (('de', 'gogledd'), 8, {'gogledd'}),
        (('gogledd', 'cymoedd'), 0, {'gogledd', 'cymoedd'}),
    ],
    ids=['calm', 'short-queue', 'two-long-queues', 'long-queue', 'none-at-home'],
)
def test_calls_leave_once_the_wait_at_home_exceeds_the_price(
    places, busy_at_home, expected
):
    fleet = make_fleet(places)
    keep_busy(fleet, 'de', busy_at_home)
    assert chosen_places(fleet) == expected


@pytest.mark.parametrize(
    ('way_ms', 'expected'),
    [(0, 'gogledd'), (5, 'gogledd'), (40, 'gogledd'), (300, 'de')],
)
def test_way_to_another_data_centre_counts(way_ms, expected):
    fleet = make_fleet(('de', 'gogledd'))
    keep_busy(fleet, 'de', 8)
    fleet.leaving.travel.add('de', 1, 0)
    fleet.leaving.travel.add('gogledd', 1 + way_ms, 0)
    assert chosen_places(fleet) == {expected}


def test_choice_does_not_flap_where_the_wait_is_near_the_price():
    """The load: a queue at home that grows and shrinks around the price."""
    policy, changes = LeavingPolicy('de'), []
    policy.on_change = changes.append
    for step in range(200):
        home_ms = MEDIAN_MS + PRICE_MS * (0.7, 1.1)[step % 2]
        policy.leaves('one', home_ms, MEDIAN_MS, PRICE_MS, now_ms=step * 2000)
    assert [change.leaves for change in changes] == [True]
    assert not policy.leaves('one', MEDIAN_MS, MEDIAN_MS, PRICE_MS, now_ms=500_000)


@pytest.mark.parametrize('sharers', [1, 8, 62, 195])
def test_all_vms_together_take_no_more_than_a_share_of_a_server(sharers):
    """The load: every VM finds its own data centre short, with old load reports."""
    policies = [LeavingPolicy('de') for _ in range(sharers)]
    server = make_fleet(('gogledd',)).get('gogledd-0')
    server.update_load(LoadReport(2, 0, 2), 0)
    sent = sum(
        policy.may_send(server, sharers, now_ms)
        for now_ms in range(1000, 11_000, 5)
        for policy in policies
    )
    capacity = 10_000 * server.record.slots / server.mean_ms
    assert sent <= capacity + sharers
    assert sent >= 0.8 * capacity


@pytest.mark.parametrize(
    ('load', 'may_send'), [(LoadReport(0, 0, 2), True), (LoadReport(2, 3, 2), False)]
)
def test_reported_free_slot_may_be_used_at_once(load, may_send):
    policy, server = LeavingPolicy('de'), make_fleet(('gogledd',)).get('gogledd-0')
    assert policy.may_send(server, 100, 1000)  # what was saved up
    server.update_load(load, 1000)
    assert policy.may_send(server, 100, 1001) is may_send


def test_relay_with_a_slow_server_at_home_may_send_all_its_calls_elsewhere():
    """The load: servers at home turn nine times slower, with a relay for each shard."""
    policy, server = LeavingPolicy('de'), make_fleet(('gogledd',)).get('gogledd-0')
    server.update_load(LoadReport(2, 0, 2), 0)
    relays, calls_per_s = 12, 8
    interval_ms = 1000 // calls_per_s
    sent = [
        policy.may_send(server, relays, 1000 + number * interval_ms)
        for number in range(40)
    ]
    assert sum(sent) >= 0.95 * len(sent)
