"""Relays of a large fleet: requests for a server meet at few VMs.

The load pattern: 195 entry VMs in five data centres share some thirty queries a second,
so that each sees one in six seconds. All servers are in two of the data centres.
"""

import random
from collections import Counter, defaultdict

import pytest

from cowsliploom.forwarding import (
    FanOut,
    Route,
    RouteTable,
    SendToRelay,
    ServiceRules,
    plan_remote_relays,
)
from cowsliploom.forwarding.tests.dispatcher_harness import (
    RequestDriver,
    make_dispatcher,
    record,
)
from cowsliploom.members import Member

DATA_CENTRES = {'de': 43, 'a': 40, 'b': 34, 'c': 41, 'd': 37}
SERVER_DATA_CENTRES = ('a', 'b')
SHARDS = tuple(f'k{number:02}' for number in range(87))
WIDE = Route('many', 'h', '/many/', True, 2, 1500, 100, fan_out=FanOut(SHARDS, 4, 0.9))
MEMBERS = tuple(
    Member(f'vm-{data_centre}-{number}', f'10.{at}.0.{number}:7000', data_centre)
    for at, (data_centre, count) in enumerate(DATA_CENTRES.items())
    for number in range(count)
)
EVERYWHERE = {shard: frozenset(SERVER_DATA_CENTRES) for shard in SHARDS}
QUERIES = 200


def plan_of(requester, data_centres=None):
    """Return the plan of a member of a data centre without servers."""
    remote = tuple(one for one in MEMBERS if one.data_centre != 'de')
    return plan_remote_relays(data_centres or EVERYWHERE, remote, requester, SHARDS)


def relays_by_shard(requesters, data_centres=None):
    """Return the first relays of each shard over the plans of several members."""
    relays = defaultdict(set)
    for requester in requesters:
        for share in plan_of(requester, data_centres):
            for shard in share.shards:
                relays[shard].add(share.relays[0])
    return relays


REQUESTERS = [one.name for one in MEMBERS if one.data_centre == 'de']


def test_all_requesters_reach_a_server_through_the_same_relay():
    for relays in relays_by_shard(REQUESTERS).values():
        found = Counter(relay.data_centre for relay in relays)
        assert found == Counter(SERVER_DATA_CENTRES)


def test_requesters_divide_themselves_among_data_centres_with_the_same_shards():
    chosen = Counter(plan_of(name)[0].relays[0].data_centre for name in REQUESTERS)
    assert min(chosen[name] for name in SERVER_DATA_CENTRES) >= len(REQUESTERS) / 4


def test_shard_without_server_leaves_the_others_with_their_relays():
    without = {shard: found for shard, found in EVERYWHERE.items() if shard != 'k03'}
    before, after = relays_by_shard(REQUESTERS), relays_by_shard(REQUESTERS, without)
    assert after == {shard: before[shard] for shard in without}


@pytest.mark.parametrize('requester', REQUESTERS[:3])
def test_each_share_has_a_relay_of_its_own_and_another_one_in_reserve(requester):
    plan = plan_of(requester)
    assert len({share.relays[0] for share in plan}) == len(plan)
    for share in plan:
        first, second = share.relays
        assert first != second
        assert first.data_centre == second.data_centre


def make_requester(name, data_centre):
    """Return the dispatcher of one entry VM."""
    dispatcher = make_dispatcher()
    dispatcher.name = name
    dispatcher.fleet.data_centre = data_centre
    rules = {shard: ServiceRules(shard, connections_max=120) for shard in SHARDS}
    dispatcher.apply_table(RouteTable(4, (WIDE,), rules))
    servers = [
        record(f'{shard}-{at}', shard, data_centre=at)
        for shard in SHARDS
        for at in SERVER_DATA_CENTRES
    ]
    dispatcher.fleet.update(servers, 0)
    dispatcher.members = lambda: tuple(one for one in MEMBERS if one.name != name)
    return dispatcher


def relay_commands(driver):
    """Return the shares that were sent to relays."""
    return [one for one in driver.commands if isinstance(one, SendToRelay)]


def test_few_relays_call_each_server_under_sparse_load():
    generator = random.Random(195)
    dispatchers = {}
    callers = defaultdict(set)
    queries_of_relay = Counter()
    for number in range(QUERIES):
        member = generator.choice(MEMBERS)
        dispatcher = dispatchers.setdefault(
            member.name, make_requester(member.name, member.data_centre)
        )
        driver = RequestDriver.start(dispatcher, '/many/x', now_ms=30 * number)
        for command in relay_commands(driver):
            relay = command.relay.record
            queries_of_relay[relay.name] += 1
            for call in command.calls:
                callers[call.shard, relay.data_centre].add(relay.name)
    assert len(callers) == len(SHARDS) * len(SERVER_DATA_CENTRES)
    # A local requester that is itself the relay of a share asks another member.
    assert max(map(len, callers.values())) <= 3
    assert max(queries_of_relay.values()) <= 0.65 * QUERIES


def test_share_goes_to_the_second_relay_while_the_first_does_not_respond():
    dispatcher = make_requester('vm-de-0', 'de')
    first = relay_commands(RequestDriver.start(dispatcher, '/many/x'))
    silent, *responsive = first
    for command in responsive:
        command.relay.last_received_ms = 100
    again = relay_commands(RequestDriver.start(dispatcher, '/many/x', now_ms=100))
    shares = {command.calls[0].shard for command in first}
    assert {command.calls[0].shard for command in again} == shares
    assert silent.relay not in {command.relay for command in again}
