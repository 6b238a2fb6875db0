"""A gateway that ends answers what it has taken, and takes nothing more."""

import asyncio
from dataclasses import dataclass, field

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._forwarder import Forwarder
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway.tests.test_store_view import RecordingLog, make_store_view


@dataclass
class Asked:
    """Stand in for a caller's request."""

    target: str
    arrived_ms: float
    method: str = 'GET'
    headers: tuple[tuple[str, str], ...] = (('Host', 'h'), ('Request-Id', 'r-1'))
    body: bytes = b''
    path_ms: float = 0
    statuses: list[int] = field(default_factory=list)

    def answer(self, status, headers, body):
        """Note the answer."""
        self.statuses.append(status)


def forwarder_with(sent):
    """Return a forwarder whose calls go nowhere but into a list."""
    pools = ServerPools(make_dispatcher())
    pools.send = lambda server, call: sent.append(call)
    log = RequestLog(RecordingLog(), Metrics(), make_store_view())
    return Forwarder(pools, None, log)


@pytest.mark.parametrize('target', ['/safe/x', '/once/x', '/wide/x'])
def test_what_comes_after_the_end_of_the_drain_is_refused(target):
    """It came on a new connection, was passed on, and cut as the process ended."""

    async def play():
        sent = []
        forwarder = forwarder_with(sent)
        forwarder.stop_at(forwarder.pools.now_ms() + 60_000)
        early = Asked(target, forwarder.pools.now_ms())
        forwarder.take(early)
        assert sent
        sent.clear()
        forwarder.end_all()
        late = Asked(target, forwarder.pools.now_ms())
        forwarder.take(late)
        assert (early.statuses, late.statuses) == ([504], [503])
        assert not sent
        assert not forwarder.open

    asyncio.run(play())
