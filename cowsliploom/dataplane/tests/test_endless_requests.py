"""Requests with an endless head are rejected by size, before the timeout."""

import asyncio

import pytest

from cowsliploom.dataplane import HttpListener
from cowsliploom.forwarding import CallerLimits, RouteTable

LIMITS = CallerLimits(
    header_bytes_max=2_000, body_bytes_max=50_000, header_timeout_ms=1_000
)
LINE = b'POST / HTTP/1.1\r\n'
CHUNKED = LINE + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'blank lines': (b'', b'\r\n'),
    'target': (b'POST /', b'x'),
    'header name': (LINE, b'x'),
    'header': (LINE + b'X: ', b'x'),
    'headers': (LINE, b'X: y\r\n'),
    'length of a chunk': (CHUNKED, b'0'),
    'extension of a chunk': (CHUNKED + b'2;x=', b'x'),
    'trailer': (CHUNKED + b'2\r\nok\r\n0\r\nX: ', b'x'),
    'trailers': (CHUNKED + b'2\r\nok\r\n0\r\n', b'X: y\r\n'),
}


async def answer_to(start, chunk, chunk_bytes):
    """Send without end; return the answer."""
    listener = HttpListener('127.0.0.1:0', echo, lambda: LIMITS)
    await listener.start()
    host, port = listener.address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    answering = asyncio.create_task(reader.read(1000))
    writer.write(start)
    while not answering.done():
        writer.write(chunk * max(1, chunk_bytes // len(chunk)))
        await asyncio.sleep(0.002)
    writer.transport.abort()
    await listener.close()
    return await answering


def echo(request):
    """Answer with the received body."""
    request.answer(200, [], request.body)


@pytest.mark.parametrize('chunk_bytes', [200, 1_000, 5_000])
@pytest.mark.parametrize('case', ENDLESS)
def test_endless_head_is_rejected_before_the_header_timeout(case, chunk_bytes):
    received = asyncio.run(answer_to(*ENDLESS[case], chunk_bytes))
    assert received.startswith(b'HTTP/1.1 431')


@pytest.mark.parametrize('size', [1, 7, 100, 10_000])
@pytest.mark.parametrize(
    ('content', 'body'),
    [
        (LINE + b'X: ' + b'x' * 1_950 + b'\r\n\r\n', b''),
        (CHUNKED + b'2\r\nok\r\n' * 900 + b'0\r\nX: y\r\n\r\n', b'ok' * 900),
    ],
)
def test_head_within_the_bounds_is_accepted_in_chunks_of_any_size(content, body, size):
    async def run():
        listener = HttpListener('127.0.0.1:0', echo, lambda: LIMITS)
        await listener.start()
        host, port = listener.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        for start in range(0, len(content), size):
            writer.write(content[start : start + size])
            await asyncio.sleep(0)
        received = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n' + body), 2)
        writer.close()
        await listener.close()
        return received

    assert asyncio.run(run()).startswith(b'HTTP/1.1 200')


def test_limits_without_a_configuration_are_above_the_defaults():
    """Before its first configuration a process rejected allowed bodies with 413."""
    before = RouteTable().limits_in_force
    assert before.body_bytes_max > CallerLimits().body_bytes_max
    assert before.header_bytes_max > CallerLimits().header_bytes_max
    assert RouteTable(1, limits=LIMITS).limits_in_force is LIMITS
