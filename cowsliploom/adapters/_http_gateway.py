"""From cheroot's requests to typed ones, and from typed responses back."""

import contextlib
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Protocol, runtime_checkable
from urllib.parse import parse_qsl

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway

from cowsliploom.adapters._http_messages import HttpRequest, HttpResponse
from cowsliploom.adapters._problem import Problem, problem_response

QUERY_FIELDS_MAX = 32  # no route takes more
TOO_LARGE = 'Request Entity Too Large'  # how cheroot tells it of a chunked body

Handler = Callable[[HttpRequest], HttpResponse]


@runtime_checkable
class Closable(Protocol):
    """Release what it holds when it is closed."""

    def close(self) -> None:
        """Release what is held."""
        ...


class _BadRequest(ValueError):
    """Refuse a request that can't be read."""


class HandlerGateway(Gateway):
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
