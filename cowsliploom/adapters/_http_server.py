"""An HTTP server with typed requests, bounded memory and graceful shutdown."""

import contextlib
import math
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import TracebackType
from typing import Protocol, runtime_checkable
from urllib.parse import parse_qsl

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HTTPServer
from cheroot.workers.threadpool import ThreadPool

from cowsliploom.adapters._http_connection import BoundedConnection
from cowsliploom.adapters._http_messages import HttpRequest, HttpResponse
from cowsliploom.adapters._problem import Problem, problem_response

MS_PER_S = 1000
QUERY_FIELDS_MAX = 32  # no route takes more
HEADER_BYTES_MAX = 16_384
WAITING_PER_THREAD = 8  # requests that may wait for a thread before a 503
TOO_LARGE = 'Request Entity Too Large'  # how cheroot tells it of a chunked body
SELECT_S = 0.1  # bounds how long stopping takes

Handler = Callable[[HttpRequest], HttpResponse]
ErrorLog = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class HttpServerSettings:
    """Bound what one HTTP server takes on.

    Parameters
    ----------
    threads : int
        Requests handled at once; a stream holds one for as long as it lasts.
    connections_max : int
        Open connections.
    body_max_bytes : int
        Size of a request's body, in bytes.
    request_read_timeout_ms : float
        Time from a request's first byte to its last, in milliseconds.
    idle_timeout_ms : float
        Time that a connection may stay silent, and that one write may take, in
        milliseconds.
    drain_timeout_ms : float
        Time for requests to end once the server stops, in milliseconds.
    """

    threads: int = 16
    connections_max: int = 2048
    body_max_bytes: int = 1_000_000
    request_read_timeout_ms: float = 5000
    idle_timeout_ms: float = 30_000
    drain_timeout_ms: float = 10_000


class Tally:
    """Count what is open, over threads, and wait for none."""

    def __init__(self) -> None:
        self.count = 0
        self._changed = threading.Condition()

    def add(self) -> None:
        """Count one more."""
        with self._changed:
            self.count += 1

    def remove(self) -> None:
        """Count one less."""
        with self._changed:
            self.count -= 1
            self._changed.notify_all()

    def wait_for_none(self, timeout_s: float) -> bool:
        """Wait until none is open; return whether that came about in time."""
        with self._changed:
            return self._changed.wait_for(self._is_none, timeout_s)

    def _is_none(self) -> bool:
        return self.count <= 0


@runtime_checkable
class Closable(Protocol):
    """Release what it holds when it is closed."""

    def close(self) -> None:
        """Release what is held."""
        ...


class _BadRequest(ValueError):
    """Refuse a request that can't be read."""


class _Gateway(Gateway):
    """Hand typed requests to the handler and write its responses."""

    def respond(self) -> None:
        """Handle the request of this gateway."""
        self._write(self._make_response())

    def _make_response(self) -> HttpResponse:
        try:
            request = self._read()
        except MaxSizeExceeded:
            self.req.close_connection = True
            detail = (
                f'a body of more than {self.req.server.max_request_body_size} bytes'
            )
            return self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
        except ValueError as error:
            self.req.close_connection = True
            return self._refuse(HTTPStatus.BAD_REQUEST, str(error))
        try:
            return self._handle(request)
        except Exception as error:
            self.req.server.report(f'{type(error).__name__}: {error}')
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return problem_response(
                Problem(status.phrase, status.value, step='http.handle', ran='unknown')
            )

    def _handle(self, request: HttpRequest) -> HttpResponse:
        handler: Handler = self.req.server.handler
        return handler(request)

    def _refuse(self, status: HTTPStatus, detail: str) -> HttpResponse:
        problem = Problem(
            status.phrase, status.value, detail, 'http.read', self._peer(), ran='no'
        )
        return problem_response(problem)

    def _peer(self) -> str:
        return f'{self.req.conn.remote_addr}:{self.req.conn.remote_port}'

    def _read(self) -> HttpRequest:
        headers = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in self.req.inheaders.items()
        }
        return HttpRequest(
            self.req.method.decode('latin-1'),
            self.req.path.decode(),
            _decode_query(self.req.qs),
            headers,
            self._read_body(headers),
            self._peer(),
        )

    def _read_body(self, headers: Mapping[str, str]) -> bytes:
        try:
            body: bytes = self.req.rfile.read()
        except OSError as error:
            if str(error) == TOO_LARGE:
                raise MaxSizeExceeded from error
            raise
        expected = int(headers.get('content-length', 0))
        if not self.req.chunked_read and len(body) != expected:
            raise _BadRequest(f'body: got {len(body)} bytes, expected {expected}')
        return body

    def _write(self, response: HttpResponse) -> None:
        status = HTTPStatus(response.status)
        self.req.status = f'{status.value} {status.phrase}'.encode()
        headers = [('Content-Type', response.content_type), *response.headers]
        if isinstance(response.body, bytes):
            headers.append(('Content-Length', str(len(response.body))))
        self.req.outheaders.extend(
            (name.encode(), text.encode('latin-1', 'replace')) for name, text in headers
        )
        self.req.ensure_headers_sent()
        if self.req.method == b'HEAD':
            return
        if isinstance(response.body, bytes):
            self.req.write(response.body)
        else:
            self._write_pieces(response.body)

    def _write_pieces(self, pieces: Iterable[bytes]) -> None:
        with contextlib.ExitStack() as stack:
            if isinstance(pieces, Closable):
                stack.callback(pieces.close)
            for piece in filter(None, pieces):
                self.req.write(piece)


