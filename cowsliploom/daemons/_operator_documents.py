"""JSON documents that the operator daemon sends."""

from dataclasses import dataclass

import msgspec

from cowsliploom.adapters import HttpResponse
from cowsliploom.daemons._operator_status import ResourceStatus
from cowsliploom.resources import Kind, Resource, Spec

ETAG = 'ETag'
STALE = ('Configuration-Stale', 'true')


@dataclass(frozen=True, slots=True)
class ResourceDocument:
    """A resource with its status."""

    kind: Kind
    name: str
    spec: Spec
    revision: int
    status: ResourceStatus


@dataclass(frozen=True, slots=True)
class ResourceList:
    """Resources as of one configuration revision.

    ``stale`` means that the store did not answer and the list may be out of date.
    """

    revision: int
    resources: tuple[Resource, ...]
    stale: bool = False


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """Response to a change that is stored, with its configuration revision."""

    change_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """Where a configuration revision is in force, and the newest revision."""

    revision: int
    newest_revision: int
    status: ResourceStatus
    store_failure: str = ''


@dataclass(frozen=True, slots=True)
class PutLine:
    """Report to a watcher that a resource was put."""

    revision: int
    resource: Resource
    type: str = 'put'


@dataclass(frozen=True, slots=True)
class DeleteLine:
    """Report to a watcher that a resource was deleted."""

    revision: int
    resource: Resource
    type: str = 'delete'


@dataclass(frozen=True, slots=True)
class StatusLine:
    """Report to a watcher that the status of a resource changed."""

    kind: Kind
    name: str
    revision: int
    status: ResourceStatus
    type: str = 'status'


@dataclass(frozen=True, slots=True)
class BookmarkLine:
    """Report to a watcher that it has all events up to a revision.

    Sent after each change and as a heartbeat; the watch can resume from it.
    """

    revision: int
    store_failure: str = ''
    type: str = 'bookmark'


@dataclass(frozen=True, slots=True)
class ClosingLine:
    """Report to a watcher that the stream ends, and why."""

    reason: str
    type: str = 'closing'


WatchLine = PutLine | DeleteLine | StatusLine | BookmarkLine | ClosingLine


def encode_line(line: WatchLine) -> bytes:
    """Encode one line of a watch stream."""
    return b'%b\n' % msgspec.json.encode(line)


def json_response(
    body: object, *headers: tuple[str, str], status: int = 200
) -> HttpResponse:
    """Build a JSON response."""
    return HttpResponse(status, msgspec.json.encode(body), headers=headers)


def etag_of(revision: int) -> tuple[str, str]:
    """Return the ETag header of a resource revision."""
    return (ETAG, f'"{revision}"')
