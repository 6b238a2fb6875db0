"""HTTP headers of the platform, for callers and for backend servers."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from cowsliploom.dataplane import AnswerOrigin, HeaderList, HttpAnswer, parse_count
from cowsliploom.forwarding import (
    NO_WORKSPACE,
    BackendAnswer,
    CallerRequest,
    ErrorReply,
    Headers,
    LoadReport,
    MergedAnswer,
    Outcome,
    Workspace,
)

REQUEST_ID = 'request-id'
TIMEOUT = 'deadline'  # the time left in ms, not a point in time
TARGET = 'target-instance'
SIGNATURE = 'response-signature'
LOAD = 'server-load'  # running, waiting, slots, and speed of the machine
LOAD_FIGURES = (3, 4)
NOT_RUN = 'not-executed'
KEY = 'key'  # identifies a caller's workspace
WORKSPACE = 'tenant'
MS_PER_S = 1000
WRONG_SERVER = 421
ENCODED = 'content-encoding'
TIMEOUT_MAX_MS = 600_000.0

# Headers of one connection, and those that each forwarding sets itself.
HOP_BY_HOP = frozenset(
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
REPLACED = HOP_BY_HOP | {TIMEOUT, TARGET, 'host'}
REPLACED_WITH_WORKSPACES = REPLACED | {KEY, WORKSPACE}


@dataclass(frozen=True, slots=True)
class WireReply:
    """Answer to a caller, as it is written."""

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
    has_workspaces: bool = False,
) -> CallerRequest:
    """Decode a caller's request.

    Parameters
    ----------
    method, target : str
        Request line.
    headers : list of (str, str)
        All headers as received.
    body : bytes
        Complete body.
    arrived_ms : float
        Time at which the last byte was read.
    path_ms : float
        Network time to and from the caller, part of its timeout. Default 0.
    has_workspaces : bool
        Whether callers identify themselves by keys, which are not forwarded. Default
        False.
    """
    by_name = {name.lower(): header for name, header in headers}
    return CallerRequest(
        by_name.get(REQUEST_ID, ''),
        method,
        by_name.get('host', ''),
        target,
        _end_to_end_headers(
            headers, REPLACED_WITH_WORKSPACES if has_workspaces else REPLACED
        ),
        body,
        arrived_ms,
        _parse_timeout(by_name.get(TIMEOUT, '')),
        path_ms,
        _read_key(headers) if has_workspaces else '',
    )


def read_request_id(headers: HeaderList) -> str:
    """Return the request id that the caller set; empty without one."""
    by_name = {name.lower(): header for name, header in headers}
    return by_name.get(REQUEST_ID, '')


def _read_key(headers: HeaderList) -> str:
    """Return the caller's key; empty for none, or for several."""
    keys = [header for name, header in headers if name.lower() == KEY]
    return keys[0] if len(keys) == 1 else ''


def render_call_head(
    request: CallerRequest, workspace: Workspace = NO_WORKSPACE
) -> str:
    """Return the head that all calls of a request share."""
    lines = [f'{request.method} {request.target} HTTP/1.1', f'Host: {request.host}']
    lines.extend(f'{name}: {header}' for name, header in request.headers)
    if workspace.name:
        lines.append(f'Tenant: {workspace.name}')
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'Content-Length: {len(request.body)}')
    return '\r\n'.join(lines)


def render_call(head: str, server_name: str, timeout_ms: float) -> bytes:
    """Return the head of a request as it is sent to a backend server.

    Parameters
    ----------
    head : str
        Head that all calls of the request share.
    server_name : str
        Incarnation of the server that is to answer.
    timeout_ms : float
        Time that the server has left.
    """
    call_headers = (
        f'Deadline: {max(1, int(timeout_ms))}\r\nTarget-Instance: {server_name}'
    )
    return f'{head}\r\n{call_headers}\r\n\r\n'.encode('latin-1')


def answer_origin(request_id: str, answer: HttpAnswer) -> AnswerOrigin:
    """Return whether an answer names a request, another one or none."""
    for name, header in answer.headers:
        if name.lower() == REQUEST_ID:
            is_same = header == request_id
            return AnswerOrigin.THIS_CALL if is_same else AnswerOrigin.OTHER_CALL
    return AnswerOrigin.UNNAMED


def read_answer(answer: HttpAnswer) -> BackendAnswer:
    """Decode the answer of a backend server."""
    by_name = {name.lower(): header for name, header in answer.headers}
    wrong_server = answer.status == WRONG_SERVER
    return BackendAnswer(
        status=answer.status,
        headers=tuple(answer.headers),
        body=answer.body,
        signature=by_name.get(SIGNATURE, ''),
        ran=not (wrong_server or NOT_RUN in by_name),
        wrong_server=wrong_server,
        load=_parse_load(by_name.get(LOAD, '')),
        is_encoded=ENCODED in by_name,
    )


def render_forwarded(answer: BackendAnswer) -> WireReply:
    """Return the answer of a backend server as forwarded to the caller."""
    headers = list(_end_to_end_headers(answer.headers, HOP_BY_HOP))
    return WireReply(answer.status, headers, answer.body)


def render_merged(request_id: str, merged: MergedAnswer) -> WireReply:
    """Return an answer merged from the parts of several shards."""
    headers = [
        ('Request-Id', request_id),
        ('Part-Stamps', ', '.join(merged.signatures)),
        ('Missing-Parts', str(merged.missing)),
    ]
    return WireReply(200, headers, merged.body)


def render_error(request_id: str, error: ErrorReply) -> WireReply:
    """Return the error answer of a request without a result."""
    status = {
        Outcome.NO_ROUTE: 404,
        Outcome.NO_KEY: 401,
        Outcome.NOT_ALLOWED: 403,
        Outcome.REFUSED: 503,
        Outcome.TIMED_OUT: 504,
    }.get(error.outcome, 502)
    headers = [('Request-Id', request_id), ('Content-Type', 'text/plain')]
    if error.retry_after_ms:
        headers.append(('Retry-After', f'{error.retry_after_ms / MS_PER_S:.3f}'))
    return WireReply(status, headers, f'{error.reason}\n'.encode())


def _end_to_end_headers(
    headers: Iterable[tuple[str, str]], excluded: frozenset[str]
) -> Headers:
    """Return the headers that concern more than one connection."""
    dropped = excluded | _connection_options(headers)
    return tuple(
        (name, header) for name, header in headers if name.lower() not in dropped
    )


def _connection_options(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the names that the ``Connection`` headers list."""
    options = (
        header.lower().split(',')
        for name, header in headers
        if name.lower() == 'connection'
    )
    return frozenset(key.strip() for keys in options for key in keys)


def _parse_timeout(header: str) -> float:
    try:
        timeout_ms = float(header)
    except ValueError:
        return TIMEOUT_MAX_MS
    if math.isnan(timeout_ms):
        return TIMEOUT_MAX_MS
    return min(max(timeout_ms, 0), TIMEOUT_MAX_MS)


def _parse_load(header: str) -> LoadReport | None:
    """Decode a load report of three or four figures; None if it is invalid."""
    counts = [parse_count(field.strip()) for field in header.split(',')]
    known = [count for count in counts if count is not None]
    if len(counts) not in LOAD_FIGURES or len(known) != len(counts):
        return None
    return LoadReport(*known)
