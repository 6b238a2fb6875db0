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
    connected.handle_applied(Configuration(1))
    return connected


def handled(wiring):
    return [call.args[0] for call in wiring.router.handle.call_args_list]


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
def test_undecodable_update_from_peer_is_logged_and_ignored(hub, wiring, event):
    lines = io.StringIO()
    with JsonLogDestination(lines):
        hub.handle_peer_event(event)
    assert 'Peer sent a bad' in lines.getvalue()
    assert not handled(wiring)


def test_health_from_peer_reaches_router_unless_server_is_owned(hub, wiring):
    received = FactReceived(Fact('health/s1', 1, msgspec.json.encode(REPORT)))
    hub.handle_peer_event(received)
    assert [type(event) for event in handled(wiring)] == [HealthReported]
    hub.handle_peer_event(OwnershipChanged(frozenset(('s1',))))
    wiring.router.handle.reset_mock()
    hub.handle_peer_event(received)
    assert not handled(wiring)


def test_owner_announces_changed_health_once(hub, wiring):
    hub.handle_peer_event(OwnershipChanged(frozenset(('s1',))))
    for _ in range(3):
        hub.handle_probe(HealthReported(1, 's1', REPORT))
    assert wiring.peers.announce_fact.call_count == 1


def test_changed_leaving_servers_are_announced_once_with_higher_generation(hub, wiring):
    vm = VmInfo('s1', 'backend', '', 'de', VmState.LEAVING)
    for listed in (VmList((vm,), 1), VmList((vm,), 2), VmList((), 3)):
        hub.handle_vm_list(listed)
    facts = [call.args[0] for call in wiring.peers.announce_fact.call_args_list]
    assert [fact.blob for fact in facts] == [b'["s1"]', b'[]']
    assert facts[0].generation < facts[1].generation
    assert [event.servers for event in handled(wiring)] == [{'s1'}, frozenset()]


@pytest.mark.parametrize(
    ('key', 'kind'), [('warm/entry-2', ServersWarm), ('vms/leaving', ServersLeaving)]
)
def test_server_names_from_peer_reach_router(hub, wiring, key, kind):
    hub.handle_peer_event(FactReceived(Fact(key, 1, b'["s1"]')))
    assert [(type(event), event.servers) for event in handled(wiring)] == [
        (kind, frozenset(('s1',)))
    ]


def test_event_before_connect_raises_error_naming_connect():
    unconnected = EntryHub(Member('entry-1', '', 'de'), SystemClock())
    with pytest.raises(RuntimeError, match='expected connect'):
        unconnected.announce_warm()
