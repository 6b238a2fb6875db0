"""An answer with a status that HTTP does not have fails its call at once."""

import asyncio

import pytest

from cowsliploom.dataplane import ConnectionPool, HttpAnswer, HttpFailure

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_MS = 2000
REST = b' Odd\r\nContent-Length: 2\r\n\r\nok'


def ask(answer):
    """Return the result of a call to a server that sends some bytes, and the pool."""

    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            await writer.drain()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        pool = ConnectionPool(f'{host}:{port}')
        result = await pool.ask(REQUEST, TIMEOUT_MS)
        pool.close()
        server.close()
        return result, len(pool)

    return asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize(
    'status',
    [
        b'000',
        b'001',
        b'020',
        b'099',
        b'600',
        b'601',
        b'700',
        b'999',
        b'1000',
        b'0200',
        b'2000',
        b'20',
        b'2',
        b'-20',
        b'+200',
        b'2x0',
        b'',
        b'OK',
    ],
)
def test_odd_status_fails_the_call_and_closes_the_connection(status):
    """A status below 200 was waited out, and one above 599 reached the caller."""
    result, connections = ask(b'HTTP/1.1 ' + status + REST)
    assert isinstance(result, HttpFailure)
    assert result.may_have_run
    assert connections == 0


@pytest.mark.parametrize('status', [200, 204, 299, 404, 421, 500, 503, 599])
def test_usual_status_is_an_answer(status):
    result, _ = ask(f'HTTP/1.1 {status}'.encode() + REST)
    assert isinstance(result, HttpAnswer)
    assert result.status == status


@pytest.mark.parametrize('interim', [100, 102, 103, 199])
def test_interim_answers_are_passed_over(interim):
    first = f'HTTP/1.1 {interim} Wait\r\n\r\n'.encode()
    result, _ = ask(first + b'HTTP/1.1 200' + REST)
    assert isinstance(result, HttpAnswer)
    assert result.status == 200


def test_interim_answers_without_end_fail_the_call():
    result, connections = ask(b'HTTP/1.1 100 Wait\r\n\r\n' * 20_000)
    assert isinstance(result, HttpFailure)
    assert connections == 0
