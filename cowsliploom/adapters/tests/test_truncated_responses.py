"""``BackendServer`` reports a truncated response as a failure, not as a reply.

The server closes the connection in the middle of a response.
"""

import queue
import socket
import threading

import msgspec
import pytest

from cowsliploom.adapters import BackendServer, CallRequest, SystemClock
from cowsliploom.protocol import Ran, RunCall, RunReply
from cowsliploom.routing import FailureStep

TIMEOUT_MS = 1000
OUTCOME_TIMEOUT_S = 5
CALL = RunCall('r-1', 'one', 'payload', TIMEOUT_MS)
BODY = msgspec.json.encode(RunReply('r-1', 'one', 'done', 'v1', 'i-1'))
STATUS = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'Content-Length: %d\r\n' % len(BODY)
TRUNCATED = {
    'status line': STATUS[:-4],
    'after the status line': STATUS,
    'in a header': STATUS + b'Content-Le',
    'after a length': STATUS + LENGTH,
    'before the blank line': STATUS + LENGTH + b'\r',
    'before the body': STATUS + LENGTH + b'\r\n',
    'in the body': STATUS + LENGTH + b'\r\n' + BODY[:-1],
    'rejection headers': b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n',
}


def call_server_sending(content):
    """Return the outcome of a call if the server sends ``content`` and closes."""
    outcomes = queue.SimpleQueue()
    clock = SystemClock()

    def serve():
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(content)

    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        threading.Thread(target=serve, daemon=True).start()
        with BackendServer(
            'b', address, lambda *reported: outcomes.put(reported), clock
        ) as server:
            server.call(CallRequest('c', CALL, clock.now_ms() + TIMEOUT_MS), 1)
            return outcomes.get(timeout=OUTCOME_TIMEOUT_S)[-1]


def test_complete_response_is_decoded():
    reply = call_server_sending(STATUS + LENGTH + b'\r\n' + BODY)
    assert isinstance(reply, RunReply)


@pytest.mark.parametrize('cut_point', TRUNCATED)
def test_truncated_response_is_failure_that_may_have_run(cut_point):
    failure = call_server_sending(TRUNCATED[cut_point])
    assert failure.step in {FailureStep.RECEIVE, FailureStep.DECODE}
    assert failure.ran is Ran.UNKNOWN
