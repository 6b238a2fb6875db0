"""Peers that read nothing for a while get the rest of their bytes."""

import asyncio
import socket

import pytest

from cowsliploom.dataplane import ConnectionPool, HttpAnswer, HttpListener
from cowsliploom.forwarding import CallerLimits

LIMITS = CallerLimits(
    header_bytes_max=400,
    body_bytes_max=100,
    header_timeout_ms=10_000,
    idle_timeout_ms=15_000,
)
RECEIVE_BYTES = 4096  # of the receive buffer of a slow peer
SENT_BYTES = 18_000  # fits the kernel's send buffer, not the peer's receive buffer
PAUSE_S = 4.0  # longer than a peer may leave bytes without an acknowledgement
PATIENCE_S = 8.0
HEAD = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % SENT_BYTES
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def small_socket():
    """Return a socket with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    return sock


async def read_after_pause(reader, writer, needed_bytes, pause_s):
    """Read nothing for a while, then everything; return the number of bytes."""
    writer.transport.pause_reading()
    await asyncio.sleep(pause_s)
    writer.transport.resume_reading()
    received_bytes = 0
    while received_bytes < needed_bytes:
        chunk = await reader.read(RECEIVE_BYTES)
        if not chunk:
            break
        received_bytes += len(chunk)
    return received_bytes


async def answer_slow_caller(pause_s):
    """Return how many bytes a slow caller gets of a long answer."""
    listener = HttpListener(
        '127.0.0.1:0',
        lambda request: request.answer(200, [], bytes(SENT_BYTES)),
        lambda: LIMITS,
    )
    await listener.start()
    host, _, port = listener.address.rpartition(':')
    sock = small_socket()
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
    writer.write(b'GET / HTTP/1.1\r\n\r\n')
    async with asyncio.timeout(PATIENCE_S):
        received_bytes = await read_after_pause(reader, writer, SENT_BYTES, pause_s)
    writer.transport.abort()
    await listener.close()
    return received_bytes


async def call_slow_server(pause_s):
    """Return the result of a call with a long body to a slow server."""

    async def serve(reader, writer):
        await read_after_pause(reader, writer, len(HEAD) + SENT_BYTES, pause_s)
        writer.write(OK)
        writer.close()

    listening = small_socket()
    listening.bind(('127.0.0.1', 0))
    server = await asyncio.start_server(serve, sock=listening, limit=RECEIVE_BYTES)
    host, port = listening.getsockname()
    pool = ConnectionPool(f'{host}:{port}')
    result = await pool.ask(HEAD + bytes(SENT_BYTES), PATIENCE_S * 1000)
    pool.close()
    server.close()
    return result


@pytest.mark.parametrize('pause_s', [0.1, PAUSE_S])
def test_caller_that_reads_nothing_for_a_while_gets_its_whole_answer(pause_s):
    """Guard against answers lost because a zero window counts as a dead peer."""
    assert asyncio.run(answer_slow_caller(pause_s)) > SENT_BYTES


@pytest.mark.parametrize('pause_s', [0.1, PAUSE_S])
def test_server_that_reads_nothing_for_a_while_gets_the_whole_body(pause_s):
    """Guard against calls that fail because a zero window counts as a dead peer."""
    assert isinstance(asyncio.run(call_slow_server(pause_s)), HttpAnswer)
