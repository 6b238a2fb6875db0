"""Requests and responses as the daemons' handlers see them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; charset=utf-8'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold one request, read whole.

    Parameters
    ----------
    method : str
        Method in capitals.
    path : str
        Path, decoded.
    query : mapping of str to str
        Query fields, decoded; the last of equal names.
    headers : mapping of str to str
        Headers by name in small letters.
    body : bytes
        Body; empty when there is none.
    peer : str
        ``host:port`` of the other end.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    peer: str = ''


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold one response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes or iterable of bytes
        Whole body, or pieces that are sent as they come; an iterable with a
        ``close`` method is closed at the end, also when the other end has gone.
    content_type : str
        Media type of the body.
    headers : tuple of (str, str)
        Further headers.
    """

    status: int
    body: bytes | Iterable[bytes] = b''
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()
