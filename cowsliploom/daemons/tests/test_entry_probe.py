import pytest

from cowsliploom.daemons._entry_probe import ProbeSchedule

SERVERS = tuple(f's{number}' for number in range(6))


def play(owned, until_ms, servers=SERVERS, step_ms=50):
    """Return the times of each server's probes, and those that ask for load."""
    schedule = ProbeSchedule()
    schedule.declare(0, servers)
    schedule.update_owned(0, frozenset(owned))
    times = {server: [] for server in servers}
    loads = dict.fromkeys(servers, 0)
    for now_ms in range(0, until_ms, step_ms):
        for server in schedule.due(now_ms):
            times[server].append(now_ms)
            loads[server] += schedule.wants_load(server)
    return times, loads


def gaps(times):
    return [later - earlier for earlier, later in zip(times, times[1:], strict=False)]


@pytest.mark.parametrize(
    ('owned', 'server', 'longest_ms'),
    [((), 's0', 2050), (('s0',), 's0', 1050), (('s0',), 's1', 5050)],
    ids=['no-owner-yet', 'own', 'others'],
)
def test_probe_pace_follows_ownership(owned, server, longest_ms):
    times, _ = play(owned, 30_000)
    assert max(gaps(times[server])) <= longest_ms


def test_pace_of_all_probes_is_bounded_in_a_large_fleet():
    servers = tuple(f's{number}' for number in range(1000))
    times, _ = play((), 80_000, servers)
    late = sum(when >= 40_000 for probed in times.values() for when in probed)
    assert late <= 26 * 40


def test_load_is_asked_of_owned_servers_only():
    _, loads = play(('s0',), 30_000)
    assert loads['s0'] >= 9
    assert not any(loads[server] for server in SERVERS[1:])


def test_hastened_server_is_due_at_once_and_an_unknown_one_never():
    schedule = ProbeSchedule()
    schedule.declare(0, ('s0',))
    assert schedule.due(0) == ('s0',)
    schedule.make_due(100, 's0')
    schedule.make_due(100, 'gone')
    assert schedule.due(100) == ('s0',)
