"""Calls of the threaded data path on servers whose answers never end."""

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
PATIENCE_MS = 400
LATE_S = 2.0
CALLS = 2  # the second one needs the connection that the first gives up
CALL = SearchCall('r-1', 'one', 'route', 1, 'text', 10, PATIENCE_MS)


def send_without_end(listening, start, piece, pause_s):
    """Serve connections in turn."""
    for _ in range(CALLS):
        connection, _ = listening.accept()
        serve(connection, start, piece, pause_s)


def serve(connection, start, piece, pause_s):
    """Send on one connection until its other side closes it."""
    with connection:
        connection.recv(65536)
        sent_bytes = 0
        try:
            connection.sendall(start)
            while sent_bytes < SENT_BYTES_MAX:
                connection.sendall(piece)
                sent_bytes += len(piece)
                time.sleep(pause_s)
        except OSError:
            return


def outcome_of(start, piece, pause_s):
    """Return the outcome of the last call, or None when there is none in time."""
    outcomes = queue.SimpleQueue()
    clock = SystemClock()
    with socket.create_server(('127.0.0.1', 0)) as listening:
        address = f'127.0.0.1:{listening.getsockname()[1]}'
        threading.Thread(
            target=send_without_end,
            args=(listening, start, piece, pause_s),
            daemon=True,
        ).start()
        with BackendServer(
            'b', address, lambda *told: outcomes.put(told), clock
        ) as one:
            for _ in range(CALLS):
                one.call(CallRequest('c', CALL, clock.now_ms() + PATIENCE_MS), 1)
                try:
                    outcome = outcomes.get(timeout=LATE_S)[-1]
                except queue.Empty:
                    return None
                one.record_call_end()
            return outcome


@pytest.mark.parametrize(
    ('start', 'piece'),
    [(HEAD, b'x' * 1_000_000), (CHUNKED, b'10000\r\n%s\r\n' % (b'x' * 65_536))],
)
def test_a_body_without_end_is_given_up_by_its_size(start, piece):
    failure = outcome_of(start, piece, 0)
    assert (failure.step, failure.ran) == (FailureStep.DECODE, Ran.UNKNOWN)
    assert 'body over 4000000 bytes' in failure.reason


@pytest.mark.parametrize(('start', 'piece'), [(HEAD, b'x'), (CHUNKED, b'1\r\nx\r\n')])
def test_a_body_that_trickles_is_given_up_at_the_deadline(start, piece):
    failure = outcome_of(start, piece, 0.02)
    assert (failure.step, failure.timed_out) == (FailureStep.RECEIVE, True)
