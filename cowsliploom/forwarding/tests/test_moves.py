"""During a version move, each version gets its share of the calls."""

import dataclasses

import pytest

from cowsliploom.forwarding import (
    CallHistory,
    Fleet,
    Server,
    ServerRecord,
    ServerState,
    VersionSplit,
)
from cowsliploom.forwarding._call_history import CALLS_KEPT, SERVICES_KEPT
from cowsliploom.forwarding._server_choice import CallLimits
from cowsliploom.forwarding._sub_request import Attempt

LIMITS = CallLimits(median_ms=10, calls_max=10_000)


def record(name, version, service='s', state=ServerState.READY):
    """Return a registration."""
    return ServerRecord(name, service, f'{name}:1', 'de', version, 4, state, 0, 1)


def fleet_of(*records):
    """Return a fleet of servers."""
    fleet = Fleet(1, 'de', bool)
    fleet.update(records, 0)
    return fleet


def versions(fleet, tried=()):
    """Return the versions that the calls of many requests are sent to."""
    picks = [fleet.choose('s', tried, 0, LIMITS, f'r-{each}') for each in range(1000)]
    return [pick.record.version for pick in picks if pick is not None]


@pytest.mark.parametrize(
    ('share', 'low', 'high'),
    [(0, 0, 0), (0.05, 20, 90), (0.5, 420, 580), (1.0, 1000, 1000)],
)
def test_calls_are_split_between_versions_by_share(share, low, high):
    fleet = fleet_of(record('a', 'v1'), record('b', 'v1'), record('c', 'v2'))
    fleet.split('s', VersionSplit('v2', share))
    assert low <= versions(fleet).count('v2') <= high


@pytest.mark.parametrize('share', [0, None])
def test_version_without_a_share_gets_no_retry(share):
    fleet = fleet_of(record('a', 'v1'), record('c', 'v2'))
    fleet.split('s', VersionSplit('v2', share))
    assert versions(fleet, tried=('a',)) == []
    assert not fleet.has_usable('s', ('a',), 0)


OUT = {
    'draining': lambda fleet: fleet.update(
        [record('a', 'v1', state=ServerState.DRAINING), record('c', 'v2')], 0
    ),
    'gone': lambda fleet: fleet.update([record('c', 'v2')], 0),
    'evacuated': lambda fleet: setattr(
        fleet, 'closed_data_centres', frozenset(('de',))
    ),
    'full': lambda fleet: fleet.get('a').open_calls.update(dict.fromkeys(range(10**4))),
    'ejected': lambda fleet: setattr(fleet.get('a'), 'ejected_until_ms', 10**6),
    'tried': lambda fleet: None,
}


def fleet_without_old(out):
    """Return a fleet whose old server is unusable; the new one is remote."""
    fleet = Fleet(1, 'de', bool)
    new = dataclasses.replace(record('c', 'v2'), data_centre='gogledd')
    fleet.update([record('a', 'v1'), new], 0)
    OUT[out](fleet)
    return fleet


@pytest.mark.parametrize('out', OUT)
@pytest.mark.parametrize(
    ('share', 'low', 'high'),
    [(None, 0, 0), (0, 0, 0), (0.05, 20, 90), (0.3, 250, 350), (1.0, 1000, 1000)],
)
def test_new_version_keeps_its_share_if_old_servers_are_unusable(share, low, high, out):
    fleet = fleet_without_old(out)
    fleet.split('s', VersionSplit('v2', share))
    tried = ('a',) if out == 'tried' else ()
    assert low <= versions(fleet, tried).count('v2') <= high


@pytest.mark.parametrize('out', OUT)
def test_blocked_version_gets_no_call_if_other_servers_are_unusable(out):
    fleet = fleet_without_old(out)
    fleet.block_versions('s', frozenset(('v2',)))
    tried = ('a',) if out == 'tried' else ()
    assert 'v2' not in versions(fleet, tried)


def test_all_calls_of_a_request_go_to_one_version():
    fleet = fleet_of(record('a', 'v1'), record('c', 'v2'))
    fleet.split('s', VersionSplit('v2', 0.1))
    for number in range(100):
        looks = [fleet.choose('s', (), 0, LIMITS, f'r-{number}') for _ in range(50)]
        assert len({server.record.version for server in looks}) == 1


def test_request_of_the_new_version_falls_back_to_an_old_server():
    fleet = fleet_of(record('a', 'v1'), record('c', 'v2'))
    fleet.split('s', VersionSplit('v2', 0.9))
    assert versions(fleet, tried=('c',)).count('v1') == 1000


def test_layout_version_increases_only_if_a_share_changes():
    fleet = fleet_of(record('a', 'v1'), record('c', 'v2'))
    before = fleet.layout_version
    fleet.split('s', VersionSplit('v2', 0.1))
    fleet.split('s', VersionSplit('v2', 0.1))
    assert fleet.layout_version == before + 1


def test_calls_of_watched_services_are_reported_and_latest_kept():
    memory, seen = CallHistory(), []
    memory.on_call = seen.append
    memory.watched = frozenset(('s',))
    for number in range(CALLS_KEPT + 5):
        for service in ('s', 't'):
            server = Server(record('a', 'v1', service), 0)
            memory.add(Attempt(server, number), 'r', number + 3, ok=True)
    assert len(seen) == CALLS_KEPT + 5
    assert {call.elapsed_ms for call in seen} == {3}
    assert [call.now_ms for call in memory.latest('t')][0] == 8
    assert memory.latest('unknown') == ()


def test_oldest_service_is_dropped_from_full_call_history():
    memory = CallHistory()
    for number in range(SERVICES_KEPT + 1):
        server = Server(record('a', 'v1', f's{number}'), 0)
        memory.add(Attempt(server, 0), 'r', 1, ok=True)
    assert memory.latest('s0') == ()
    assert memory.latest('s1')
