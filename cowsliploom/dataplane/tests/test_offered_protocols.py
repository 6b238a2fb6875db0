"""A request that offers another protocol is served like any other one."""

import asyncio
import re

import pytest

from cowsliploom.dataplane import HttpListener
from cowsliploom.dataplane.tests.test_listener import (
    LIMITS,
    echo,
    run_listener,
    send_chunks,
)

OFFERS = {
    'h2c': (
        b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
        b'HTTP2-Settings: AAM\r\n'
    ),
    'websocket': b'Upgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n',
    'twice': b'Upgrade: a\r\nConnection: upgrade\r\nupgrade: b\r\n',
}
HEAD = b'POST /book HTTP/1.1\r\nHost: h\r\n'
PLAIN = b'GET /plain HTTP/1.1\r\nHost: h\r\n\r\n'
WITH_LENGTH = b'Content-Length: 4\r\n\r\nbody'
IN_CHUNKS = b'Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'
BODY_OF = {'length': WITH_LENGTH, 'chunks': IN_CHUNKS}
MANY = 400


def bodies(received):
    """Return the echoed requests, in order."""
    return re.findall(rb'(?:GET|POST) /\w+ (?:body)?', received)


@pytest.mark.parametrize('offer', OFFERS.values(), ids=OFFERS)
@pytest.mark.parametrize('body', BODY_OF.values(), ids=BODY_OF)
@pytest.mark.parametrize('cut', [None, 1, 30, -6])
def test_offer_is_ignored_and_the_body_kept(offer, body, cut):
    """Guard against a request that runs without its body and gets no answer."""
    request = b''.join((HEAD, offer, body))
    chunks = (request,) if cut is None else (request[:cut], request[cut:])
    received = run_listener(echo, *chunks, PLAIN, wait_s=0.1)
    assert bodies(received) == [b'POST /book body', b'GET /plain ']
    assert b'Connection: close' not in received


@pytest.mark.parametrize('offer', OFFERS.values(), ids=OFFERS)
def test_pipelined_offers_are_answered_in_order(offer):
    request = b''.join((HEAD, offer, WITH_LENGTH))
    received = run_listener(echo, PLAIN + request + PLAIN + request, wait_s=0.1)
    assert bodies(received) == [b'GET /plain ', b'POST /book body'] * 2


def test_many_pipelined_offers_in_one_segment_are_answered():
    """Guard against a depth of calls that grows with the number of requests."""
    request = b'GET /o HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n'
    received = run_listener(echo, request * MANY, wait_s=0.3)
    assert received.count(b'HTTP/1.1 200') == MANY


def test_expectation_beside_an_offer_is_answered_once():
    expect = b'Expect: 100-continue\r\n'
    request = b''.join((HEAD, OFFERS['h2c'], expect, WITH_LENGTH))
    received = run_listener(echo, request, wait_s=0.1)
    assert received.count(b'100 Continue') == 1
    assert bodies(received) == [b'POST /book body']


def test_bounds_hold_beside_an_offer():
    long = b'X: ' + b'a' * LIMITS.header_bytes_max + b'\r\n'
    received = run_listener(echo, HEAD + OFFERS['h2c'] + long + WITH_LENGTH)
    assert received.startswith(b'HTTP/1.1 431')
    large = b'Content-Length: 200\r\n\r\n' + b'a' * 200
    received = run_listener(echo, HEAD + OFFERS['h2c'] + large)
    assert received.startswith(b'HTTP/1.1 413')


def test_tunnel_is_rejected():
    received = run_listener(echo, b'CONNECT h:443 HTTP/1.1\r\nHost: h:443\r\n\r\n')
    assert received.startswith(b'HTTP/1.1 405')
    assert b'Connection: close' in received


@pytest.mark.parametrize(
    ('invalid', 'status'),
    [
        (b'CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n', b'405'),
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 500 + b'\r\n\r\n', b'431'),
    ],
)
@pytest.mark.parametrize('before', [1, 3])
def test_open_requests_are_answered_before_a_later_invalid_one(invalid, status, before):
    """Guard against a request that was passed on and is cut off by the next one."""

    async def run():
        def answer_later(request):
            asyncio.get_running_loop().call_later(0.02, echo, request)

        listener = HttpListener('127.0.0.1:0', answer_later, lambda: LIMITS)
        await listener.start()
        received = await send_chunks(listener.address, PLAIN * before + invalid)
        await listener.close()
        return received

    received = asyncio.run(run())
    statuses = re.findall(rb'HTTP/1.1 (\d+)', received)
    assert statuses == [b'200'] * before + [status]
    assert received.count(b'Connection: close') == 1
