"""A listener that drains answers what it has read, and closes then."""

import asyncio

import pytest

from cowsliploom.dataplane import HttpListener
from cowsliploom.dataplane.tests.test_dataplane import echo, talk


def test_a_listener_that_drains_closes_with_each_answer():
    async def play():
        listener = HttpListener('127.0.0.1:0', echo)
        await listener.start()
        listener.drain()
        heard = await talk(listener.address, b'GET / HTTP/1.1\r\n\r\n')
        await listener.close()
        return heard

    assert b'Connection: close' in asyncio.run(play())


@pytest.mark.parametrize('drains_first', [False, True])
def test_requests_that_were_read_ahead_are_answered_before_a_drain_closes(drains_first):
    """The connection was closed with the first answer, and the others were lost."""

    async def play():
        taken = []
        listener = HttpListener('127.0.0.1:0', taken.append)
        await listener.start()
        chunk = b''.join(b'GET /%d HTTP/1.1\r\n\r\n' % number for number in range(3))
        if drains_first:
            listener.drain()
        talking = asyncio.create_task(talk(listener.address, chunk))
        while not taken:
            await asyncio.sleep(0.01)
        listener.drain()
        while taken:
            echo(taken.pop())
            await asyncio.sleep(0.01)
        heard = await talking
        await listener.close()
        return heard

    heard = asyncio.run(play())
    assert [heard.count(b'GET /%d ' % number) for number in range(3)] == [1, 1, 1]
    assert heard.count(b'Connection: close') == 1
    assert heard.index(b'Connection: close') > heard.index(b'GET /1 ')
