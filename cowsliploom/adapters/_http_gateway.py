"""Conversion between cheroot's requests and the typed messages of handlers."""

import contextlib
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Protocol, runtime_checkable
from urllib.parse import parse_qsl

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway

from cowsliploom.adapters._http_messages import HttpRequest, HttpResponse
from cowsliploom.adapters._problem import Problem, problem_response

QUERY_FIELDS_MAX = 32  # more than any route uses
TOO_LARGE = 'Request Entity Too Large'  # cheroot's error text for a chunked body

Handler = Callable[[HttpRequest], HttpResponse]


@runtime_checkable
class Closable(Protocol):
    """Body iterable that holds resources until it is closed."""

    def close(self) -> None:
        """Release the resources."""
        ...


class _BadRequest(ValueError):
    """Report a malformed request."""


class HandlerGateway(Gateway):
    """Pass typed requests to the handler and write its responses."""

    def respond(self) -> None:
        """Handle the request and write the response."""
        self._write_response(self._build_response())

    def _build_response(self) -> HttpResponse:
        try:
            request = self._read_request()
        except MaxSizeExceeded:
            self.req.close_connection = True
            detail = (
                f'a body of more than {self.req.server.max_request_body_size} bytes'
            )
            return self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
        except ValueError as error:
            self.req.close_connection = True
            return self._reject(HTTPStatus.BAD_REQUEST, str(error))
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

    def _reject(self, status: HTTPStatus, detail: str) -> HttpResponse:
        problem = Problem(
            status.phrase,
            status.value,
            detail,
            'http.read',
            self._peer_address(),
            ran='no',
        )
        return problem_response(problem)

    def _peer_address(self) -> str:
        return f'{self.req.conn.remote_addr}:{self.req.conn.remote_port}'

    def _read_request(self) -> HttpRequest:
        headers = {
            name.decode('latin-1').lower(): content.decode('latin-1')
            for name, content in self.req.inheaders.items()
        }
        return HttpRequest(
            self.req.method.decode('latin-1'),
            self.req.path.decode(),
            _decode_query(self.req.qs),
            headers,
            self._read_body(headers),
            self._peer_address(),
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

    def _write_response(self, response: HttpResponse) -> None:
        status = HTTPStatus(response.status)
        self.req.status = f'{status.value} {status.phrase}'.encode()
        headers = [('Content-Type', response.content_type), *response.headers]
        if isinstance(response.body, bytes):
            headers.append(('Content-Length', str(len(response.body))))
        self.req.outheaders.extend(
            (name.encode(), content.encode('latin-1', 'replace'))
            for name, content in headers
        )
        self.req.ensure_headers_sent()
        if self.req.method == b'HEAD':
            return
        if isinstance(response.body, bytes):
            self.req.write(response.body)
        else:
            self._write_chunks(response.body)

    def _write_chunks(self, chunks: Iterable[bytes]) -> None:
        with contextlib.ExitStack() as stack:
            if isinstance(chunks, Closable):
                stack.callback(chunks.close)
            for chunk in filter(None, chunks):
                self.req.write(chunk)


def _decode_query(encoded: bytes) -> dict[str, str]:
    fields = parse_qsl(
        encoded.decode('ascii'),
        keep_blank_values=True,
        errors='strict',
        max_num_fields=QUERY_FIELDS_MAX,
    )
    return dict(fields)
