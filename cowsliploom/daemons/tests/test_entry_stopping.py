"""An entry daemon that stops answers what is open and refuses what is late."""

import threading
import time

import pytest

from cowsliploom.adapters import HttpRequest, SystemClock
from cowsliploom.daemons._entry_http import CallerApi, EntryViews, Readiness

LATE_S = 1
CLOCK = SystemClock()


def make_api(post):
    """Return an interface whose requests go to a function."""
    return CallerApi(post, None, CLOCK, EntryViews(Readiness, tuple))


def run_request(timeout_ms=5000):
    """Return a request that may run once."""
    headers = {'request-id': 'r-1', 'request-timeout-ms': str(timeout_ms)}
    path = '/v1/services/rota/requests'
    return HttpRequest('POST', path, headers=headers, body=b'{"payload": "x"}')


@pytest.mark.parametrize(
    ('left_ms', 'timeout_ms', 'is_taken'),
    [(2000, 5000, True), (900, 5000, False), (900, 100, True), (0, 100, False)],
)
def test_requests_that_may_outlast_the_process_are_refused_at_once(
    left_ms, timeout_ms, is_taken
):
    """They were taken until the last moment, and cut."""
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


def test_open_requests_are_answered_when_the_process_ends():
    """They were cut with no answer at the end of the drain."""
    api = make_api(lambda message: None)
    threading.Timer(0.2, api.end_pending).start()
    started = time.monotonic()
    response = api.answer(run_request())
    assert time.monotonic() < started + LATE_S
    assert response.status == 504
    assert b'"ran":"unknown"' in response.body
    assert api.answer(run_request()).status == 503
