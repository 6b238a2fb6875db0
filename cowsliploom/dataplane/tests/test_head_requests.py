"""The answer to HEAD ends with its head, whatever length it states."""

import asyncio

import pytest

from cowsliploom.dataplane import ConnectionPool
from cowsliploom.dataplane.tests.test_connection_pool import ScriptedServer
from cowsliploom.dataplane.tests.test_listener import echo, run_listener

TIMEOUT_MS = 500


def ask_twice(scripted):
    """Return the results of two HEAD requests."""

    async def run():
        server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}')
        content = b'HEAD / HTTP/1.1\r\n\r\n'
        results = [await pool.ask(content, TIMEOUT_MS) for _ in range(2)]
        pool.close()
        server.close()
        return results

    return asyncio.run(run())


@pytest.mark.parametrize(
    'framing',
    [b'Content-Length: 5\r\n', b'Transfer-Encoding: chunked\r\n', b''],
    ids=['length', 'chunks', 'none'],
)
@pytest.mark.parametrize('body', [b'', b'stray'], ids=['no-body', 'body'])
def test_answer_to_head_is_complete_at_once(framing, body):
    """Guard against a wait for a body that does not come."""
    answer = b'HTTP/1.1 200 OK\r\n' + framing + b'\r\n' + body
    results = ask_twice(ScriptedServer([answer], [answer]))
    assert [(result.status, result.body) for result in results] == [(200, b'')] * 2


def test_own_answer_to_head_has_neither_body_nor_length():
    received = run_listener(echo, b'HEAD /a HTTP/1.1\r\n\r\n', wait_s=0.1)
    assert received.startswith(b'HTTP/1.1 200')
    assert received.endswith(b'\r\n\r\n')
    assert b'Content-Length' not in received
