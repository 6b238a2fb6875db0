"""Watched headers are reported as soon as their head is read, on all ways."""

import asyncio
from functools import partial

import pytest

from cowsliploom.dataplane import (
    AnswerOrigin,
    ConnectionPool,
    HeadWatch,
    HttpCall,
    HttpFailure,
)
from cowsliploom.dataplane.tests.test_connection_pool import OK, ScriptedServer

NAMES = frozenset(('server-leaving',))
WATCHED = b'HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\n'
REJECTED = WATCHED.replace(b'200 OK', b'503 No')
CHUNKED = WATCHED.replace(b'Content-Length: 2', b'Transfer-Encoding: chunked')


def _origin(origin, answer):
    """Return a fixed origin of an answer."""
    return origin


def run_calls(scripted, count=1, origin=AnswerOrigin.THIS_CALL, cancel_after_s=None):
    """Return the heads reported during calls, and the results of these."""

    async def run():
        heads, results = [], []
        server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        watch = HeadWatch(NAMES, lambda status, headers: heads.append(status))
        pool = ConnectionPool(f'{host}:{port}', head_watch=watch)
        for _ in range(count):
            ended = asyncio.get_running_loop().create_future()
            call = HttpCall(
                b'GET / HTTP/1.1\r\n\r\n', ended.set_result, partial(_origin, origin)
            )
            pool.send(call)
            try:
                results.append(await asyncio.wait_for(ended, cancel_after_s or 1))
            except asyncio.TimeoutError:
                call.cancel()
        pool.close()
        server.close()
        return heads, results

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('script', 'heads'),
    [
        ([OK], []),
        ([WATCHED + b'ok'], [200]),
        ([WATCHED.lower().replace(b'http', b'HTTP') + b'ok'], [200]),
        ([REJECTED + b'no'], [503]),
        ([WATCHED[:30], WATCHED[30:] + b'ok'], [200]),
    ],
    ids=['none', 'success', 'lower-case', 'rejection', 'in-pieces'],
)
def test_watched_head_is_reported_once(script, heads):
    assert run_calls(ScriptedServer(script))[0] == heads


@pytest.mark.parametrize(
    'cut',
    [WATCHED, WATCHED + b'o', CHUNKED + b'5\r\nab'],
    ids=['head', 'body', 'chunk'],
)
def test_head_of_an_answer_that_breaks_off_is_reported(cut):
    """Guard against a leaving server that stays in use as its answer was cut."""
    heads, (result,) = run_calls(ScriptedServer([cut], closes=True))
    assert heads == [200]
    assert isinstance(result, HttpFailure)


def test_head_of_an_answer_to_another_call_is_reported():
    heads, _ = run_calls(
        ScriptedServer([WATCHED + b'ok']),
        origin=AnswerOrigin.OTHER_CALL,
        cancel_after_s=0.1,
    )
    assert heads == [200]


def test_each_answer_of_a_connection_is_judged_by_its_own_head():
    heads, _ = run_calls(ScriptedServer([WATCHED + b'ok'], [OK], [OK]), 3)
    assert heads == [200]
