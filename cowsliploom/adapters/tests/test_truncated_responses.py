"""The threaded data path takes no answer that is cut for a whole one."""

import queue
import socket
import threading

import msgspec
import pytest

from cowsliploom.adapters import BackendServer, CallRequest, SystemClock
from cowsliploom.protocol import Ran, RunCall, RunReply
from cowsliploom.routing import FailureStep

PATIENCE_MS = 1000
LATE_S = 5
CALL = RunCall('r-1', 'one', 'payload', PATIENCE_MS)
BODY = msgspec.json.encode(RunReply('r-1', 'one', 'done', 'v1', 'i-1'))
STATUS = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'Content-Length: %d\r\n' % len(BODY)
CUT = {
    'status line': STATUS[:-4],
    'after the status line': STATUS,
    'in a header': STATUS + b'Content-Le',
    'after a length': STATUS + LENGTH,
    'before the blank line': STATUS + LENGTH + b'\r',
    'before the body': STATUS + LENGTH + b'\r\n',
    'in the body': STATUS + LENGTH + b'\r\n' + BODY[:-1],
    'a refusal': b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n',
}


def outcome_of(content):
    """Return the outcome of a call whose answer ends with its connection."""
    outcomes = queue.SimpleQueue()
    clock = SystemClock()

    def serve():
        connection, _ = listening.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(content)

    with socket.create_server(('127.0.0.1', 0)) as listening:
        address = f'127.0.0.1:{listening.getsockname()[1]}'
        threading.Thread(target=serve, daemon=True).start()
        with BackendServer(
            'b', address, lambda *told: outcomes.put(told), clock
        ) as one:
            one.call(CallRequest('c', CALL, clock.now_ms() + PATIENCE_MS), 1)
            return outcomes.get(timeout=LATE_S)[-1]


def test_a_whole_answer_is_taken():
    reply = outcome_of(STATUS + LENGTH + b'\r\n' + BODY)
    assert isinstance(reply, RunReply)


@pytest.mark.parametrize('where', CUT)
def test_an_answer_that_is_cut_is_a_failure_that_may_have_run(where):
    failure = outcome_of(CUT[where])
    assert failure.step in {FailureStep.RECEIVE, FailureStep.DECODE}
    assert failure.ran is Ran.UNKNOWN
