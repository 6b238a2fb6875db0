"""Requests from a grammar, cut and mutated, harm no other request."""

import asyncio
import random
import re

import pytest

from cowsliploom.dataplane import HttpListener
from cowsliploom.forwarding import CallerLimits

SEEDS = range(60)
PIPELINED_MAX = 5
LIMITS = CallerLimits(
    header_bytes_max=600, body_bytes_max=400, header_timeout_ms=300, idle_timeout_ms=900
)
READ_S = 2.0
MARK = re.compile(rb'<(\w+) (\w+) ([0-9a-f]*)>')
OFFERS = (
    b'',
    b'',
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: A\r\n',
    b'Connection: upgrade\r\nUpgrade: websocket\r\n',
    b'Connection: keep-alive\r\n',
    b'TE: trailers\r\n',
)
MUTATIONS = (b'\x00', b'\r\n\r\n', b' ', b':', b'\xff', b'HTTP/9.9', b'9' * 30, b'\n')
PLAIN = b'GET /plain HTTP/1.1\r\nHost: h\r\n\r\n'


def answer_marked(request):
    """Answer with method, target and body, at once or a little later."""
    text = f'<{request.method} {request.target[1:]} {request.body.hex()}>'
    loop = asyncio.get_running_loop()
    loop.call_later(
        len(request.body) % 3 / 1000, request.answer, 200, [], text.encode()
    )


def make_request(generator, number):
    """Return a valid request and the mark of its answer."""
    body = generator.randbytes(generator.choice((0, 1, 17, 200)))
    target = f'r{number}'.encode()
    head = b'POST /%b HTTP/1.1\r\nHost: h\r\n%b' % (target, generator.choice(OFFERS))
    mark = (b'POST', target, body.hex().encode())
    if generator.choice((True, False)):
        return b'%bContent-Length: %d\r\n\r\n%b' % (head, len(body), body), mark
    chunks = [body[at : at + 7] for at in range(0, len(body), 7)]
    encoded = b''.join(b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks)
    return b'%bTransfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % (head, encoded), mark


def split(generator, text):
    """Return a text in segments of random lengths."""
    cuts = sorted(generator.randrange(len(text) + 1) for _ in range(4))
    edges = zip([0, *cuts], [*cuts, len(text)])
    return [text[start:end] for start, end in edges if end > start]


def mutate(generator, text):
    """Return a text with a piece replaced, inserted or dropped."""
    at = generator.randrange(len(text))
    piece = generator.choice((*MUTATIONS, b''))
    return text[:at] + piece + text[at + generator.choice((0, 1, 5)) :]


async def exchange(address, segments):
    """Send segments and return all that is received until the end or a silence."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b''
    try:
        for segment in segments:
            writer.write(segment)
            await asyncio.sleep(0)
        while chunk := await asyncio.wait_for(reader.read(65_536), READ_S):
            received += chunk
    except (asyncio.TimeoutError, ConnectionError):
        received += b''
    writer.close()
    return received


def run_connections(*connections):
    """Return what each connection receives, and the errors that reached the loop."""

    async def run():
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        listener = HttpListener('127.0.0.1:0', answer_marked, lambda: LIMITS)
        await listener.start()
        received = await asyncio.gather(
            *(exchange(listener.address, segments) for segments in connections)
        )
        await listener.close()
        return received, errors

    return asyncio.run(run())


@pytest.mark.parametrize('seed', SEEDS)
def test_valid_requests_are_answered_as_without_their_neighbours(seed):
    """Guard against a request that changes or loses another one, on any connection."""
    generator = random.Random(seed)
    count = generator.randint(1, PIPELINED_MAX)
    made = [make_request(generator, number) for number in range(count)]
    valid = b''.join(text for text, _ in made)
    marks = [mark for _, mark in made]
    last, _ = make_request(generator, 9)
    odd = valid + mutate(generator, last)
    (received, beside, plain), errors = run_connections(
        split(generator, valid), split(generator, odd), [PLAIN]
    )
    assert MARK.findall(received) == marks
    assert MARK.findall(beside)[:count] == marks
    assert MARK.findall(plain) == [(b'GET', b'plain', b'')]
    assert not errors


@pytest.mark.parametrize('gap_s', [0, 0.01])
def test_rejection_reaches_a_caller_that_goes_on_sending(gap_s):
    """Guard against a reset that destroys answers which the caller has not read yet."""

    async def run():
        listener = HttpListener('127.0.0.1:0', answer_marked, lambda: LIMITS)
        await listener.start()
        host, _, port = listener.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(PLAIN + b'nonsense\r\n\r\n')
        for _ in range(20):
            writer.write(b'more of it' * 100)
            await asyncio.sleep(gap_s)
        received = await asyncio.wait_for(reader.read(), READ_S)
        writer.close()
        await listener.close()
        return received

    received = asyncio.run(run())
    assert re.findall(rb'HTTP/1.1 (\d+)', received) == [b'200', b'400']
