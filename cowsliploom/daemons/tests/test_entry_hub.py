import io
from unittest.mock import Mock

import msgspec
import pytest

from cowsliploom.adapters import JsonLogDestination, SystemClock
from cowsliploom.coordination import (
    ConfigurationReceived,
    Fact,
    FactReceived,
    Member,
    OwnershipChanged,
)
from cowsliploom.daemons._entry_hub import EntryHub, Wiring
from cowsliploom.protocol import HealthReport, ServerState, VmInfo, VmList, VmState
from cowsliploom.resources import Configuration
from cowsliploom.routing import HealthReported, ServersLeaving, ServersWarm

REPORT = HealthReport('s1', 'cellar', 'i1', 'v1', ServerState.LIVE, ())


@pytest.fixture
def wiring():
    return Wiring(Mock(), Mock(), Mock(), Mock(), Mock())


@pytest.fixture
def hub(wiring):
    connected = EntryHub(Member('entry-1', '', 'de'), SystemClock())
    connected.connect(wiring)
    connected.take_applied(Configuration(1))
    return connected


def taken(wiring):
    return [call.args[0] for call in wiring.router.take.call_args_list]


@pytest.mark.parametrize(
    'event',
    [
        ConfigurationReceived(3, b'\xff{'),
        FactReceived(Fact('health/s1', 1, b'\xff{')),
        FactReceived(Fact('health/s1', 1, b'{}')),
        FactReceived(Fact('vms/leaving', 1, b'7')),
        FactReceived(Fact('warm/entry-2', 1, b'')),
    ],
)
def test_unreadable_news_of_a_peer_is_logged_and_passed_over(hub, wiring, event):
    lines = io.StringIO()
    with JsonLogDestination(lines):
        hub.take_peer_event(event)
    assert 'Peer sent a bad' in lines.getvalue()
    assert not taken(wiring)


def test_told_health_reaches_the_router_unless_the_server_is_owned(hub, wiring):
    told = FactReceived(Fact('health/s1', 1, msgspec.json.encode(REPORT)))
    hub.take_peer_event(told)
    assert [type(event) for event in taken(wiring)] == [HealthReported]
    hub.take_peer_event(OwnershipChanged(frozenset(('s1',))))
    wiring.router.take.reset_mock()
    hub.take_peer_event(told)
    assert not taken(wiring)


def test_owner_spreads_a_change_of_health_once(hub, wiring):
    hub.take_peer_event(OwnershipChanged(frozenset(('s1',))))
    for _ in range(3):
        hub.take_probe(HealthReported(1, 's1', REPORT))
    assert wiring.peers.announce_fact.call_count == 1


def test_leaving_servers_are_spread_once_and_each_time_with_a_higher_generation(
    hub, wiring
):
    vm = VmInfo('s1', 'backend', '', 'de', VmState.LEAVING)
    for listed in (VmList((vm,), 1), VmList((vm,), 2), VmList((), 3)):
        hub.take_vm_list(listed)
    facts = [call.args[0] for call in wiring.peers.announce_fact.call_args_list]
    assert [fact.blob for fact in facts] == [b'["s1"]', b'[]']
    assert facts[0].generation < facts[1].generation
    assert [event.servers for event in taken(wiring)] == [{'s1'}, frozenset()]


@pytest.mark.parametrize(
    ('key', 'kind'), [('warm/entry-2', ServersWarm), ('vms/leaving', ServersLeaving)]
)
def test_names_told_by_a_peer_reach_the_router(hub, wiring, key, kind):
    hub.take_peer_event(FactReceived(Fact(key, 1, b'["s1"]')))
    assert [(type(event), event.servers) for event in taken(wiring)] == [
        (kind, frozenset(('s1',)))
    ]


def test_event_before_connect_is_refused_with_what_is_expected():
    lonely = EntryHub(Member('entry-1', '', 'de'), SystemClock())
    with pytest.raises(RuntimeError, match='expected connect'):
        lonely.spread_warm()
