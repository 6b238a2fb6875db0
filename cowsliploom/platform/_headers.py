"""Headers on the platform's wire, for callers and for backend servers."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from cowsliploom.dataplane import HeaderList, HttpAnswer
from cowsliploom.forwarding import (
    BackendAnswer,
    CallerRequest,
    MergedAnswer,
    Headers,
    LoadReport,
    Outcome,
    ErrorReply,
)

REQUEST_ID = 'request-id'
PATIENCE = 'deadline'  # a time span in ms, not a moment
TARGET = 'target-instance'
SIGNATURE = 'response-signature'
LOAD = 'server-load'  # running, waiting, slots
NOT_RUN = 'not-executed'
MS_PER_S = 1000
WRONG_SERVER = 421
ENCODED = 'content-encoding'
PATIENCE_MAX_MS = 600_000.0

# Headers that concern one connection, or that are set anew.
OF_CONNECTION = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
SET_ANEW = OF_CONNECTION | {PATIENCE, TARGET, 'host'}


@dataclass(frozen=True, slots=True)
class WireReply:
    """Hold an answer to a caller as it is written."""

    status: int
    headers: HeaderList
    body: bytes


def read_request(
    method: str,
    target: str,
    headers: HeaderList,
    body: bytes,
    arrived_ms: float,
    path_ms: float = 0,
) -> CallerRequest:
    """Decode a caller's request.

    Parameters
    ----------
    method, target : str
        Request line.
    headers : list of (str, str)
        All headers as they came.
    body : bytes
        Whole body.
    arrived_ms : float
        When the last byte was read.
    path_ms : float
        What the way from and to the caller takes of its time. Default 0.
    """
    marks = {name.lower(): header for name, header in headers}
    return CallerRequest(
        marks.get(REQUEST_ID, ''),
        method,
        marks.get('host', ''),
        target,
        _passed(headers, SET_ANEW),
        body,
        arrived_ms,
        _patience(marks.get(PATIENCE, '')),
        path_ms,
    )


def read_request_id(headers: HeaderList) -> str:
    """Return the caller's id of a request; empty without one."""
    marks = {name.lower(): header for name, header in headers}
    return marks.get(REQUEST_ID, '')


def render_call_head(request: CallerRequest) -> str:
    """Return what all calls of a request begin with."""
    lines = [f'{request.method} {request.target} HTTP/1.1', f'Host: {request.host}']
    lines.extend(f'{name}: {header}' for name, header in request.headers)
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'Content-Length: {len(request.body)}')
    return '\r\n'.join(lines)


def render_call(head: str, body: bytes, server_name: str, patience_ms: float) -> bytes:
    """Return a request as it is sent to a backend server.

    Parameters
    ----------
    head : str
        What all calls of the request begin with.
    body : bytes
        Body of the request.
    server_name : str
        Incarnation of the server that is meant.
    patience_ms : float
        Time that the server has.
    """
    own = f'Deadline: {max(1, int(patience_ms))}\r\nTarget-Instance: {server_name}'
    return f'{head}\r\n{own}\r\n\r\n'.encode('latin-1') + body


def is_answer_to(request_id: str, answer: HttpAnswer) -> bool:
    """Tell whether an answer belongs to a request; one without an id does."""
    for name, header in answer.headers:
        if name.lower() == REQUEST_ID:
            return header == request_id
    return True


def read_answer(answer: HttpAnswer) -> BackendAnswer:
    """Decode a backend server's answer."""
    marks = {name.lower(): header for name, header in answer.headers}
    wrong_server = answer.status == WRONG_SERVER
    return BackendAnswer(
        status=answer.status,
        headers=tuple(answer.headers),
        body=answer.body,
        signature=marks.get(SIGNATURE, ''),
        ran=not (wrong_server or NOT_RUN in marks),
        wrong_server=wrong_server,
        load=_load(marks.get(LOAD, '')),
        is_encoded=ENCODED in marks,
    )


def render_forwarded(answer: BackendAnswer) -> WireReply:
    """Return a backend server's answer as the caller gets it."""
    headers = list(_passed(answer.headers, OF_CONNECTION))
    return WireReply(answer.status, headers, answer.body)


def render_merged(request_id: str, gathered: MergedAnswer) -> WireReply:
    """Return an answer made of parts."""
    headers = [
        ('Request-Id', request_id),
        ('Part-Stamps', ', '.join(gathered.signatures)),
        ('Missing-Parts', str(gathered.missing)),
    ]
    return WireReply(200, headers, gathered.body)


def render_error(request_id: str, turned: ErrorReply) -> WireReply:
    """Return the end of a request without a result."""
    status = {
        Outcome.NO_ROUTE: 404,
        Outcome.REFUSED: 503,
        Outcome.TIMED_OUT: 504,
    }.get(turned.outcome, 502)
    headers = [('Request-Id', request_id), ('Content-Type', 'text/plain')]
    if turned.retry_after_ms:
        headers.append(('Retry-After', f'{turned.retry_after_ms / MS_PER_S:.3f}'))
    return WireReply(status, headers, f'{turned.reason}\n'.encode())


def _passed(headers: Iterable[tuple[str, str]], left_out: frozenset[str]) -> Headers:
    """Return the headers that concern more than this connection."""
    own = left_out | _named_by_connection(headers)
    return tuple((name, header) for name, header in headers if name.lower() not in own)


def _named_by_connection(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the headers that ``Connection`` names as its own."""
    named = (
        header.lower().split(',')
        for name, header in headers
        if name.lower() == 'connection'
    )
    return frozenset(key.strip() for keys in named for key in keys)


def _patience(header: str) -> float:
    try:
        patience_ms = float(header)
    except ValueError:
        return PATIENCE_MAX_MS
    if math.isnan(patience_ms):
        return PATIENCE_MAX_MS
    return min(max(patience_ms, 0), PATIENCE_MAX_MS)


def _load(header: str) -> LoadReport | None:
    """Decode a report of load; None when it can't be read."""
    pieces = [piece.strip() for piece in header.split(',')]
    if len(pieces) != 3 or not all(piece.isdecimal() for piece in pieces):
        return None
    running, waiting, slots = (int(piece) for piece in pieces)
    return LoadReport(running, waiting, slots)
