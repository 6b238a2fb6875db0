"""Bytes of answers, and of heads that are parsed again."""

import httptools

from cowsliploom.dataplane._sockets import HeaderList

REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    408: 'Request Timeout',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def render_head(
    status: int, headers: HeaderList, length_bytes: int | None, keep: bool
) -> bytes:
    """Return the head of an answer as it is written to a caller.

    Parameters
    ----------
    status : int
        Its status.
    headers : list of (str, str)
        Its headers, without those on the connection.
    length_bytes : int or None
        Length of the body that follows; None if there is none, as to ``HEAD``.
    keep : bool
        Whether the connection stays open.
    """
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines.extend(f'{name}: {header}' for name, header in headers)
    if length_bytes is not None:
        lines.append(f'Content-Length: {length_bytes}')
    if not keep:
        lines.append('Connection: close')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1')


def head_without_offer(
    parser: httptools.HttpRequestParser, target: bytes, headers: HeaderList
) -> bytes:
    """Return the head of a request without the protocols that it offers.

    Parameters
    ----------
    parser : httptools.HttpRequestParser
        Parser that has read the head.
    target : bytes
        Target of the request.
    headers : list of (str, str)
        All its headers.
    """
    version = parser.get_http_version().encode()
    lines = [b'%b %b HTTP/%b' % (parser.get_method(), target, version)]
    lines.extend(
        f'{name}: {header}'.encode('latin-1')
        for name, header in headers
        if name.lower() != 'upgrade'
    )
    return b'\r\n'.join((*lines, b'', b''))
