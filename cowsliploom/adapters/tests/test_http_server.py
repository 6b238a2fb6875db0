"""The server enforces its limits and reports every rejection as a problem."""

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
from cowsliploom.adapters._http_server import QUEUED_PER_THREAD

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
    """Respond by path; block requests to /held until ``release`` is set."""

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


def exchange(server, *chunks):
    with connect(server) as sock:
        for chunk in chunks:
            sock.sendall(chunk)
        return read_all(sock)


def read_all(sock):
    received = b''
    with contextlib.suppress(ConnectionError):
        while chunk := sock.recv(65536):
            received += chunk
    return received


def test_handler_receives_decoded_request(server, http):
    response = http.request(
        'PUT',
        f'http://{server.address}/a%C3%A9?x=1&y=%C3%A9',
        body=b'body',
        headers={'Request-Id': 'r1'},
    )
    received = msgspec.json.decode(response.data, type=dict)
    assert (received['method'], received['path'], received['query']) == (
        'PUT',
        '/aé',
        {'x': '1', 'y': 'é'},
    )
    assert received['headers']['request-id'] == 'r1'


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
def test_bad_request_gets_problem_and_server_stays_up(server, http, text, status):
    head, _, body = exchange(server, text).partition(b'\r\n\r\n')
    assert head.startswith(f'HTTP/1.1 {status}'.encode())
    assert decode_problem(body).status == status
    assert http.request('GET', f'http://{server.address}/').status == 200


def test_sender_of_large_body_receives_problem(server, http):
    response = http.request('PUT', f'http://{server.address}/', body=b'x' * 4_000_000)
    assert (response.status, decode_problem(response.data).ran) == (413, 'no')


def test_slow_sender_is_disconnected_at_request_deadline(server):
    started = time.monotonic()
    with connect(server) as sock:
        sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n')
        with contextlib.suppress(OSError):
            for _ in range(30):
                sock.sendall(b'a: b\r\n')
                time.sleep(0.05)
    assert time.monotonic() - started < 3


def test_idle_connections_occupy_no_thread(server, http):
    with contextlib.ExitStack() as stack:
        for _ in range(SETTINGS.threads * 4):
            stack.enter_context(connect(server))
        started = time.monotonic()
        assert http.request('GET', f'http://{server.address}/').status == 200
        assert time.monotonic() - started < 1


def test_connections_above_limit_are_closed(server):
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(connect(server))
            for _ in range(SETTINGS.connections_max)
        ]
        extra = stack.enter_context(connect(server))
        assert read_all(extra) == b''
        socks[0].sendall(b'GET / HTTP/1.0\r\nHost: x\r\n\r\n')
        assert read_all(socks[0]).startswith(b'HTTP/1.1 200')


def test_handler_exception_is_problem_that_may_have_run(server, http):
    response = http.request('GET', f'http://{server.address}/fails')
    problem = decode_problem(response.data)
    assert (response.status, problem.ran) == (500, 'unknown')


def read_until(sock, expected):
    """Read until ``expected`` arrives, as one read may return only the headers.

    The socket's timeout bounds the wait.
    """
    received = b''
    while expected not in received:
        chunk = sock.recv(65536)
        assert chunk, 'the stream ended early'
        received += chunk
    return received


def test_client_disconnect_closes_stream(server, handler):
    with connect(server) as sock:
        sock.sendall(b'GET /stream HTTP/1.1\r\nHost: x\r\n\r\n')
        assert read_until(sock, b'first')
    handler.release.set()
    assert handler.closed.wait(5)


def test_request_in_flight_completes_when_server_stops(handler, http):
    with ThreadPoolExecutor() as callers:
        with HttpServer('127.0.0.1:0', handler, SETTINGS) as running:
            url = f'http://{running.address}/held'
            responses = [callers.submit(http.request, 'GET', url) for _ in range(3)]
            for _ in responses:
                handler.held.acquire(timeout=5)
            threading.Timer(0.2, handler.release.set).start()
        assert {response.result(5).data for response in responses} == {b'whole answer'}


def wait_until_readable(socks, count):
    """Wait until ``count`` connections have data to read, and return them."""
    deadline_s = time.monotonic() + 5
    readable = []
    while len(readable) < count and time.monotonic() < deadline_s:
        readable = select.select(socks, [], [], 0.05)[0]
    return readable


def test_full_server_rejects_requests_unread(handler):
    settings = replace(SETTINGS, threads=1)
    request = b'GET /held HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    with HttpServer('127.0.0.1:0', handler, settings) as running:
        with contextlib.ExitStack() as stack:
            stack.callback(handler.release.set)
            # The handler must hold the first request before the others arrive: while
            # it is queued, it takes a place that they are meant to fill.
            stack.enter_context(connect(running)).sendall(request)
            assert handler.held.acquire(timeout=5)
            others = [stack.enter_context(connect(running)) for _ in range(11)]
            for sock in others:
                sock.sendall(request)
            rejected = wait_until_readable(others, count=11 - QUEUED_PER_THREAD)
            assert len(rejected) == 11 - QUEUED_PER_THREAD
            responses = [exchange(running, request), *map(read_all, rejected)]
    problems = [decode_problem(one.partition(b'\r\n\r\n')[2]) for one in responses]
    assert {(one.status, one.ran) for one in problems} == {(503, 'no')}


def test_draining_server_closes_keep_alive_connection_after_response(server, http):
    server.drain()
    response = http.request('GET', f'http://{server.address}/')
    assert (response.status, response.headers['Connection']) == (200, 'close')


def test_retry_after_header_rounds_up_to_whole_seconds():
    response = problem_response(Problem('Busy', 503, retry_after_ms=1200))
    assert ('Retry-After', '2') in response.headers


def test_problem_round_trip_omits_empty_members():
    problem = Problem('Raced', 409, step='config.apply', revision=0)
    encoded = encode_problem(problem)
    assert b'change_id' not in encoded
    assert decode_problem(encoded) == problem
    assert decode_problem(b'not a problem') is None


def test_request_defaults_are_empty():
    assert HttpRequest('GET', '/').body == b''
