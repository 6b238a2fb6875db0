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
    """Hold a resource with its status."""

    kind: Kind
    name: str
    spec: Spec
    revision: int
    status: ResourceStatus


@dataclass(frozen=True, slots=True)
class ResourceList:
    """Hold resources as of one configuration revision.

    ``stale`` tells that the store did not answer and the list may be out of date.
    """

    revision: int
    resources: tuple[Resource, ...]
    stale: bool = False


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """Tell that a change is in the store, as of a configuration revision."""

    change_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """Tell where a configuration revision is in force, and which is the newest."""

    revision: int
    newest_revision: int
    status: ResourceStatus
    store_failure: str = ''


@dataclass(frozen=True, slots=True)
class PutLine:
    """Tell a watcher that a resource was put."""

    revision: int
    resource: Resource
    type: str = 'put'


@dataclass(frozen=True, slots=True)
class DeleteLine:
    """Tell a watcher that a resource was deleted."""

    revision: int
    resource: Resource
    type: str = 'delete'


@dataclass(frozen=True, slots=True)
class StatusLine:
    """Tell a watcher that a resource's status changed."""

    kind: Kind
    name: str
    revision: int
    status: ResourceStatus
    type: str = 'status'


@dataclass(frozen=True, slots=True)
class BookmarkLine:
    """Tell a watcher that it has all events up to a revision.

    Sent after each change and as a heartbeat; the place to resume from.
    """

    revision: int
    store_failure: str = ''
    type: str = 'bookmark'


@dataclass(frozen=True, slots=True)
class ClosingLine:
    """Tell a watcher to go on elsewhere, from the last bookmark."""

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
    """Return the header that names a resource's revision."""
    return (ETAG, f'"{revision}"')
