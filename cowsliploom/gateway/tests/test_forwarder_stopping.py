"""A stopping gateway answers its open requests and rejects new ones."""

import asyncio
from dataclasses import dataclass, field

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._forwarder import Forwarder
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway.tests.test_store_view import RecordingLog, make_store_view


@dataclass
class FakeHttpRequest:
    """Caller's request that records the status of its answer."""

    target: str
    arrived_ms: float
    method: str = 'GET'
    headers: tuple[tuple[str, str], ...] = (('Host', 'h'), ('Request-Id', 'r-1'))
    body: bytes = b''
    path_ms: float = 0
    statuses: list[int] = field(default_factory=list)

    def answer(self, status, headers, body):
        """Record the status."""
        self.statuses.append(status)


def make_forwarder(sent):
    """Return a forwarder that appends its calls to a list."""
    pools = ServerPools(make_dispatcher())
    pools.send = lambda server, call: sent.append(call)
    log = RequestLog(RecordingLog(), Metrics(), make_store_view())
    return Forwarder(pools, None, log)


@pytest.mark.parametrize('target', ['/safe/x', '/once/x', '/wide/x'])
def test_request_after_the_end_of_the_drain_is_rejected(target):
    """Guard against forwarding a request on a new connection that the exit cuts off."""

    async def run_scenario():
        sent = []
        forwarder = make_forwarder(sent)
        forwarder.stop_at(forwarder.pools.now_ms() + 60_000)
        early = FakeHttpRequest(target, forwarder.pools.now_ms())
        forwarder.handle(early)
        assert sent
        sent.clear()
        forwarder.stop_now()
        late = FakeHttpRequest(target, forwarder.pools.now_ms())
        forwarder.handle(late)
        assert (early.statuses, late.statuses) == ([504], [503])
        assert not sent
        assert not forwarder.open_requests

    asyncio.run(run_scenario())
