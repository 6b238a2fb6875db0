"""Typed HTTP requests and responses for the handlers of the daemons."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; charset=utf-8'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request, read completely.

    Parameters
    ----------
    method : str
        Method in upper case.
    path : str
        Decoded path.
    query : mapping of str to str
        Decoded query fields; the last one wins if a name repeats.
    headers : mapping of str to str
        Headers by lower-case name.
    body : bytes
        Body; empty if there is none.
    peer : str
        ``host:port`` of the client.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    peer: str = ''


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One HTTP response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes or iterable of bytes
        Complete body, or chunks that are sent as they are produced. An iterable with
        a ``close`` method is closed at the end, even if the client has disconnected.
    content_type : str
        Media type of the body.
    headers : tuple of (str, str)
        Additional headers.
    """

    status: int
    body: bytes | Iterable[bytes] = b''
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()
