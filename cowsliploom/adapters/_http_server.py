"""An HTTP server with typed requests, bounded memory and graceful shutdown."""

import math
import threading
from collections.abc import Callable
from types import TracebackType

from cheroot.server import HTTPServer
from cheroot.workers.threadpool import ThreadPool

from cowsliploom.adapters._http_bounds import HttpServerSettings, OpenCounter
from cowsliploom.adapters._http_connection import BoundedConnection
from cowsliploom.adapters._http_gateway import Handler, HandlerGateway
from cowsliploom.protocol import split_address

MS_PER_S = 1000
HEADER_BYTES_MAX = 16_384
QUEUED_PER_THREAD = 8  # requests queued per thread; any more get a 503
SELECT_TIMEOUT_S = 0.1  # bounds the time that stopping takes

ErrorReporter = Callable[[str], None]


class _BoundedServer(HTTPServer):  # noqa: WPS230 (cheroot's attributes)
    """Limit connections, and use threads only for connections with a request."""

    ConnectionClass = BoundedConnection

    def __init__(
        self,
        address: str,
        handler: Handler,
        settings: HttpServerSettings,
        report: ErrorReporter,
    ) -> None:
        super().__init__(
            split_address(address), HandlerGateway, server_name='cowsliploom'
        )
        self.handler = handler
        self.report = report
        self.draining = False
        self.requests_open = OpenCounter()
        self.connections_open = OpenCounter()
        self.timeout = math.ceil(settings.idle_timeout_ms / MS_PER_S)
        self.request_read_s = settings.request_read_timeout_ms / MS_PER_S
        self.max_request_body_size = settings.body_max_bytes
        self.max_request_header_size = HEADER_BYTES_MAX
        self.request_bytes_max = HEADER_BYTES_MAX + 2 * settings.body_max_bytes
        self.keep_alive_conn_limit = settings.connections_max
        self.connections_max = settings.connections_max
        self.request_queue_size = settings.connections_max
        self.expiration_interval = SELECT_TIMEOUT_S
        self.shutdown_timeout = 1
        self.queued_max = settings.threads * QUEUED_PER_THREAD
        self.requests = ThreadPool(self, min=settings.threads)

    def process_conn(self, conn: BoundedConnection) -> None:
        """Queue a connection with data to read; register a new one for reading."""
        if conn.last_used is None:
            self._admit(conn)
        elif self.requests.qsize < self.queued_max:
            conn.begin_request()
            self.requests.put(conn)
        else:
            conn.reject()

    def _admit(self, conn: BoundedConnection) -> None:
        self.connections_open.increment()
        if self.connections_open.count > self.connections_max:
            conn.close()
        else:
            self.put_conn(conn)

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Forward errors of the server itself to ``report``."""
        self.report(msg)


def _discard_report(_text: str) -> None:
    """Discard an error report."""


class HttpServer:
    """Serve typed requests on one address, as a context manager.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 selects a free port.
    handler : callable
        Takes an ``HttpRequest`` and returns an ``HttpResponse``; called on several
        threads. An exception results in a problem response with status 500.
    settings : HttpServerSettings
        Resource limits and timeouts.
    report : callable
        Receives the error texts of handlers and connections.

    Notes
    -----
    Leaving the ``with`` block drains the server: it completes open requests within the
    drain timeout, then closes their connections. Calling ``drain`` earlier closes
    keep-alive connections after their next response, so that clients reconnect
    elsewhere, while new connections are still accepted.

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
        report: ErrorReporter = _discard_report,
    ) -> None:
        self.settings = settings
        self._server = _BoundedServer(address, handler, settings, report)

    def __enter__(self) -> 'HttpServer':
        """Listen, and serve on a background thread."""
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
        self._server.requests_open.wait_for_zero(drain_s)
        self._server.stop()

    @property
    def address(self) -> str:
        """Return the bound address as ``host:port``."""
        host, port = self._server.bind_addr[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    @property
    def requests_open(self) -> int:
        """Return the number of open requests."""
        return self._server.requests_open.count

    @property
    def draining(self) -> bool:
        """Return whether the server drains."""
        return bool(self._server.draining)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._server.draining = True
