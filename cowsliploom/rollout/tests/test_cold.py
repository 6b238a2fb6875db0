"""Calls to cold servers are exempt for a bounded time."""

import pytest

from cowsliploom.rollout._cold import COLD_EXEMPTION_MS, ColdServers


@pytest.mark.parametrize(
    ('times_ms', 'is_exempt'),
    [
        ([0], True),
        ([0, COLD_EXEMPTION_MS - 1], True),
        ([0, COLD_EXEMPTION_MS - 1, COLD_EXEMPTION_MS], False),
        ([0, COLD_EXEMPTION_MS / 2, COLD_EXEMPTION_MS * 1.2], False),
        ([0, COLD_EXEMPTION_MS * 3], True),
    ],
)
def test_cold_server_is_exempt_for_a_bounded_time(times_ms, is_exempt):
    servers = ColdServers()
    answers = [servers.is_exempt(now_ms, 'v2-0') for now_ms in times_ms]
    assert answers[-1] is is_exempt


def test_cold_spells_are_counted_by_server():
    servers = ColdServers()
    servers.is_exempt(0, 'v2-0')
    servers.is_exempt(COLD_EXEMPTION_MS - 1, 'v2-0')
    assert not servers.is_exempt(COLD_EXEMPTION_MS, 'v2-0')
    assert servers.is_exempt(COLD_EXEMPTION_MS, 'v2-1')
