"""Connections of the HTTP server: bounded reading, and problems in JSON."""

import contextlib
import socket
import time
from http import HTTPStatus
from typing import Any

from cheroot.errors import MaxSizeExceeded
from cheroot.makefile import BufferedWriter, StreamReader, StreamWriter
from cheroot.server import HTTPConnection, HTTPRequest

from cowsliploom.adapters._problem import PROBLEM_TYPE, Problem, encode_problem

DISCARD_MAX_BYTES = 16_000_000  # of a refused body, so that its sender hears why
DISCARD_PIECE_BYTES = 65_536


class DeadlineSocket:
    """Read from a socket until a deadline and no more than some bytes.

    Parameters
    ----------
    sock : socket.socket
        Socket to read from.
    idle_s : float
        Time limit of each read and write, in seconds.
    """

    def __init__(self, sock: socket.socket, idle_s: float) -> None:
        self.sock = sock
        self.idle_s = idle_s
        self.deadline_s: float = 0
        self.bytes_left = 0

    def begin(self, read_s: float, bytes_max: int) -> None:
        """Bound the reading of one request, in seconds and bytes."""
        self.deadline_s = time.monotonic() + read_s
        self.bytes_left = bytes_max

    def recv_into(self, buffer: Any) -> int:
        """Receive some bytes; raise ``TimeoutError`` at the deadline."""
        left_s = self.deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('timed out')
        if self.bytes_left <= 0:
            raise MaxSizeExceeded
        with contextlib.ExitStack() as stack:
            stack.callback(self.sock.settimeout, self.idle_s)
            self.sock.settimeout(min(left_s, self.idle_s))
            received = self.sock.recv_into(buffer)
        self.bytes_left -= received
        return received

    def __getattr__(self, name: str) -> Any:
        """Pass on what the file objects of a socket need besides."""
        return getattr(self.sock, name)


class ProblemRequest(HTTPRequest):
    """Answer what the server itself refuses with problem JSON."""

    def respond(self) -> None:
        """Respond; while the server drains, the connection closes after it."""
        if self.server.draining:
            self.close_connection = True
        super().respond()

    def simple_response(self, status: object, msg: str = '') -> None:
        """Write a response that no handler made, and close the connection."""
        code = HTTPStatus(int(str(status)[:3]))
        handled = code == HTTPStatus.INTERNAL_SERVER_ERROR
        problem = Problem(
            title=code.phrase,
            status=code.value,
            detail=msg,
            step='http.read',
            peer=f'{self.conn.remote_addr}:{self.conn.remote_port}',
            ran='unknown' if handled else 'no',
        )
        self.close_connection = True
        self._write_plainly(code, encode_problem(problem))
        if code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            self._discard_body()

    def _write_plainly(self, code: HTTPStatus, body: bytes) -> None:
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
        """Read on for a while, as closing at once would take the answer back."""
        self.conn.reading.begin(self.server.request_read_s, DISCARD_MAX_BYTES)
        try:
            piece = self.conn.rfile.read(DISCARD_PIECE_BYTES)
            while piece:
                piece = self.conn.rfile.read(DISCARD_PIECE_BYTES)
        except (OSError, MaxSizeExceeded):
            return


class BoundedConnection(HTTPConnection):
    """Read each request within bounds, and report its end to the server."""

    RequestHandlerClass = ProblemRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: object) -> None:
        self.reading = DeadlineSocket(sock, server.timeout)
        self.working = False
        self.closed = False
        super().__init__(server, sock, self._make_file)

    def begin(self) -> None:
        """Count the request that the connection has begun to send."""
        self.working = True
        self.server.requests_open.add()

    def communicate(self) -> bool:
        """Read a request and respond; return whether to keep the connection."""
        self.reading.begin(self.server.request_read_s, self.server.request_bytes_max)
        with contextlib.ExitStack() as stack:
            stack.callback(self._finish)
            return bool(super().communicate())  # type: ignore[no-untyped-call]

    def refuse(self) -> None:
        """Say that the server is full, with no request looked at.

        Notes
        -----
        What has arrived is taken from the socket unread, since closing with bytes
        left over would take the answer back.
        """
        request = ProblemRequest(self.server, self)
        request.simple_response(HTTPStatus.SERVICE_UNAVAILABLE.value, 'server full')
        self.socket.setblocking(False)  # noqa: WPS425
        with contextlib.suppress(OSError):
            self.socket.recv(DISCARD_PIECE_BYTES)
        self.close()

    def close(self) -> None:
        """Close the connection and report it, once."""
        self._finish()
        if not self.closed:
            self.closed = True
            self.server.connections_open.remove()
        super().close()

    def _finish(self) -> None:
        if self.working:
            self.working = False
            self.server.requests_open.remove()

    def _make_file(
        self, sock: socket.socket, mode: str, bufsize: int
    ) -> StreamReader | BufferedWriter:
        if 'r' in mode:
            return StreamReader(self.reading, mode, bufsize)
        return StreamWriter(sock, mode, bufsize)
