"""Connections of the HTTP server: bounded reads, and errors as problem JSON."""

import contextlib
import socket
import time
from http import HTTPStatus
from typing import Any

from cheroot.errors import MaxSizeExceeded
from cheroot.makefile import BufferedWriter, StreamReader, StreamWriter
from cheroot.server import HTTPConnection, HTTPRequest

from cowsliploom.adapters._problem import PROBLEM_TYPE, Problem, encode_problem

DISCARD_MAX_BYTES = 16_000_000  # of a rejected body, so its sender gets the response
DISCARD_CHUNK_BYTES = 65_536


class DeadlineSocket:
    """Socket wrapper that limits the time and size of the reads of a request.

    Parameters
    ----------
    sock : socket.socket
        Socket to wrap.
    idle_s : float
        Timeout of each read and write, in seconds.
    """

    def __init__(self, sock: socket.socket, idle_s: float) -> None:
        self.sock = sock
        self.idle_s = idle_s
        self.deadline_s: float = 0
        self.bytes_left = 0

    def set_limits(self, read_s: float, bytes_max: int) -> None:
        """Set the time limit and the size limit for reading one request."""
        self.deadline_s = time.monotonic() + read_s
        self.bytes_left = bytes_max

    def recv_into(self, buffer: Any) -> int:
        """Receive into a buffer.

        Raises
        ------
        TimeoutError
            If the deadline has passed.
        MaxSizeExceeded
            If the size limit is used up.
        """
        time_left_s = self.deadline_s - time.monotonic()
        if time_left_s <= 0:
            raise TimeoutError('timed out')
        if self.bytes_left <= 0:
            raise MaxSizeExceeded
        with contextlib.ExitStack() as stack:
            stack.callback(self.sock.settimeout, self.idle_s)
            self.sock.settimeout(min(time_left_s, self.idle_s))
            received = self.sock.recv_into(buffer)
        self.bytes_left -= received
        return received

    def __getattr__(self, name: str) -> Any:
        """Forward other attributes, which file objects need, to the socket."""
        return getattr(self.sock, name)


class ProblemRequest(HTTPRequest):
    """Request whose error responses by the server itself are problem JSON."""

    def respond(self) -> None:
        """Respond; closes the connection afterwards if the server drains."""
        if self.server.draining:
            self.close_connection = True
        super().respond()

    def simple_response(self, status: object, msg: str = '') -> None:
        """Write an error response of the server itself, and close the connection."""
        code = HTTPStatus(int(str(status)[:3]))
        handler_ran = code == HTTPStatus.INTERNAL_SERVER_ERROR
        problem = Problem(
            title=code.phrase,
            status=code.value,
            detail=msg,
            step='http.read',
            peer=f'{self.conn.remote_addr}:{self.conn.remote_port}',
            ran='unknown' if handler_ran else 'no',
        )
        self.close_connection = True
        self._write_response(code, encode_problem(problem))
        if code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            self._discard_body()

    def _write_response(self, code: HTTPStatus, body: bytes) -> None:
        lines = (
            f'{self.server.protocol} {code.value} {code.phrase}',
            f'Content-Type: {PROBLEM_TYPE}',
            f'Content-Length: {len(body)}',
            'Connection: close',
            '\r\n',
        )
        try:
            self.conn.wfile.write('\r\n'.join(lines).encode() + body)
        except OSError:
            return

    def _discard_body(self) -> None:
        """Discard the body: closing with unread data would reset the connection.

        The sender could then lose the response.
        """
        self.conn.bounded_socket.set_limits(
            self.server.request_read_s, DISCARD_MAX_BYTES
        )
        try:
            chunk = self.conn.rfile.read(DISCARD_CHUNK_BYTES)
            while chunk:
                chunk = self.conn.rfile.read(DISCARD_CHUNK_BYTES)
        except (OSError, MaxSizeExceeded):
            return


class BoundedConnection(HTTPConnection):
    """Connection with bounded reads that keeps the server's counters current."""

    RequestHandlerClass = ProblemRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: object) -> None:
        self.bounded_socket = DeadlineSocket(sock, server.timeout)
        self.has_open_request = False
        self.closed = False
        super().__init__(server, sock, self._open_file)

    def begin_request(self) -> None:
        """Count a request whose first bytes have arrived as open."""
        self.has_open_request = True
        self.server.requests_open.increment()

    def communicate(self) -> bool:
        """Read a request and respond; return whether to keep the connection open."""
        self.bounded_socket.set_limits(
            self.server.request_read_s, self.server.request_bytes_max
        )
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_request)
            return bool(super().communicate())  # type: ignore[no-untyped-call]

    def reject(self) -> None:
        """Respond with status 503 without parsing the request, and close.

        Notes
        -----
        Received bytes are discarded first, because closing a socket with unread data
        resets the connection, and the client could lose the response.
        """
        request = ProblemRequest(self.server, self)
        request.simple_response(HTTPStatus.SERVICE_UNAVAILABLE.value, 'server full')
        self.socket.setblocking(False)  # noqa: WPS425
        with contextlib.suppress(OSError):
            self.socket.recv(DISCARD_CHUNK_BYTES)
        self.close()

    def close(self) -> None:
        """Close the connection and decrement the counters, once."""
        self._end_request()
        if not self.closed:
            self.closed = True
            self.server.connections_open.decrement()
        super().close()

    def _end_request(self) -> None:
        if self.has_open_request:
            self.has_open_request = False
            self.server.requests_open.decrement()

    def _open_file(
        self, sock: socket.socket, mode: str, bufsize: int
    ) -> StreamReader | BufferedWriter:
        if 'r' in mode:
            return StreamReader(self.bounded_socket, mode, bufsize)
        return StreamWriter(sock, mode, bufsize)
