"""HTTP server and messages shared by the stand-ins."""

import errno
import signal
import sys
import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import parse_qsl, unquote

import msgspec
from cheroot import wsgi

from cowsliploom.standins._strict_decoding import convert_strictly

PORT_SEPARATOR = ':'
HEADER_PREFIX = 'HTTP_'
BODY_MAX = 4 * 1024 * 1024  # bytes; fits the store's largest value after JSON escaping
IDLE_TIMEOUT_S = 600  # callers, not the stand-in, limit the age of connections
BACKLOG = 128  # connections that may wait for accept during a burst
SHUTDOWN_TIMEOUT_S = 1
KEEP_ALIVE_MAX = 100_000  # idle connections; the stand-in has its own limit

Shape = TypeVar('Shape')
Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclass(frozen=True, slots=True)
class Request:
    """HTTP request as passed to the handlers."""

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    peer_port: int = 0
    environ: Environ = field(default_factory=dict)

    def header(self, name: str) -> str:
        """Return the value of a header; empty if it is absent."""
        field_name = name.upper().replace('-', '_')
        return str(self.environ.get(f'{HEADER_PREFIX}{field_name}', ''))


@dataclass(frozen=True, slots=True)
class Reply:
    """HTTP reply; the body is JSON or empty."""

    status: HTTPStatus
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Problem:
    """Body of an error reply."""

    problem: str


@dataclass(frozen=True, slots=True)
class NamedAddress:
    """Name and listen address of a stand-in."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Ready:
    """Line on standard output once all addresses are listening."""

    ready: str
    servers: tuple[NamedAddress, ...] = ()


class DropConnection(ConnectionResetError):
    """Make cheroot close the connection without a reply."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, 'connection dropped by an injected fault')


class ListenError(Exception):
    """Raised if a stand-in cannot listen on its address."""

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__(f'listen {peer}: {reason}')
        self.step = 'listen'
        self.peer = peer


Handler = Callable[[Request], Reply]


def json_reply(body: object, status: HTTPStatus = HTTPStatus.OK) -> Reply:
    """Build a reply with a message encoded as JSON."""
    return Reply(status, msgspec.json.encode(body))


def problem_reply(status: HTTPStatus, problem: str) -> Reply:
    """Build an error reply."""
    return json_reply(Problem(problem), status)


def decode_body(request: Request, shape: type[Shape]) -> Shape:
    """Decode a JSON body; raise ``msgspec.MsgspecError`` if it does not match."""
    return msgspec.json.decode(request.body, type=shape)


def decode_admin_body(request: Request, shape: type[Shape]) -> Shape:
    """Decode the JSON body of an admin request; unknown fields are an error."""
    return convert_strictly(msgspec.json.decode(request.body), shape)


class JsonApp:
    """WSGI application around a request handler.

    Parameters
    ----------
    answer : callable
        Handler of a `Request` that returns a `Reply` or raises `DropConnection`.
    """

    def __init__(self, answer: Handler) -> None:
        self.answer = answer

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        reply = self._reply(_read_request(environ))
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(reply.body))),
        ]
        start_response(f'{reply.status.value} {reply.status.phrase}', headers)
        return [reply.body]

    def _reply(self, request: Request) -> Reply:
        if len(request.body) > BODY_MAX:
            return problem_reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body too large')
        try:
            return self.answer(request)
        except (msgspec.MsgspecError, ValueError) as error:
            return problem_reply(HTTPStatus.BAD_REQUEST, str(error))


def _read_request(environ: Environ) -> Request:
    length = int(environ.get('CONTENT_LENGTH') or 0)
    return Request(
        method=environ['REQUEST_METHOD'],
        path=unquote(environ['PATH_INFO']),
        query=dict(parse_qsl(environ.get('QUERY_STRING', ''))),
        body=environ['wsgi.input'].read(min(length, BODY_MAX + 1)) if length else b'',
        peer_port=int(environ.get('REMOTE_PORT') or 0),
        environ=environ,
    )


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ``ValueError`` if the form is wrong."""
    host, _, port = address.rpartition(PORT_SEPARATOR)
    if not host or not port.isdigit():
        raise ValueError(f'listen: got {address!r}, expected host:port')
    return host, int(port)


class StandinServer(wsgi.Server):
    """HTTP server with its own address and thread pool.

    Parameters
    ----------
    listen : str
        ``host:port``; port 0 selects a free port.
    answer : callable
        Handler of a `Request` that returns a `Reply`.
    threads : int
        Requests that may run or wait concurrently.
    """

    keep_alive_conn_limit = KEEP_ALIVE_MAX

    def __init__(self, listen: str, answer: Handler, threads: int) -> None:
        super().__init__(
            split_address(listen),
            JsonApp(answer),
            numthreads=threads,
            request_queue_size=BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )

    def __enter__(self) -> 'StandinServer':
        """Listen and serve in a background thread."""
        self.start_serving()
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop serving and close all connections."""
        self.stop()

    def start_serving(self) -> None:
        """Listen and serve in a background thread.

        Raises
        ------
        ListenError
            If the address cannot be bound.
        """
        try:
            self.prepare()
        except OSError as error:
            raise ListenError(self.address, str(error)) from error
        threading.Thread(target=self.serve, daemon=True).start()

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound."""
        host, port = self.bind_addr
        return f'{host}{PORT_SEPARATOR}{port}'

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Discard the log of cheroot; dropped connections are injected faults."""


def print_ready_line(servers: Sequence[NamedAddress]) -> None:
    """Print the ready line."""
    ready = Ready(servers[0].address, tuple(servers))
    sys.stdout.write(f'{msgspec.json.encode(ready).decode()}\n')
    sys.stdout.flush()


def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT; a second signal then ends the process."""
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    stopped.wait()
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.default_int_handler)