def _decode_query(encoded: bytes) -> dict[str, str]:
    fields = parse_qsl(
        encoded.decode('ascii'),
        keep_blank_values=True,
        errors='strict',
        max_num_fields=QUERY_FIELDS_MAX,
    )
    return dict(fields)


class _BoundedServer(HTTPServer):  # noqa: WPS230 (the library's attributes)
    """Bound the connections, and give a thread only to those that have spoken."""

    ConnectionClass = BoundedConnection

    def __init__(
        self,
        address: str,
        handler: Handler,
        settings: HttpServerSettings,
        report: ErrorLog,
    ) -> None:
        super().__init__(split_address(address), _Gateway, server_name='cowsliploom')
        self.handler = handler
        self.report = report
        self.draining = False
        self.requests_open = Tally()
        self.connections_open = Tally()
        self.timeout = math.ceil(settings.idle_timeout_ms / MS_PER_S)
        self.request_read_s = settings.request_read_timeout_ms / MS_PER_S
        self.max_request_body_size = settings.body_max_bytes
        self.max_request_header_size = HEADER_BYTES_MAX
        self.request_bytes_max = HEADER_BYTES_MAX + 2 * settings.body_max_bytes
        self.keep_alive_conn_limit = settings.connections_max
        self.connections_max = settings.connections_max
        self.request_queue_size = settings.connections_max
        self.expiration_interval = SELECT_S
        self.shutdown_timeout = 1
        self.waiting_max = settings.threads * WAITING_PER_THREAD
        self.requests = ThreadPool(self, min=settings.threads)

    def process_conn(self, conn: BoundedConnection) -> None:
        """Queue a connection that has spoken; let a new one wait for its first byte."""
        if conn.last_used is None:
            self._take_in(conn)
        elif self.requests.qsize < self.waiting_max:
            conn.begin()
            self.requests.put(conn)
        else:
            conn.refuse()

    def _take_in(self, conn: BoundedConnection) -> None:
        self.connections_open.add()
        if self.connections_open.count > self.connections_max:
            conn.close()
        else:
            self.put_conn(conn)

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Pass errors of the server itself on."""
        self.report(msg)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into its parts, brackets around IPv6 numbers taken off."""
    host, _, port = address.rpartition(':')
    return host.removeprefix('[').removesuffix(']'), int(port)


def _ignore(_sentence: str) -> None:
    """Drop a report."""


class HttpServer:
    """Serve typed requests on one address until the block ends.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 lets the system choose.
    handler : callable
        Takes an ``HttpRequest`` and returns an ``HttpResponse``; runs on many
        threads. A raised exception becomes a problem of status 500.
    settings : HttpServerSettings
        Bounds.
    report : callable
        Takes sentences about errors of handlers and connections.

    Notes
    -----
    Leaving the block drains: requests received are answered whole within the
    drain timeout, and their connections close afterwards. Call ``drain`` earlier
    to tell clients on kept connections to go elsewhere while new ones are taken.

    Examples
    --------
    >>> server = HttpServer('127.0.0.1:0', lambda request: HttpResponse(204))
    >>> with server:
    ...     server.address.startswith('127.0.0.1:')
    True
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        settings: HttpServerSettings = HttpServerSettings(),  # noqa: WPS404
        report: ErrorLog = _ignore,
    ) -> None:
        self.settings = settings
        self._server = _BoundedServer(address, handler, settings, report)

    def __enter__(self) -> 'HttpServer':
        """Listen, and serve in the background."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Drain, then close all connections."""
        self.drain()
        drain_s = self.settings.drain_timeout_ms / MS_PER_S
        self._server.requests_open.wait_for_none(drain_s)
        self._server.stop()

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound."""
        host, port = self._server.bind_addr[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    @property
    def requests_open(self) -> int:
        """Return the number of requests that have begun and not ended."""
        return self._server.requests_open.count

    @property
    def draining(self) -> bool:
        """Tell whether the server drains."""
        return bool(self._server.draining)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._server.draining = True
