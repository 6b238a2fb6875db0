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


def render_answer(
    status: int, headers: HeaderList, body: bytes, keep: bool, method: str
) -> bytes:
    """Return an answer as it is written to a caller."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines.extend(f'{name}: {header}' for name, header in headers)
    if method != 'HEAD':
        lines.append(f'Content-Length: {len(body)}')
    if not keep:
        lines.append('Connection: close')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return head if method == 'HEAD' else head + body


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
