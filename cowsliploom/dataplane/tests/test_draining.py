"""A draining listener answers the requests that it has read, and then closes."""

import asyncio

import pytest

from cowsliploom.dataplane import HttpListener
from cowsliploom.dataplane.tests.test_listener import echo, send_chunks


def test_draining_listener_closes_after_an_answer():
    async def run():
        listener = HttpListener('127.0.0.1:0', echo)
        await listener.start()
        listener.drain()
        received = await send_chunks(listener.address, b'GET / HTTP/1.1\r\n\r\n')
        await listener.close()
        return received

    assert b'Connection: close' in asyncio.run(run())


@pytest.mark.parametrize('drains_first', [False, True])
def test_pipelined_requests_are_answered_before_a_drain_closes(drains_first):
    """The connection was closed after the first answer, and the others were lost."""

    async def run():
        requests = []
        listener = HttpListener('127.0.0.1:0', requests.append)
        await listener.start()
        chunk = b''.join(b'GET /%d HTTP/1.1\r\n\r\n' % number for number in range(3))
        if drains_first:
            listener.drain()
        receiving = asyncio.create_task(send_chunks(listener.address, chunk))
        while not requests:
            await asyncio.sleep(0.01)
        listener.drain()
        while requests:
            echo(requests.pop())
            await asyncio.sleep(0.01)
        received = await receiving
        await listener.close()
        return received

    received = asyncio.run(run())
    assert [received.count(b'GET /%d ' % number) for number in range(3)] == [1, 1, 1]
    assert received.count(b'Connection: close') == 1
    assert received.index(b'Connection: close') > received.index(b'GET /1 ')
