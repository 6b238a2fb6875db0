import pytest

from cowsliploom.daemons._entry_probe import ProbeSchedule

SERVERS = tuple(f's{number}' for number in range(6))


def simulate(owned, until_ms, servers=SERVERS, step_ms=50):
    """Return the times of each server's probes, and its number of load probes."""
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
    ids=['no-owned-servers', 'owned-server', 'other-server'],
)
def test_probe_interval_depends_on_ownership(owned, server, longest_ms):
    times, _ = simulate(owned, 30_000)
    assert max(gaps(times[server])) <= longest_ms


def test_total_probe_rate_is_bounded_for_many_servers():
    servers = tuple(f's{number}' for number in range(1000))
    times, _ = simulate((), 80_000, servers)
    late = sum(when >= 40_000 for probed in times.values() for when in probed)
    assert late <= 26 * 40


def test_load_is_fetched_from_owned_servers_only():
    _, loads = simulate(('s0',), 30_000)
    assert loads['s0'] >= 9
    assert not any(loads[server] for server in SERVERS[1:])


def test_make_due_makes_known_server_due_and_ignores_unknown():
    schedule = ProbeSchedule()
    schedule.declare(0, ('s0',))
    assert schedule.due(0) == ('s0',)
    schedule.make_due(100, 's0')
    schedule.make_due(100, 'gone')
    assert schedule.due(100) == ('s0',)
