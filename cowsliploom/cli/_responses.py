"""Types of the operator daemons' responses."""

from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec

from cowsliploom.cli._client import CtlResponse
from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.protocol import decode_json

ResponseT = TypeVar('ResponseT')
Fields = dict[str, Any]


@dataclass(frozen=True, slots=True)
class MoveProgress:
    """Progress of a version move."""

    status: str = ''
    generation: int = 0
    to_version: str = ''
    share: float = 0
    reason: str = ''

    def describe(self) -> str:
        """Return the progress as a short text."""
        reason = f': {self.reason}' if self.reason else ''
        return f'{self.status} at {self.share:.1%}{reason}' if self.status else ''


@dataclass(frozen=True, slots=True)
class ResourceStatus:
    """Entry VMs on which a revision is or is not in force."""

    in_force_everywhere: bool | None = None
    behind: tuple[str, ...] = ()
    behind_count: int = 0
    daemons: int = 0
    unknown: str = ''
    move: MoveProgress | None = None

    def describe(self) -> str:
        """Return the status as a short text."""
        if self.in_force_everywhere is None:
            return f'unknown: {self.unknown}'
        if self.in_force_everywhere:
            return f'in force on all {self.daemons}'
        names = ', '.join(self.behind)
        return f'{self.behind_count} of {self.daemons} behind: {names}'


@dataclass(frozen=True, slots=True)
class ResourceResponse:
    """A resource with its status."""

    kind: str
    name: str
    revision: int
    spec: Fields
    status: ResourceStatus = field(default=ResourceStatus())


@dataclass(frozen=True, slots=True)
class ResourceListResponse:
    """A list of resources at one configuration revision."""

    revision: int
    resources: tuple[ResourceResponse, ...]
    stale: bool = False


@dataclass(frozen=True, slots=True)
class ChangeResponse:
    """An accepted change."""

    change_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Status of a revision across the fleet, with the newest revision."""

    revision: int
    newest_revision: int
    status: ResourceStatus
    store_failure: str = ''


def decode_response(response: CtlResponse, response_type: type[ResponseT]) -> ResponseT:
    """Decode the body of a response.

    Raises
    ------
    CtlError
        The body does not match the type.
    """
    try:
        return decode_json(response.body, response_type)
    except msgspec.MsgspecError as error:
        raise CtlError(
            ExitCode.FAILED, str(error), 'ctl.decode', response.server
        ) from error
