"""A second copy of an answer, late, is not taken for the answer to another call."""

import asyncio
from dataclasses import replace

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._forwarder import Forwarder
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway.tests.test_forwarder_stopping import FakeHttpRequest
from cowsliploom.gateway.tests.test_store_view import RecordingLog, make_store_view

ID = (('Request-Id', 'r-1'),)
NOT_RUN = (('Not-Executed', '1'),)
RUN_S = 0.02


def render(status, headers, body=b''):
    """Return an answer as bytes."""
    lines = [f'{name}: {text}' for name, text in headers]
    head = (f'HTTP/1.1 {status} X', *lines, f'Content-Length: {len(body)}', '', '')
    return '\r\n'.join(head).encode() + body


class RepeatingServer:
    """Server that writes a second copy of its latest answer before the next run.

    Parameters
    ----------
    rejection : bytes
        Answer to the first requests, which are not run.
    rejected : int
        Number of these requests.
    """

    def __init__(self, rejection, rejected=1):
        self.rejection = rejection
        self.rejections_left = rejected
        self.runs = 0
        self.connections = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        copy = b''
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(copy)
                copy = await self._answer()
                writer.write(copy)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self):
        if self.rejections_left:
            self.rejections_left -= 1
            return self.rejection
        self.runs += 1
        await asyncio.sleep(RUN_S)
        return render(200, (*ID, ('Response-Signature', 's')), b'ok')


async def forward(repeating, *targets):
    """Forward requests one after the other; return their statuses."""
    server = await asyncio.start_server(repeating.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    dispatcher = make_dispatcher(servers=0)
    only = replace(record('one-0', 'one'), address=f'{host}:{port}')
    dispatcher.fleet.update([only], 0)
    log = RequestLog(RecordingLog(), Metrics(), make_store_view())
    forwarder = Forwarder(ServerPools(dispatcher), None, log)
    statuses = []
    for target in targets:
        request = FakeHttpRequest(target, forwarder.pools.now_ms(), 'POST')
        forwarder.handle(request)
        while forwarder.open_requests:
            await asyncio.sleep(RUN_S / 4)
        statuses.extend(request.statuses)
        await asyncio.sleep(RUN_S)
    forwarder.pools.close_idle()
    server.close()
    await asyncio.sleep(RUN_S)
    return statuses


@pytest.mark.parametrize('target', ['/once/x', '/safe/x'])
@pytest.mark.parametrize('rejected', [1, 2, 3])
@pytest.mark.parametrize(
    'rejection',
    [
        render(503, (*ID, *NOT_RUN)),
        render(429, (*ID, *NOT_RUN)),
        render(503, NOT_RUN),
    ],
    ids=['full', 'too-many', 'without-id'],
)
def test_copy_of_a_rejection_does_not_answer_the_next_sending_of_its_request(
    target, rejected, rejection
):
    """Guard against requests that were answered 503 and ran, or ran twice."""
    repeating = RepeatingServer(rejection, rejected)
    assert asyncio.run(forward(repeating, target)) == [200]
    assert repeating.runs == 1
