"""Cold servers are excused for a bounded time."""

import pytest

from cowsliploom.rollout._cold import COLD_EXCUSE_MS, ColdServers


@pytest.mark.parametrize(
    ('times_ms', 'excused'),
    [
        ([0], True),
        ([0, COLD_EXCUSE_MS - 1], True),
        ([0, COLD_EXCUSE_MS - 1, COLD_EXCUSE_MS], False),
        ([0, COLD_EXCUSE_MS / 2, COLD_EXCUSE_MS * 1.2], False),
        ([0, COLD_EXCUSE_MS * 3], True),
    ],
)
def test_cold_spell_excuses_for_a_bounded_time(times_ms, excused):
    servers = ColdServers()
    answers = [servers.is_excused(now_ms, 'v2-0') for now_ms in times_ms]
    assert answers[-1] is excused


def test_each_server_has_its_own_spell():
    servers = ColdServers()
    servers.is_excused(0, 'v2-0')
    servers.is_excused(COLD_EXCUSE_MS - 1, 'v2-0')
    assert not servers.is_excused(COLD_EXCUSE_MS, 'v2-0')
    assert servers.is_excused(COLD_EXCUSE_MS, 'v2-1')
