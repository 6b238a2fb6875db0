"""Clients that take too long are rejected, closed or reset."""

import pytest

from cowsliploom.dataplane._client_timeouts import (
    END_MAX_MS,
    REJECTED_LINGER_MS,
    ClientTimeouts,
    ConnectionState,
    Phase,
    Verdict,
)
from cowsliploom.forwarding import CallerLimits

LIMITS = CallerLimits(header_timeout_ms=3000, idle_timeout_ms=15_000)


@pytest.mark.parametrize(
    ('phase', 'elapsed_ms', 'expected'),
    [
        (Phase.IDLE, 15_000, Verdict.KEEP),
        (Phase.IDLE, 15_001, Verdict.CLOSE),
        (Phase.READING, 3000, Verdict.KEEP),
        (Phase.READING, 3001, Verdict.REJECT),
        (Phase.ANSWERING, 60_000, Verdict.KEEP),
        (Phase.REJECTED, REJECTED_LINGER_MS, Verdict.KEEP),
        (Phase.REJECTED, REJECTED_LINGER_MS + 1, Verdict.CLOSE),
    ],
)
def test_each_phase_has_its_time(phase, elapsed_ms, expected):
    timeouts = ClientTimeouts()
    timeouts.phase_start_ms = 100
    state = ConnectionState(phase, unsent_bytes=0)
    assert timeouts.check(100 + elapsed_ms, state, LIMITS) is expected


@pytest.mark.parametrize('phase', Phase)
def test_ended_connection_is_reset_however_often_it_is_ended(phase):
    timeouts = ClientTimeouts()
    state = ConnectionState(phase, unsent_bytes=100)
    for now_ms in range(0, END_MAX_MS, 100):
        timeouts.end(now_ms)
        assert timeouts.check(now_ms, state, LIMITS) is not Verdict.RESET
    assert timeouts.check(END_MAX_MS + 1, state, LIMITS) is Verdict.RESET


def test_client_that_does_not_read_is_reset():
    timeouts = ClientTimeouts()
    state = ConnectionState(Phase.ANSWERING, unsent_bytes=100)
    verdicts = [timeouts.check(at_ms, state, LIMITS) for at_ms in (0, 15_000, 15_001)]
    assert verdicts == [Verdict.KEEP, Verdict.KEEP, Verdict.RESET]
