"""HTTP listeners over loopback."""

import asyncio

import pytest

from cowsliploom.dataplane import HttpListener
from cowsliploom.forwarding import CallerLimits

LIMITS = CallerLimits(
    header_bytes_max=400, body_bytes_max=100, header_timeout_ms=300, idle_timeout_ms=600
)


def echo(request):
    """Answer with the request line and body."""
    text = f'{request.method} {request.target} '.encode() + request.body
    request.answer(200, [('X-Seen', str(len(request.headers)))], text)


async def send_chunks(address, *chunks, gap_s=0.01, wait_s=1.0):
    """Send chunks; return all bytes received until the end or a pause."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for chunk in chunks:
        writer.write(chunk)
        await asyncio.sleep(gap_s)
    received = b''
    try:
        while chunk := await asyncio.wait_for(reader.read(65536), wait_s):
            received += chunk
    except (asyncio.TimeoutError, ConnectionError):
        received += b''
    writer.close()
    return received


def run_listener(handler, *chunks, **options):
    """Return the bytes that a listener answers to the chunks."""

    async def run():
        listener = HttpListener('127.0.0.1:0', handler, lambda: LIMITS)
        await listener.start()
        received = await send_chunks(listener.address, *chunks, **options)
        await listener.close()
        return received

    return asyncio.run(run())


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
def test_requests_are_reassembled_and_answered_in_order(chunks, expected):
    received = run_listener(echo, *chunks, wait_s=0.1)
    positions = [received.index(body) for body in expected]
    assert positions == sorted(positions)
    assert received.count(b'HTTP/1.1 200') == len(expected)


@pytest.mark.parametrize(
    ('chunk', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 500 + b'\r\n\r\n', b'431'),
        (b'POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n' + b'a' * 200, b'413'),
        (b'GET / HTTP/1.1\r\nHost: h', b'408'),
    ],
)
def test_invalid_request_is_rejected_and_its_connection_closed(chunk, status):
    received = run_listener(echo, chunk)
    assert received.startswith(b'HTTP/1.1 ' + status)
    assert b'Connection: close' in received


def test_first_request_of_a_connection_counts_one_more_round_trip():
    seen = []

    def record(request):
        seen.append(request.path_ms)
        echo(request)

    run_listener(record, b'GET /1 HTTP/1.1\r\n\r\n', b'GET /2 HTTP/1.1\r\n\r\n')
    first_ms, second_ms = seen
    assert 0 < second_ms < 100
    assert first_ms == pytest.approx(second_ms * 3 / 2)


def test_idle_connection_is_closed_after_the_idle_timeout():
    assert run_listener(echo, wait_s=2) == b''


def test_disconnect_before_the_answer_is_reported_to_the_handler():
    async def run():
        disconnected = asyncio.Event()
        listener = HttpListener('127.0.0.1:0', lambda request: disconnected.set)
        await listener.start()
        host, _, port = listener.address.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(disconnected.wait(), 1)
        await listener.close()

    asyncio.run(run())
