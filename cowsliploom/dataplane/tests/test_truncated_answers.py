"""A truncated answer is a failure, never an empty answer."""

import asyncio

import pytest

from cowsliploom.dataplane import ConnectionPool, HttpAnswer, HttpFailure

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_MS = 2000
STATUS = b'HTTP/1.1 200 OK\r\n'
SIGNED = STATUS + b'Request-Id: r\r\nResponse-Signature: s\r\n'
TRUNCATED = {
    'in the status line': STATUS[:-4],
    'after the status line': STATUS,
    'in a header name': SIGNED + b'Content-Le',
    'in a header value': SIGNED + b'Content-Length: 1',
    'between headers': SIGNED,
    'before the blank line': SIGNED + b'\r',
    'after the Content-Length header': SIGNED + b'Content-Length: 5\r\n',
    'after the Transfer-Encoding header': SIGNED + b'Transfer-Encoding: chunked\r\n',
    'after an interim answer': b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n',
    'in the head after an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + SIGNED
    ),
    'in a body with a length': SIGNED + b'Content-Length: 5\r\n\r\nabc',
    'in a chunked body': SIGNED + b'Transfer-Encoding: chunked\r\n\r\n5\r\nabc',
    'before the last chunk': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n'
    ),
}
COMPLETE = {
    'with a length': (SIGNED + b'Content-Length: 3\r\n\r\nabc', b'abc'),
    'without a length': (SIGNED + b'\r\nabc', b'abc'),
    'without a length and without a body': (SIGNED + b'\r\n', b''),
    'after an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\n\r\n' + SIGNED + b'\r\nabc',
        b'abc',
    ),
}


async def result_of(chunks):
    """Return the result of a call whose answer ends with its connection."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        return await ConnectionPool(f'{host}:{port}').ask(REQUEST, TIMEOUT_MS)


def split_content(content, by_byte):
    """Return the content as one chunk, or as single bytes."""
    if not by_byte:
        return [content]
    return [content[at : at + 1] for at in range(len(content))]


@pytest.mark.parametrize('by_byte', [False, True])
@pytest.mark.parametrize('where', TRUNCATED)
def test_truncated_answer_is_a_failure(where, by_byte):
    failure = asyncio.run(result_of(split_content(TRUNCATED[where], by_byte)))
    assert isinstance(failure, HttpFailure)
    assert failure.may_have_run


@pytest.mark.parametrize('by_byte', [False, True])
@pytest.mark.parametrize('case', COMPLETE)
def test_complete_answer_may_end_with_its_connection(case, by_byte):
    content, body = COMPLETE[case]
    answer = asyncio.run(result_of(split_content(content, by_byte)))
    assert isinstance(answer, HttpAnswer)
    assert (answer.status, answer.body) == (200, body)
