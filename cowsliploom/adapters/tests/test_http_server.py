"""The server takes what it can bear and answers the rest with a problem."""

import contextlib
import select
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

import msgspec
import pytest
import urllib3

from cowsliploom.adapters import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    Problem,
    decode_problem,
    encode_problem,
    problem_response,
)
from cowsliploom.adapters._http_server import WAITING_PER_THREAD

SETTINGS = HttpServerSettings(
    threads=4,
    connections_max=40,
    body_max_bytes=1000,
    request_read_timeout_ms=300,
    idle_timeout_ms=2000,
    drain_timeout_ms=3000,
)

LONG = b'x' * 20_000
CHUNKED = b'PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'


class Handler:
    """Answer by path, and hold requests to /held until told."""

    def __init__(self):
        self.release = threading.Event()
        self.held = threading.Semaphore(0)
        self.closed = threading.Event()

    def __call__(self, request):
        match request.path:
            case '/held':
                self.held.release()
                self.release.wait(5)
                return HttpResponse(200, b'whole answer')
            case '/fails':
                raise KeyError('a bug')
            case '/stream':
                return HttpResponse(200, self.stream())
        return HttpResponse(200, msgspec.json.encode(request))

    def stream(self):
        with contextlib.ExitStack() as stack:
            stack.callback(self.closed.set)
            yield b'first\n'
            self.release.wait(5)
            yield b'last\n'


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler):
    with HttpServer('127.0.0.1:0', handler, SETTINGS) as running:
        yield running


@pytest.fixture
def http():
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        yield pool


def connect(server):
    host, _, port = server.address.rpartition(':')
    return socket.create_connection((host, int(port)), timeout=5)


def exchange(server, *pieces):
    with connect(server) as sock:
        for piece in pieces:
            sock.sendall(piece)
        return read_all(sock)


def read_all(sock):
    received = b''
    with contextlib.suppress(ConnectionError):
        while piece := sock.recv(65536):
            received += piece
    return received


def test_request_reaches_handler_decoded(server, http):
    answer = http.request(
        'PUT',
        f'http://{server.address}/a%C3%A9?x=1&y=%C3%A9',
        body=b'body',
        headers={'Request-Id': 'r1'},
    )
    seen = msgspec.json.decode(answer.data, type=dict)
    assert (seen['method'], seen['path'], seen['query']) == (
        'PUT',
        '/aé',
        {'x': '1', 'y': 'é'},
    )
    assert seen['headers']['request-id'] == 'r1'


