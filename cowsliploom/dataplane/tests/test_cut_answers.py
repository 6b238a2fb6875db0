"""An answer that ends before its head is whole is a failure, never an empty answer."""

import asyncio

import pytest

from cowsliploom.dataplane import ConnectionPool, HttpAnswer, HttpFailure

ASK = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_MS = 2000
STATUS = b'HTTP/1.1 200 OK\r\n'
SIGNED = STATUS + b'Request-Id: r\r\nResponse-Signature: s\r\n'
CUT = {
    'status line': STATUS[:-4],
    'after the status line': STATUS,
    'name of a header': SIGNED + b'Content-Le',
    'a header': SIGNED + b'Content-Length: 1',
    'between headers': SIGNED,
    'before the blank line': SIGNED + b'\r',
    'after a length': SIGNED + b'Content-Length: 5\r\n',
    'after the coding of the body': SIGNED + b'Transfer-Encoding: chunked\r\n',
    'after an interim answer': b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n',
    'in the head after an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + SIGNED
    ),
    'in a body with a length': SIGNED + b'Content-Length: 5\r\n\r\nabc',
    'in a body in chunks': SIGNED + b'Transfer-Encoding: chunked\r\n\r\n5\r\nabc',
    'before the last chunk': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n'
    ),
}
WHOLE = {
    'with a length': (SIGNED + b'Content-Length: 3\r\n\r\nabc', b'abc'),
    'without a length': (SIGNED + b'\r\nabc', b'abc'),
    'without a length and a body': (SIGNED + b'\r\n', b''),
    'after an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\n\r\n' + SIGNED + b'\r\nabc',
        b'abc',
    ),
}


async def answer_of(pieces):
    """Return what comes of an answer in pieces that ends with its connection."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        return await ConnectionPool(f'{host}:{port}').ask(ASK, TIMEOUT_MS)


def pieces_of(content, by_byte):
    """Return bytes as one piece, or one by one."""
    if not by_byte:
        return [content]
    return [content[at : at + 1] for at in range(len(content))]


@pytest.mark.parametrize('by_byte', [False, True])
@pytest.mark.parametrize('where', CUT)
def test_an_answer_that_is_cut_is_a_failure(where, by_byte):
    failure = asyncio.run(answer_of(pieces_of(CUT[where], by_byte)))
    assert isinstance(failure, HttpFailure)
    assert failure.may_have_run


@pytest.mark.parametrize('by_byte', [False, True])
@pytest.mark.parametrize('how', WHOLE)
def test_an_answer_with_a_whole_head_may_end_with_its_connection(how, by_byte):
    content, body = WHOLE[how]
    answer = asyncio.run(answer_of(pieces_of(content, by_byte)))
    assert isinstance(answer, HttpAnswer)
    assert (answer.status, answer.body) == (200, body)
