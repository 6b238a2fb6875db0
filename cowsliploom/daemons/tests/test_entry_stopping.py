"""Shutdown of the caller API: pending requests are answered, late ones refused."""

import threading
import time

import pytest

from cowsliploom.adapters import HttpRequest, SystemClock
from cowsliploom.daemons._entry_http import CallerApi, EntryViews, Readiness

LATE_S = 1
CLOCK = SystemClock()


def make_api(post):
    """Return a caller API that sends router messages to a function."""
    return CallerApi(post, None, CLOCK, EntryViews(Readiness, tuple))


def run_request(timeout_ms=5000):
    """Return a non-idempotent request."""
    headers = {'request-id': 'r-1', 'request-timeout-ms': str(timeout_ms)}
    path = '/v1/services/rota/requests'
    return HttpRequest('POST', path, headers=headers, body=b'{"payload": "x"}')


@pytest.mark.parametrize(
    ('left_ms', 'timeout_ms', 'is_taken'),
    [(2000, 5000, True), (900, 5000, False), (900, 100, True), (0, 100, False)],
)
def test_request_without_enough_time_before_stop_is_refused(
    left_ms, timeout_ms, is_taken
):
    """Requests accepted just before the stop were aborted without a response."""
    posted = []
    api = make_api(posted.append)
    api.stop_at(CLOCK.now_ms() + left_ms)
    ending = threading.Timer(0.2, api.end_pending)
    ending.start()
    response = api.answer(run_request(timeout_ms))
    ending.join()
    assert bool(posted) == is_taken
    assert (response.status == 503) != is_taken
    if not is_taken:
        assert b'"ran":"no"' in response.body
        assert b'"stopping"' in response.body


def test_pending_request_is_answered_when_process_ends():
    """Pending requests were aborted without a response at the end of the drain."""
    api = make_api(lambda message: None)
    threading.Timer(0.2, api.end_pending).start()
    started = time.monotonic()
    response = api.answer(run_request())
    assert time.monotonic() < started + LATE_S
    assert response.status == 504
    assert b'"ran":"unknown"' in response.body
    assert api.answer(run_request()).status == 503
