"""An unexpected error in one request's decisions ends that request only."""

import asyncio

import pytest

from cowsliploom.forwarding import ExchangeEvent, Ticked
from cowsliploom.forwarding._exchange import Exchange
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._forwarder import Forwarder
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway.tests.test_forwarder_stopping import FakeHttpRequest
from cowsliploom.gateway.tests.test_store_view import RecordingLog, make_store_view

FAILURE_S = 0.1


def raise_at(monkeypatch, event_type: type[ExchangeEvent], request_id: str):
    """Let a request's exchange fail at an event of a type."""
    step = Exchange.step

    def failing_step(self, event):
        if isinstance(event, event_type) and self.request.request_id == request_id:
            raise OverflowError('made by the test')
        return step(self, event)

    monkeypatch.setattr(Exchange, 'step', failing_step)


def start(forwarder, request_id, target):
    """Start a request."""
    headers = (('Host', 'h'), ('Request-Id', request_id))
    http = FakeHttpRequest(target, forwarder.pools.now_ms(), headers=headers)
    forwarder.handle(http)
    return http


@pytest.mark.parametrize('target', ['/safe/x', '/once/x', '/wide/x'])
@pytest.mark.parametrize('is_late', [False, True], ids=['at-start', 'in-timer'])
def test_error_ends_its_own_request_at_once(monkeypatch, target, is_late):
    """Guard against a request that is never answered as its timer isn't set again."""

    async def run():
        errors, sent = [], []
        pools = ServerPools(make_dispatcher())
        pools.report_error = lambda request_id, error: errors.append(request_id)
        pools.send = lambda server, call: sent.append(call)
        log = RequestLog(RecordingLog(), Metrics(), make_store_view())
        forwarder = Forwarder(pools, None, log)
        if not is_late:
            raise_at(monkeypatch, Ticked, 'bad')
        bad, good = (start(forwarder, name, target) for name in ('bad', 'good'))
        if is_late:
            raise_at(monkeypatch, Ticked, 'bad')
            for runner in tuple(forwarder._runners):
                runner._handle_timer()
        await asyncio.sleep(0)
        open_calls = sum(len(server.open_calls) for server in pools.dispatcher.fleet)
        calls_of_good = len(sent) // 2 if is_late else len(sent)
        assert errors == ['bad']
        assert (bad.statuses, good.statuses) == ([502], [])
        assert open_calls == calls_of_good
        forwarder.stop_now()
        assert not forwarder.open_requests

    asyncio.run(run())
