"""Log lines of rejected requests give the cause and the configuration in force."""

import asyncio

import pytest

from cowsliploom.dataplane import ConnectionPool, HttpListener, Rejection
from cowsliploom.forwarding import CallerLimits, CallerRequest, ErrorReply, Outcome
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway.tests.test_store_view import (
    RecordingLog,
    configuration,
    make_store_view,
)
from cowsliploom.members import Batch

REQUEST = CallerRequest('r-1', 'GET', 'h', '/x', (), b'', 5000, 800)
HEAD = 'GET / HTTP/1.1\r\nRequest-Id: r-1\r\nHost: h\r\n'
LIMITS = CallerLimits(200, 10, 100, 1000)


def test_unrouted_request_is_logged_with_the_age_of_the_configuration():
    store_view = make_store_view()
    store_view.apply(Batch(4, (configuration(7, 4),)), Provenance('store'), 3000)
    store_view.confirm(6, Provenance('peer'), 4000)
    log = RecordingLog()
    reply = ErrorReply(Outcome.NO_ROUTE, 'no route')
    RequestLog(log, Metrics(), store_view).record_end(REQUEST, None, reply, 404, 0)
    ((part, event, fields),) = log.lines
    assert (part, event, fields['request_id']) == ('request', 'no route', 'r-1')
    assert (fields['version'], fields['revision']) == (7, 4)
    assert fields['heard_revision'] == 6
    assert fields['confirmed_age_ms'] == 2000


@pytest.mark.parametrize(
    ('content', 'status', 'reason'),
    [
        (f'{HEAD}Content-Length: 11\r\n\r\n{"b" * 11}', 413, 'body over 10 bytes'),
        (f'{HEAD}Long: {"x" * 200}\r\n\r\n', 431, 'head over 200 bytes'),
        (f'{HEAD}no header\r\n\r\n', 400, 'HttpParser'),
        (HEAD, 408, 'not whole after'),
    ],
)
def test_incomplete_or_invalid_request_is_logged_with_its_reason(
    content, status, reason
):
    log = RecordingLog()
    metrics = Metrics()
    request_log = RequestLog(log, metrics, make_store_view())

    async def run():
        listener = HttpListener(
            '127.0.0.1:0',
            lambda request: None,
            lambda: LIMITS,
            request_log.record_rejection,
        )
        await listener.start()
        await ConnectionPool(listener.address).ask(content.encode(), 2000)
        await listener.close()

    asyncio.run(run())
    ((part, event, fields),) = log.lines
    assert (part, event, fields['status']) == ('request', 'unreadable', status)
    assert reason in fields['reason']
    assert fields['request_id'] == 'r-1'
    assert fields['peer'].startswith('127.0.0.1:')
    assert 'cowsliploom_unreadable_requests_total 1' in metrics.render()


def test_rejected_request_without_id_is_logged_with_empty_id():
    log = RecordingLog()
    rejection = Rejection(400, 'no method', '127.0.0.1:9', [])
    RequestLog(log, Metrics(), make_store_view()).record_rejection(rejection)
    assert log.lines[0][2]['request_id'] == ''
