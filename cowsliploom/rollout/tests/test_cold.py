"""Cold servers are excused for a bounded time."""

import pytest

from cowsliploom.rollout._cold import COLD_EXEMPTION_MS, ColdServers


@pytest.mark.parametrize(
    ('times_ms', 'excused'),
    [
        ([0], True),
        ([0, COLD_EXEMPTION_MS - 1], True),
        ([0, COLD_EXEMPTION_MS - 1, COLD_EXEMPTION_MS], False),
        ([0, COLD_EXEMPTION_MS / 2, COLD_EXEMPTION_MS * 1.2], False),
        ([0, COLD_EXEMPTION_MS * 3], True),
    ],
)
def test_cold_spell_excuses_for_a_bounded_time(times_ms, excused):
    servers = ColdServers()
    answers = [servers.is_exempt(now_ms, 'v2-0') for now_ms in times_ms]
    assert answers[-1] is excused


def test_each_server_has_its_own_spell():
    servers = ColdServers()
    servers.is_exempt(0, 'v2-0')
    servers.is_exempt(COLD_EXEMPTION_MS - 1, 'v2-0')
    assert not servers.is_exempt(COLD_EXEMPTION_MS, 'v2-0')
    assert servers.is_exempt(COLD_EXEMPTION_MS, 'v2-1')
