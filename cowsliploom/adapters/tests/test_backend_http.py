"""``BackendServer`` fails calls whose response body never ends.

The server sends a body without end, either as fast as it can or in small chunks. The
size limit or the deadline has to end the call and free the connection for the next.
"""

import queue
import socket
import threading
import time

import pytest

from cowsliploom.adapters import BackendServer, CallRequest, SystemClock
from cowsliploom.protocol import Ran, SearchCall
from cowsliploom.routing import FailureStep

HEAD = b'HTTP/1.1 200 OK\r\nX: y\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
SENT_BYTES_MAX = 100_000_000
TIMEOUT_MS = 400
OUTCOME_TIMEOUT_S = 2.0
CALLS = 2  # the second call needs the connection released by the first
CALL = SearchCall('r-1', 'one', 'route', 1, 'text', 10, TIMEOUT_MS)


def send_endless_bodies(listener, head, chunk, pause_s):
    """Serve ``CALLS`` connections one after the other."""
    for _ in range(CALLS):
        connection, _ = listener.accept()
        send_endless_body(connection, head, chunk, pause_s)


def send_endless_body(connection, head, chunk, pause_s):
    """Send on one connection until the client closes it."""
    with connection:
        connection.recv(65536)
        sent_bytes = 0
        try:
            connection.sendall(head)
            while sent_bytes < SENT_BYTES_MAX:
                connection.sendall(chunk)
                sent_bytes += len(chunk)
                time.sleep(pause_s)
        except OSError:
            return


def call_endless_server(head, chunk, pause_s):
    """Return the outcome of the last call, or None if one does not end in time."""
    outcomes = queue.SimpleQueue()
    clock = SystemClock()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        threading.Thread(
            target=send_endless_bodies,
            args=(listener, head, chunk, pause_s),
            daemon=True,
        ).start()
        with BackendServer(
            'b', address, lambda *reported: outcomes.put(reported), clock
        ) as server:
            for _ in range(CALLS):
                server.call(CallRequest('c', CALL, clock.now_ms() + TIMEOUT_MS), 1)
                try:
                    outcome = outcomes.get(timeout=OUTCOME_TIMEOUT_S)[-1]
                except queue.Empty:
                    return None
                server.record_call_end()
            return outcome


@pytest.mark.parametrize(
    ('head', 'chunk'),
    [(HEAD, b'x' * 1_000_000), (CHUNKED, b'10000\r\n%s\r\n' % (b'x' * 65_536))],
)
def test_endless_body_fails_at_size_limit(head, chunk):
    failure = call_endless_server(head, chunk, 0)
    assert (failure.step, failure.ran) == (FailureStep.DECODE, Ran.UNKNOWN)
    assert 'body over 4000000 bytes' in failure.reason


@pytest.mark.parametrize(('head', 'chunk'), [(HEAD, b'x'), (CHUNKED, b'1\r\nx\r\n')])
def test_slow_endless_body_fails_at_deadline(head, chunk):
    failure = call_endless_server(head, chunk, 0.02)
    assert (failure.step, failure.timed_out) == (FailureStep.RECEIVE, True)
