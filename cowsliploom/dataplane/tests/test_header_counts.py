"""Heads with very many headers, whose objects weigh far more than their bytes."""

import asyncio

import pytest

from cowsliploom.dataplane import ConnectionPool, HttpAnswer, HttpListener


def answer_with(count):
    """Return a handler that answers with so many headers, beside the length."""
    headers = [('a', '') for _ in range(count)]
    return lambda request: request.answer(200, headers, b'')


def ask(handler, headers=0):
    """Return the result of a request with so many headers."""

    async def run():
        listener = HttpListener('127.0.0.1:0', handler)
        await listener.start()
        head = b'GET / HTTP/1.1\r\n%b\r\n' % (b'a:\r\n' * headers)
        result = await ConnectionPool(listener.address).ask(head, 2000)
        await listener.close()
        return result

    return asyncio.run(run())


@pytest.mark.parametrize(('headers', 'status'), [(256, 200), (257, 431), (3000, 431)])
def test_request_with_too_many_headers_is_rejected(headers, status):
    assert ask(answer_with(0), headers).status == status


@pytest.mark.parametrize(('headers', 'is_read'), [(511, True), (512, False)])
def test_answer_with_too_many_headers_fails_its_call(headers, is_read):
    result = ask(answer_with(headers))
    assert isinstance(result, HttpAnswer) is is_read
    assert is_read or 'headers' in result.reason