@pytest.mark.parametrize(
    ('text', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET /%ff HTTP/1.1\r\nHost: x\r\n\r\n', 400),
        (b'GET /?x=%ff HTTP/1.1\r\nHost: x\r\n\r\n', 400),
        (b'GET /?%b HTTP/1.1\r\nHost: x\r\n\r\n' % (b'a=1&' * 40), 400),
        (b'GET / HTTP/1.1\r\nHost: x\r\nA: %b\r\n\r\n' % LONG, 413),
        (b'GET /%b HTTP/1.1\r\nHost: x\r\n\r\n' % LONG, 414),
        (b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n', 413),
        (b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n', 400),
        (b'%b3e9\r\n%b\r\n0\r\n\r\n' % (CHUNKED, b'x' * 1001), 413),
        (b'%bffffffffff\r\n%b' % (CHUNKED, LONG), 413),
        (b'%b%b' % (CHUNKED, b'0' * 100_000), 413),
        (b'%bzz\r\n' % CHUNKED, 400),
        (b'GET / HTTP/1.1\r\nHost: x\r\n', 408),
        (b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf', 408),
    ],
)
def test_bad_request_gets_a_problem_and_the_server_goes_on(server, http, text, status):
    head, _, body = exchange(server, text).partition(b'\r\n\r\n')
    assert head.startswith(f'HTTP/1.1 {status}'.encode())
    assert decode_problem(body).status == status
    assert http.request('GET', f'http://{server.address}/').status == 200


def test_sender_of_a_large_body_hears_why(server, http):
    answer = http.request('PUT', f'http://{server.address}/', body=b'x' * 4_000_000)
    assert (answer.status, decode_problem(answer.data).ran) == (413, 'no')


def test_slow_sender_is_cut_off_at_the_request_deadline(server):
    started = time.monotonic()
    with connect(server) as sock:
        sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n')
        with contextlib.suppress(OSError):
            for _ in range(30):
                sock.sendall(b'a: b\r\n')
                time.sleep(0.05)
    assert time.monotonic() - started < 3


def test_silent_connections_hold_no_thread(server, http):
    with contextlib.ExitStack() as stack:
        for _ in range(SETTINGS.threads * 4):
            stack.enter_context(connect(server))
        started = time.monotonic()
        assert http.request('GET', f'http://{server.address}/').status == 200
        assert time.monotonic() - started < 1


def test_connections_above_the_bound_are_closed(server):
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(connect(server))
            for _ in range(SETTINGS.connections_max)
        ]
        extra = stack.enter_context(connect(server))
        assert read_all(extra) == b''
        socks[0].sendall(b'GET / HTTP/1.0\r\nHost: x\r\n\r\n')
        assert read_all(socks[0]).startswith(b'HTTP/1.1 200')


def test_bug_in_the_handler_is_a_problem_that_may_have_run(server, http):
    answer = http.request('GET', f'http://{server.address}/fails')
    problem = decode_problem(answer.data)
    assert (answer.status, problem.ran) == (500, 'unknown')


def read_until(sock, expected):
    """Read, since one read may return the headers alone; the socket times out."""
    received = b''
    while expected not in received:
        piece = sock.recv(65536)
        assert piece, 'the stream ended early'
        received += piece
    return received


def test_client_that_leaves_a_stream_closes_it(server, handler):
    with connect(server) as sock:
        sock.sendall(b'GET /stream HTTP/1.1\r\nHost: x\r\n\r\n')
        assert read_until(sock, b'first')
    handler.release.set()
    assert handler.closed.wait(5)


def test_request_in_flight_is_answered_whole_when_the_server_stops(handler, http):
    with ThreadPoolExecutor() as callers:
        with HttpServer('127.0.0.1:0', handler, SETTINGS) as running:
            url = f'http://{running.address}/held'
            answers = [callers.submit(http.request, 'GET', url) for _ in range(3)]
            for _ in answers:
                handler.held.acquire(timeout=5)
            threading.Timer(0.2, handler.release.set).start()
        assert {answer.result(5).data for answer in answers} == {b'whole answer'}


def wait_for_answers(socks, count):
    """Return the connections that were answered, once there are so many."""
    deadline_s = time.monotonic() + 5
    answered = []
    while len(answered) < count and time.monotonic() < deadline_s:
        answered = select.select(socks, [], [], 0.05)[0]
    return answered


def test_server_that_is_full_says_so_before_reading(handler):
    settings = replace(SETTINGS, threads=1)
    request = b'GET /held HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    with HttpServer('127.0.0.1:0', handler, settings) as running:
        with contextlib.ExitStack() as stack:
            stack.callback(handler.release.set)
            # The first has to be in work before the others come: while it waits for
            # the thread it takes one of the places that they are to fill.
            stack.enter_context(connect(running)).sendall(request)
            assert handler.held.acquire(timeout=5)
            others = [stack.enter_context(connect(running)) for _ in range(11)]
            for sock in others:
                sock.sendall(request)
            refused = wait_for_answers(others, count=11 - WAITING_PER_THREAD)
            assert len(refused) == 11 - WAITING_PER_THREAD
            answers = [exchange(running, request), *map(read_all, refused)]
    problems = [decode_problem(one.partition(b'\r\n\r\n')[2]) for one in answers]
    assert {(one.status, one.ran) for one in problems} == {(503, 'no')}


def test_draining_server_closes_kept_connections_after_the_answer(server, http):
    server.drain()
    answer = http.request('GET', f'http://{server.address}/')
    assert (answer.status, answer.headers['Connection']) == (200, 'close')


def test_problem_says_when_to_retry_in_whole_seconds():
    response = problem_response(Problem('Busy', 503, retry_after_ms=1200))
    assert ('Retry-After', '2') in response.headers


def test_problem_survives_encoding_and_leaves_out_what_is_empty():
    problem = Problem('Raced', 409, step='config.apply', revision=0)
    encoded = encode_problem(problem)
    assert b'change_id' not in encoded
    assert decode_problem(encoded) == problem
    assert decode_problem(b'not a problem') is None


def test_request_defaults_are_empty():
    assert HttpRequest('GET', '/').body == b''
