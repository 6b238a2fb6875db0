"""Pooled connections over loopback."""

import asyncio

import pytest

from cowsliploom.dataplane import (
    AnswerOrigin,
    ConnectionPool,
    ConnectionPools,
    HttpAnswer,
    HttpCall,
    HttpFailure,
    HttpListener,
)
from cowsliploom.forwarding import CallStep

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ScriptedServer:
    """Server that writes the given chunks in answer to each request."""

    def __init__(self, *scripts, closes=False):
        self.scripts = list(scripts)
        self.closes = closes
        self.accepted = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.accepted += 1
        try:
            while await reader.readuntil(b'\r\n\r\n') and self.scripts:
                for chunk in self.scripts.pop(0):
                    writer.write(chunk)
                    await asyncio.sleep(0.01)
                if self.closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closes = True
        finally:
            writer.close()


def accept_all(answer):
    """Attribute every answer to the open call."""
    return AnswerOrigin.THIS_CALL


async def call(pool, origin_of=accept_all, timeout_s=1.0):
    """Make a call and return its result."""
    done = asyncio.get_running_loop().create_future()
    pool.send(HttpCall(b'GET / HTTP/1.1\r\n\r\n', done.set_result, origin_of))
    return await asyncio.wait_for(done, timeout_s)


def run_calls(scripted, count=1, origin_of=accept_all):
    """Return the results of consecutive calls."""

    async def run():
        server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}')
        results = [await call(pool, origin_of) for _ in range(count)]
        pool.close()
        server.close()
        return results

    return asyncio.run(run())


def test_connection_is_reused():
    scripted = ScriptedServer([OK], [OK], [OK])
    results = run_calls(scripted, 3)
    assert [result.body for result in results] == [b'ok'] * 3
    assert scripted.accepted == 1


@pytest.mark.parametrize(
    'extra', [b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad', b'garbage']
)
def test_connection_with_bytes_after_its_answer_is_not_reused(extra):
    scripted = ScriptedServer([OK + extra], [OK])
    results = run_calls(scripted, 2)
    assert [result.body for result in results] == [b'ok', b'ok']
    assert scripted.accepted == 2


def test_late_answer_to_another_request_is_skipped():
    stale = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nstale'
    scripted = ScriptedServer([stale, OK])

    def origin_of(answer):
        is_stale = answer.body == b'stale'
        return AnswerOrigin.OTHER_CALL if is_stale else AnswerOrigin.THIS_CALL

    (result,) = run_calls(scripted, origin_of=origin_of)
    assert result.body == b'ok'


def test_connection_is_not_reused_after_an_answer_that_names_no_call():
    """Guard against taking a late second copy of it for the answer to another call."""
    scripted = ScriptedServer([OK], [OK])
    results = run_calls(scripted, 2, lambda answer: AnswerOrigin.UNNAMED)
    assert [result.body for result in results] == [b'ok', b'ok']
    assert scripted.accepted == 2


@pytest.mark.parametrize(('idle', 'opened'), [(1, 2), (2, 2)])
def test_call_passes_over_connections_of_earlier_calls_of_its_request(idle, opened):
    """Guard against a pool that grows by a connection with each sending."""

    async def run():
        scripted = ScriptedServer(*([OK] for _ in range(8)))
        server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}')
        await asyncio.gather(*(call(pool) for _ in range(idle)))
        used = set()
        for _ in range(2):
            done = asyncio.get_running_loop().create_future()
            content = b'GET / HTTP/1.1\r\n\r\n'
            pool.send(HttpCall(content, done.set_result, accept_all, used))
            await asyncio.wait_for(done, 1)
        open_connections = len(pool)
        pool.close()
        server.close()
        return len(used), scripted.accepted, open_connections

    assert asyncio.run(run()) == (2, opened, idle)


def test_answer_without_a_length_ends_with_its_connection():
    scripted = ScriptedServer(
        [b'HTTP/1.1 200 OK\r\nX: 1\r\n\r\n', b'part', b'ly'], closes=True
    )
    (result,) = run_calls(scripted)
    assert result == HttpAnswer(200, [('X', '1')], b'partly')


