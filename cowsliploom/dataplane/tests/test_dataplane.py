"""Listeners and kept connections over loopback, with all that may arrive on them."""

import asyncio

import pytest

from cowsliploom.dataplane import (
    ConnectionPool,
    ConnectionPools,
    HttpAnswer,
    HttpCall,
    HttpFailure,
    HttpListener,
)
from cowsliploom.forwarding import CallerLimits, CallStep

LIMITS = CallerLimits(
    header_bytes_max=400, body_bytes_max=100, header_timeout_ms=300, idle_timeout_ms=600
)
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def echo(request):
    """Answer with what was asked."""
    text = f'{request.method} {request.target} '.encode() + request.body
    request.answer(200, [('X-Seen', str(len(request.headers)))], text)


async def talk(address, *chunks, gap_s=0.01, wait_s=1.0):
    """Send chunks and return all that comes until the end or a pause."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for chunk in chunks:
        writer.write(chunk)
        await asyncio.sleep(gap_s)
    heard = b''
    try:
        while chunk := await asyncio.wait_for(reader.read(65536), wait_s):
            heard += chunk
    except (asyncio.TimeoutError, ConnectionError):
        heard += b''
    writer.close()
    return heard


def run_listener(handler, *chunks, **options):
    """Return what a listener answers to chunks, and its listener."""

    async def play():
        listener = HttpListener('127.0.0.1:0', handler, lambda: LIMITS)
        await listener.start()
        heard = await talk(listener.address, *chunks, **options)
        await listener.close()
        return heard

    return asyncio.run(play())


@pytest.mark.parametrize(
    ('chunks', 'expected'),
    [
        ((b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n',), [b'GET /a ']),
        ((b'GET /a HT', b'TP/1.1\r\nHost: h\r', b'\n\r\n'), [b'GET /a ']),
        (
            (b'POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nab', b'c'),
            [b'POST /b abc'],
        ),
        (
            (
                b'POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n',
                b'1\r\nc\r\n0\r\n\r\n',
            ),
            [b'POST /b abc'],
        ),
        (
            (b'GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n',),
            [b'GET /1 ', b'GET /2 ', b'GET /3 '],
        ),
    ],
)
def test_requests_are_read_whole_and_answered_in_turn(chunks, expected):
    heard = run_listener(echo, *chunks, wait_s=0.1)
    positions = [heard.index(body) for body in expected]
    assert positions == sorted(positions)
    assert heard.count(b'HTTP/1.1 200') == len(expected)


@pytest.mark.parametrize(
    ('chunk', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 500 + b'\r\n\r\n', b'431'),
        (b'POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n' + b'a' * 200, b'413'),
        (b'GET / HTTP/1.1\r\nHost: h', b'408'),
    ],
)
def test_what_callers_may_not_send_is_refused_and_the_connection_closed(chunk, status):
    heard = run_listener(echo, chunk)
    assert heard.startswith(b'HTTP/1.1 ' + status)
    assert b'Connection: close' in heard


def test_the_way_is_longest_for_the_first_request_of_a_connection():
    seen = []

    def note(request):
        seen.append(request.path_ms)
        echo(request)

    run_listener(note, b'GET /1 HTTP/1.1\r\n\r\n', b'GET /2 HTTP/1.1\r\n\r\n')
    first_ms, second_ms = seen
    assert 0 < second_ms < 100
    assert first_ms == pytest.approx(second_ms * 3 / 2)


def test_an_idle_connection_is_closed_after_its_time():
    assert run_listener(echo, wait_s=2) == b''


def test_the_owner_hears_when_a_caller_leaves_before_its_answer():
    async def play():
        left = asyncio.Event()
        listener = HttpListener('127.0.0.1:0', lambda request: left.set)
        await listener.start()
        host, _, port = listener.address.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(left.wait(), 1)
        await listener.close()

    asyncio.run(play())


class Raw:
    """A server that writes given bytes for each request that it reads."""

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


async def call(pool, is_own=bool, timeout_s=1.0):
    """Make a call and return its result."""
    done = asyncio.get_running_loop().create_future()
    pool.send(HttpCall(b'GET / HTTP/1.1\r\n\r\n', done.set_result, is_own))
    return await asyncio.wait_for(done, timeout_s)


def run_calls(raw, count=1, is_own=bool):
    """Return the results of calls in turn."""

    async def play():
        server = await asyncio.start_server(raw.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}')
        results = [await call(pool, is_own) for _ in range(count)]
        pool.close()
        server.close()
        return results

    return asyncio.run(play())


def test_a_connection_is_used_again():
    raw = Raw([OK], [OK], [OK])
    results = run_calls(raw, 3)
    assert [result.body for result in results] == [b'ok'] * 3
    assert raw.accepted == 1


@pytest.mark.parametrize(
    'extra', [b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad', b'garbage']
)
def test_bytes_after_an_answer_belong_to_no_call(extra):
    raw = Raw([OK + extra], [OK])
    results = run_calls(raw, 2)
    assert [result.body for result in results] == [b'ok', b'ok']
    assert raw.accepted == 2


def test_a_late_answer_to_another_request_is_passed_over():
    stale = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nstale'
    raw = Raw([stale, OK])
    (result,) = run_calls(raw, is_own=lambda answer: answer.body == b'ok')
    assert result.body == b'ok'


def test_an_answer_without_a_length_ends_with_its_connection():
    raw = Raw([b'HTTP/1.1 200 OK\r\nX: 1\r\n\r\n', b'part', b'ly'], closes=True)
    (result,) = run_calls(raw)
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
def test_an_answer_that_breaks_off_or_cannot_be_read_is_a_failure(script):
    (result,) = run_calls(Raw(script, closes=True))
    assert isinstance(result, HttpFailure)
    assert result.may_have_run


def test_a_chunked_answer_is_read_whole():
    raw = Raw(
        [
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n',
            b'1\r\nc\r\n0\r\n\r\n',
        ]
    )
    assert run_calls(raw)[0].body == b'abc'


def test_an_interim_answer_is_passed_over():
    raw = Raw([b'HTTP/1.1 100 Continue\r\n\r\n', OK])
    assert run_calls(raw)[0].body == b'ok'


def test_a_refused_connection_proves_that_nothing_ran():
    async def play():
        server = await asyncio.start_server(Raw().serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        return await call(ConnectionPool(f'{host}:{port}'))

    result = asyncio.run(play())
    assert result.step is CallStep.CONNECT
    assert not result.may_have_run


def test_a_dropped_call_says_nothing_and_closes_its_connection():
    async def play():
        raw = Raw([])
        server = await asyncio.start_server(raw.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}')
        told = []
        dropped = HttpCall(b'GET / HTTP/1.1\r\n\r\n', told.append)
        pool.send(dropped)
        await asyncio.sleep(0.05)
        assert len(pool) == 1
        dropped.cancel()
        await asyncio.sleep(0.05)
        server.close()
        return told, len(pool)

    assert asyncio.run(play()) == ([], 0)


def test_a_connection_is_not_used_past_the_time_its_server_keeps_it():
    async def play():
        keep = b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n'
        raw = Raw([keep], [keep])
        server = await asyncio.start_server(raw.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}')
        await call(pool)
        await asyncio.sleep(0.4)
        await call(pool)
        server.close()
        return raw.accepted

    assert asyncio.run(play()) == 2


def test_a_cancelled_call_ends_its_task_though_the_answer_is_in():
    """A task that went on after its cancellation would never end its process."""

    async def play():
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

    assert asyncio.run(play())


def test_pools_that_are_not_wanted_any_more_are_closed():
    async def play():
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

    asyncio.run(play())


def answer_ok(request):
    """Answer a request."""
    request.answer(200, [], b'')


def test_a_call_that_is_dropped_resets_its_connection():
    """Requests reached servers 5 s after their callers had been answered.

    A cut had held up their bytes, and a closed connection went on sending them.
    """

    async def play():
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

    asyncio.run(play())
