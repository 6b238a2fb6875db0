"""Parsing of requests to the operator interface."""

import re
import uuid
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import msgspec

from cowsliploom.adapters import HttpRequest
from cowsliploom.daemons._operator_stream import WatchScope
from cowsliploom.resources import (
    Change,
    InvalidResources,
    Kind,
    Resource,
    ResourceProblem,
    ResourceRef,
    decode_document,
    decode_json_documents,
    is_name,
)

REQUEST_ID_LENGTH_MAX = 128
CHANGE_ID_PATTERN = re.compile('[A-Za-z0-9._:-]{1,64}')
REVISION_PATTERN = re.compile('[0-9]{1,15}')
ETAG_PATTERN = re.compile('"([0-9]{1,15})"')


class BadField(ValueError):
    """Raised for an invalid header, query field or path part."""

    def __init__(self, name: str, got: str, expected: str) -> None:
        super().__init__(f'{name}: got {got!r}, expected {expected}')


def read_request_id(request: HttpRequest) -> str:
    """Read the request id, truncated to a limit, or generate one."""
    given = request.headers.get('request-id', '')[:REQUEST_ID_LENGTH_MAX]
    return given or str(uuid.uuid4())


def read_scope(parts: tuple[str, ...]) -> WatchScope:
    """Read kind and name from the path."""
    if not parts:
        return WatchScope()
    try:
        kind = Kind(parts[0])
    except ValueError as error:
        expected = 'one of {0}'.format(', '.join(Kind))
        raise BadField('kind', parts[0], expected) from error
    if len(parts) == 1:
        return WatchScope(kind)
    if not is_name(parts[1]):
        raise BadField('name', parts[1], 'the name of a resource')
    return WatchScope(kind, parts[1])


def read_change_id(request: HttpRequest) -> str:
    """Read the change id, or generate one if it is missing."""
    change_id = request.headers.get('change-id')
    if change_id is None:
        return str(uuid.uuid4())
    if CHANGE_ID_PATTERN.fullmatch(change_id):
        return change_id
    expected = '1 to 64 letters, digits, dots, colons, underscores or hyphens'
    raise BadField('Change-Id', change_id, expected)


def read_if_match(request: HttpRequest) -> int:
    """Read the revision that a change expects; 0 if it accepts any."""
    if 'if-none-match' in request.headers:
        raise BadField('If-None-Match', request.headers['if-none-match'], 'If-Match')
    tag = request.headers.get('if-match')
    if tag is None:
        return 0
    found = ETAG_PATTERN.fullmatch(tag.strip())
    if found is None or int(found.group(1)) == 0:
        raise BadField('If-Match', tag, 'one ETag, a revision in double quotes')
    return int(found.group(1))


def read_after_revision(request: HttpRequest) -> int | None:
    """Read the revision to resume a watch from; None to list all resources."""
    return _read_number(request, 'after_revision')


def read_revision(request: HttpRequest) -> int | None:
    """Read the revision whose status is requested; None for the newest."""
    return _read_number(request, 'revision')


def _read_number(request: HttpRequest, name: str) -> int | None:
    text = request.query.get(name)
    if text is None:
        return None
    if REVISION_PATTERN.fullmatch(text):
        return int(text)
    raise BadField(name, text, 'a revision, a non-negative integer')


def read_watch(request: HttpRequest) -> bool:
    """Return whether a GET is a watch; refuse unknown query fields."""
    for name in request.query:
        if name not in {'watch', 'after_revision'}:
            raise BadField('query', name, 'watch or after_revision')
    text = request.query.get('watch', 'false')
    if text not in {'true', 'false'}:
        raise BadField('watch', text, 'true or false')
    return text == 'true'


def read_put(request: HttpRequest, kind: Kind, name: str) -> Change:
    """Read a PUT of one resource.

    Raises
    ------
    InvalidResources
        Lists all problems of the document.
    BadField
        A header is invalid.
    """
    document = f'{kind}/{name}'
    fields = _decode_fields(request.body, document)
    for field, expected in (('kind', kind.value), ('name', name)):
        if fields.setdefault(field, expected) != expected:
            got = repr(fields[field])
            problem = ResourceProblem(
                document, field, got, f'{expected}, as in the path'
            )
            raise InvalidResources((problem,))
    resource = decode_document(fields)
    revision = read_if_match(request) or resource.revision
    return Change(read_change_id(request), (replace(resource, revision=revision),))


def read_delete(request: HttpRequest, kind: Kind, name: str) -> Change:
    """Read a DELETE of one resource."""
    ref = ResourceRef(kind, name, read_if_match(request))
    return Change(read_change_id(request), deletes=(ref,))


def read_bulk(request: HttpRequest) -> Change:
    """Read a POST of many resources, which is applied atomically."""
    resources: tuple[Resource, ...] = decode_json_documents(request.body)
    if resources:
        return Change(read_change_id(request), resources)
    problem = ResourceProblem('body', 'document', 'none', 'at least one document')
    raise InvalidResources((problem,))


def _decode_fields(body: bytes, document: str) -> dict[str, Any]:
    try:
        decoded = msgspec.json.decode(body)
    except (ValueError, RecursionError) as error:
        problem = ResourceProblem(document, 'document', str(error), 'JSON in UTF-8')
        raise InvalidResources((problem,)) from error
    if isinstance(decoded, Mapping):
        return dict(decoded)
    problem = ResourceProblem(document, 'document', 'no object', 'kind, name and spec')
    raise InvalidResources((problem,))
