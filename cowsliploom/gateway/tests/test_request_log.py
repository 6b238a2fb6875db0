"""Log lines of rejected requests give the cause and the configuration in force."""

import asyncio

import pytest

from cowsliploom.dataplane import ConnectionPool, HttpListener, Rejection
from cowsliploom.forwarding import CallerLimits, CallerRequest, Outcome, ErrorReply
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._heard import Heard
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway.tests.test_knowledge import Notes, configuration
from cowsliploom.gateway.tests.test_knowledge import make_knowledge
from cowsliploom.members import Batch

REQUEST = CallerRequest('r-1', 'GET', 'h', '/x', (), b'', 5000, 800)
HEAD = 'GET / HTTP/1.1\r\nRequest-Id: r-1\r\nHost: h\r\n'
LIMITS = CallerLimits(200, 10, 100, 1000)


def test_unrouted_request_is_logged_with_the_age_of_the_configuration():
    knowledge = make_knowledge()
    knowledge.take(Batch(4, (configuration(7, 4),)), Heard('store'), 3000)
    knowledge.confirm(6, Heard('peer'), 4000)
    log = Notes()
    reply = ErrorReply(Outcome.NO_ROUTE, 'no route')
    RequestLog(log, Metrics(), knowledge).record_end(REQUEST, None, reply, 404, 0)
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
    log = Notes()
    metrics = Metrics()
    request_log = RequestLog(log, metrics, make_knowledge())

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
    log = Notes()
    rejection = Rejection(400, 'no method', '127.0.0.1:9', [])
    RequestLog(log, Metrics(), make_knowledge()).record_rejection(rejection)
    assert log.lines[0][2]['request_id'] == ''