@pytest.mark.parametrize(
    'script',
    [
        [b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort'],
        [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'],
        [b'HTTP/1.1 200 OK\r\nConte'],
        [b''],
        [b'\x00\x01 not http\r\n\r\n'],
    ],
)
def test_truncated_or_malformed_answer_is_a_failure(script):
    (result,) = run_calls(ScriptedServer(script, closes=True))
    assert isinstance(result, HttpFailure)
    assert result.may_have_run


def test_chunked_answer_is_reassembled():
    scripted = ScriptedServer(
        [
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n',
            b'1\r\nc\r\n0\r\n\r\n',
        ]
    )
    assert run_calls(scripted)[0].body == b'abc'


def test_interim_answer_is_skipped():
    scripted = ScriptedServer([b'HTTP/1.1 100 Continue\r\n\r\n', OK])
    assert run_calls(scripted)[0].body == b'ok'


def test_refused_connection_means_that_the_call_did_not_run():
    async def run():
        server = await asyncio.start_server(ScriptedServer().serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        return await call(ConnectionPool(f'{host}:{port}'))

    result = asyncio.run(run())
    assert result.step is CallStep.CONNECT
    assert not result.may_have_run


def test_cancelled_call_reports_no_result_and_closes_its_connection():
    async def run():
        scripted = ScriptedServer([])
        server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}')
        results = []
        cancelled = HttpCall(b'GET / HTTP/1.1\r\n\r\n', results.append)
        pool.send(cancelled)
        await asyncio.sleep(0.05)
        assert len(pool) == 1
        cancelled.cancel()
        await asyncio.sleep(0.05)
        server.close()
        return results, len(pool)

    assert asyncio.run(run()) == ([], 0)


def test_connection_is_not_reused_after_the_keep_alive_timeout_of_its_server():
    async def run():
        keep = b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n'
        scripted = ScriptedServer([keep], [keep])
        server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}')
        await call(pool)
        await asyncio.sleep(0.4)
        await call(pool)
        server.close()
        return scripted.accepted

    assert asyncio.run(run()) == 2


def test_cancelled_task_ends_although_its_answer_has_arrived():
    """A task that ignored its cancellation would keep its process from ending."""

    async def run():
        loop = asyncio.get_running_loop()
        pool = ConnectionPool('127.0.0.1:1')
        calls = []
        pool.send = calls.append
        asking = loop.create_task(pool.ask(b'', 5000))
        await asyncio.sleep(0)
        calls[0].end(HttpAnswer(200, [], b''))
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        return asking.cancelled()

    assert asyncio.run(run())


def test_pools_that_are_no_longer_needed_are_closed():
    async def run():
        listener = HttpListener('127.0.0.1:0', answer_ok)
        await listener.start()
        pools = ConnectionPools()
        content = b'GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'
        for name in ('kept', 'gone'):
            await pools.get(name, listener.address).ask(content, 2000)
        gone, kept = pools.get('gone', ''), pools.get('kept', '')
        pools.keep({'kept'}.__contains__)
        assert (len(gone), len(kept)) == (0, 1)
        pools.drop_idle()
        assert not len(kept)
        assert pools.get('kept', '') is kept
        await listener.close()

    asyncio.run(run())


def answer_ok(request):
    """Answer a request."""
    request.answer(200, [], b'')


def test_cancelled_call_resets_its_connection():
    """A partition delays the bytes of a request, and a plain close still sends them.

    Requests then reached servers 5 s after their callers had been answered.
    """

    async def run():
        loop = asyncio.get_running_loop()
        seen = loop.create_future()

        async def serve(reader, writer):
            try:
                while await reader.read(100):
                    arrived.set()
                seen.set_result('closed')
            except ConnectionResetError:
                seen.set_result('reset')
            finally:
                writer.close()

        arrived = asyncio.Event()
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        call = HttpCall(b'GET / HTTP/1.1\r\n\r\n', [].append)
        ConnectionPool(f'{host}:{port}').send(call)
        await arrived.wait()
        call.cancel()
        assert await asyncio.wait_for(seen, 2) == 'reset'
        server.close()

    asyncio.run(run())
