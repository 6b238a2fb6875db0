"""The newest registration says until when a server is cold."""

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record


def is_cold(reports, at_ms):
    """Return whether a server is cold after registrations (time, warm-up time)."""
    dispatcher = make_dispatcher(servers=0)
    for sequence, (now_ms, cold_ms) in enumerate(reports, start=1):
        registered = record('only', 'one', cold_ms=cold_ms, sequence=sequence)
        dispatcher.fleet.update([registered], now_ms)
    return dispatcher.fleet.get('only').is_cold(at_ms)


@pytest.mark.parametrize(
    ('reports', 'until_ms'),
    [
        ([(0, 8000)], 8000),
        ([(0, 8000), (6000, 8000)], 14_000),
        ([(0, 8000), (6000, 8000), (7200, 6800)], 14_000),
        ([(0, 8000), (1200, 3000)], 4200),
        ([(0, 8000), (1200, 0)], 1200),
        ([(0, 0), (5000, 8000)], 13_000),
    ],
    ids=['first', 'again', 'repeated', 'sooner', 'warm', 'from-warm'],
)
def test_newest_registration_decides_until_when_a_server_is_cold(reports, until_ms):
    """A server that became cold again received its full share and crashed."""
    assert is_cold(reports, until_ms - 1)
    assert not is_cold(reports, until_ms)
