"""Endless answers fail by their size, and their connections are reset."""

import asyncio
import gc
import tracemalloc

import pytest

from cowsliploom.dataplane import (
    AnswerBounds,
    ConnectionPool,
    HttpAnswer,
    HttpCall,
    HttpFailure,
)
from cowsliploom.forwarding import CallStep

BOUNDS = AnswerBounds(head_bytes_max=20_000, body_bytes_max=200_000)
SENT_BYTES_MAX = 30_000_000  # sent on a connection that is never closed
KERNEL_BYTES = 8_000_000  # in socket buffers
CALLS = 20
LAG_S_MAX = 0.05
STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = STATUS + b'Transfer-Encoding: chunked\r\n\r\n'
COMPLETE = STATUS + b'Content-Length: 2\r\n\r\nok'
ENDLESS_HEADS = {
    'blank lines': (b'', b'\r\n'),
    'status line': (b'HTTP/1.1 200 ', b'O'),
    'header name': (STATUS, b'x'),
    'header': (STATUS + b'X: ', b'x'),
    'headers': (STATUS, b'X: y\r\n'),
    'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n'),
    'length of a chunk': (CHUNKED, b'0'),
    'extension of a chunk': (CHUNKED + b'2;x=', b'x'),
    'trailer': (CHUNKED + b'2\r\nok\r\n0\r\nX: ', b'x'),
    'trailers': (CHUNKED + b'2\r\nok\r\n0\r\n', b'X: y\r\n'),
}
ENDLESS_BODIES = {
    'chunks': (CHUNKED, b'400\r\n' + b'x' * 0x400 + b'\r\n'),
    'chunks of a byte': (CHUNKED, b'1\r\nx\r\n'),
    'no length': (STATUS + b'X: y\r\n\r\n', b'x'),
    'length': (STATUS + b'Content-Length: 9000000000\r\n\r\n', b'x'),
}


class EndlessServer:
    """Server that sends a start, and then the same chunk without end."""

    def __init__(self, start, chunk, chunk_bytes, pause_s=0):
        self.start = start
        self.chunk = chunk * max(1, chunk_bytes // len(chunk))
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        """Serve one connection until its peer closes it."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.start)
        try:
            for _ in range(SENT_BYTES_MAX // len(self.chunk)):
                writer.write(self.chunk)
                self.sent_bytes += len(self.chunk)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except ConnectionError:
            self.ended.set()
        finally:
            writer.close()


def run_call(make_server, script):
    """Run a script with a server and a connection pool for it."""

    async def run():
        endless = make_server()
        server = await asyncio.start_server(endless.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f'{host}:{port}', bounds=BOUNDS)
        await script(endless, pool)
        pool.close()
        server.close()

    asyncio.run(run())


def check_failure(make_server, reason):
    """Make a call; check its failure and that its connection is closed."""

    async def script(endless, pool):
        failure = await pool.ask(b'GET / HTTP/1.1\r\n\r\n', 5000)
        assert failure == HttpFailure(
            CallStep.DECODE, pool.address, f'{reason} from {pool.address}', True
        )
        assert not len(pool)
        await asyncio.wait_for(endless.ended.wait(), 2)
        assert endless.sent_bytes < KERNEL_BYTES

    run_call(make_server, script)


@pytest.mark.parametrize('chunk_bytes', [200, 5_000, 1_000_000])
@pytest.mark.parametrize('case', ENDLESS_HEADS)
def test_endless_head_fails_its_call_and_resets_the_connection(case, chunk_bytes):
    check_failure(
        lambda: EndlessServer(*ENDLESS_HEADS[case], chunk_bytes),
        'head over 20000 bytes',
    )


@pytest.mark.parametrize('chunk_bytes', [1_000, 5_000, 1_000_000])
@pytest.mark.parametrize('case', ENDLESS_BODIES)
def test_endless_body_fails_its_call_and_resets_the_connection(case, chunk_bytes):
    check_failure(
        lambda: EndlessServer(*ENDLESS_BODIES[case], chunk_bytes),
        'body over 200000 bytes',
    )


@pytest.mark.parametrize('chunk_bytes', [1, 1_000, 1_000_000])
def test_endless_bytes_after_an_answer_close_its_connection(chunk_bytes):
    async def script(endless, pool):
        answer = await pool.ask(b'GET / HTTP/1.1\r\n\r\n', 5000)
        assert isinstance(answer, HttpAnswer)
        assert answer.body == b'ok'
        await asyncio.wait_for(endless.ended.wait(), 2)
        assert not len(pool)

    run_call(lambda: EndlessServer(COMPLETE, b'x', chunk_bytes), script)


@pytest.mark.parametrize('start', [STATUS, STATUS + b'X: y\r\n\r\n', CHUNKED])
def test_trickling_answer_is_reset_when_its_call_is_cancelled(start):
    async def script(endless, pool):
        assert await pool.ask(b'GET / HTTP/1.1\r\n\r\n', 200) is None
        await asyncio.wait_for(endless.ended.wait(), 2)
        assert not len(pool)

    chunk = b'1\r\nx\r\n' if start is CHUNKED else b'X: y\r\n'
    run_call(lambda: EndlessServer(start, chunk, 1, 0.01), script)


@pytest.mark.parametrize(
    'content',
    [
        STATUS + b'X: ' + b'x' * 19_900 + b'\r\nContent-Length: 2\r\n\r\nok',
        STATUS + b'Content-Length: 200000\r\n\r\n' + b'x' * 200_000,
        CHUNKED + b'400\r\n' + b'x' * 0x400 + b'\r\n0\r\nX: y\r\n\r\n',
        STATUS.replace(b'200', b'304') + b'Content-Length: 9000000000\r\n\r\n',
    ],
)
def test_answer_within_the_bounds_is_accepted(content):
    async def script(endless, pool):
        answer = await pool.ask(b'GET / HTTP/1.1\r\n\r\n', 2000)
        assert isinstance(answer, HttpAnswer)

    run_call(lambda: EndlessServer(content, b'\r\n', 2, 1), script)


def test_event_loop_stays_responsive_during_fast_endless_answers():
    async def script(endless, pool):
        loop = asyncio.get_running_loop()
        for _ in range(CALLS):
            pool.send(HttpCall(b'GET / HTTP/1.1\r\n\r\n', [].append))
        lag_s = []
        for _ in range(50):
            started = loop.time()
            await asyncio.sleep(0.01)
            lag_s.append(loop.time() - started - 0.01)
        assert sorted(lag_s)[-5] < LAG_S_MAX
        assert not len(pool)
        assert endless.sent_bytes < CALLS * KERNEL_BYTES

    start, chunk = ENDLESS_BODIES['chunks']
    run_call(lambda: EndlessServer(start, chunk, 1_000_000), script)


@pytest.mark.parametrize('case', [ENDLESS_HEADS['header'], ENDLESS_BODIES['chunks']])
def test_buffers_are_freed_with_their_connection(case):
    """A gateway grew to 2 GB while connections waited for the garbage collector."""

    async def script(endless, pool):
        tracemalloc.start()
        gc.disable()
        for _ in range(CALLS):
            await pool.ask(b'GET / HTTP/1.1\r\n\r\n', 5000)
            await asyncio.sleep(0.01)
        kept_bytes, _ = tracemalloc.get_traced_memory()
        gc.enable()
        tracemalloc.stop()
        assert kept_bytes < CALLS * BOUNDS.head_bytes_max / 2

    run_call(lambda: EndlessServer(*case, 5_000), script)
