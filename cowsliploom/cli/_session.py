"""Operations shared by the commands of the command-line tool."""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from http import HTTPStatus

import msgspec

from cowsliploom.cli._client import CtlRequest, CtlResponse, OperatorClient
from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.cli._output import (
    OutputForm,
    print_json,
    print_note,
    print_text,
    render_table,
)
from cowsliploom.cli._responses import (
    ChangeResponse,
    FleetStatus,
    ResourceListResponse,
    ResourceResponse,
    ResourceStatus,
    decode_response,
)
from cowsliploom.cli._watching import (
    DeleteEvent,
    PutEvent,
    StatusEvent,
    StoreEvent,
    StreamInterrupted,
    Watcher,
    WatchEvent,
)
from cowsliploom.ports import Clock
from cowsliploom.resources import Kind

MS_PER_S = 1000
RESOURCES_PATH = '/v1/resources'
STATUS_PATH = '/v1/status'
JSON_HEADERS = {'Content-Type': 'application/json'}  # noqa: WPS407
RESOURCE_COLUMNS = ('KIND', 'NAME', 'REVISION', 'IN FORCE', 'MOVE')
LIST_COLUMNS = ('KIND', 'NAME', 'REVISION')


def pause(wait_ms: float) -> None:
    """Sleep for the given time, in milliseconds."""
    threading.Event().wait(wait_ms / MS_PER_S)


@dataclass(frozen=True, slots=True)
class Target:
    """Selection of resources; empty parts match all."""

    kind: Kind | None = None
    name: str = ''

    @property
    def path(self) -> str:
        """Return the URL path of the resources."""
        parts = (RESOURCES_PATH, self.kind, self.name)
        return '/'.join(part for part in parts if part)


class Session:
    """Execute commands through the operator daemons.

    Parameters
    ----------
    client : OperatorClient
        Client of the operator daemons.
    clock : Clock
        Clock for timeouts.
    form : OutputForm
        Output format.
    """

    def __init__(self, client: OperatorClient, clock: Clock, form: OutputForm) -> None:
        self.client = client
        self.clock = clock
        self.form = form

    def change(self, request: CtlRequest, change_id: str) -> None:
        """Send a change and print the revision at which it was accepted."""
        headers = {**request.headers, **JSON_HEADERS, 'Change-Id': change_id}
        try:
            response = self.client.send(replace(request, headers=headers))
        except CtlError as error:
            if error.code is ExitCode.MAYBE_APPLIED:
                raise _with_retry_hint(error, change_id) from error
            raise
        accepted = decode_response(response, ChangeResponse)
        if self.form is OutputForm.JSON:
            print_json(accepted)
        else:
            print_text(f'accepted at revision {accepted.revision}')

    def show(self, target: Target) -> None:
        """Print a resource with its status, or a list of resources."""
        response = self.client.send(CtlRequest('GET', target.path))
        _print_stale_note(response)
        if self.form is OutputForm.JSON:
            print_text(response.body.decode())
        elif target.name:
            print_text(_describe(decode_response(response, ResourceResponse)))
        else:
            print_text(_describe_list(decode_response(response, ResourceListResponse)))

    def read_fleet(self, revision: int | None) -> FleetStatus:
        """Return the fleet status of a revision; the newest if None."""
        query = '' if revision is None else f'?revision={revision}'
        response = self.client.send(CtlRequest('GET', f'{STATUS_PATH}{query}'))
        return decode_response(response, FleetStatus)

    def show_fleet(self, fleet: FleetStatus) -> None:
        """Print the fleet status of a revision."""
        if self.form is OutputForm.JSON:
            print_json(fleet)
            return
        head = ('REVISION', 'NEWEST', 'IN FORCE', 'STORE')
        store = fleet.store_failure or 'answers'
        row = (fleet.revision, fleet.newest_revision, fleet.status.describe(), store)
        print_text(render_table(head, [row]))

    def watch(self, target: Target, timeout_ms: float) -> Iterable[WatchEvent]:
        """Return the events of a watch until the timeout."""
        watcher = Watcher(self.client, target.path, self.clock, pause)
        return watcher.events(self.clock.now_ms() + timeout_ms)

    def show_event(self, event: WatchEvent) -> None:
        """Print an event; events of the watch itself go to standard error."""
        match event:
            case StreamInterrupted(server, reason):
                print_note(f'watch on {server} interrupted, reconnecting: {reason}')
            case StoreEvent(failure):
                state = f'does not answer: {failure}' if failure else 'answers again'
                print_note(f'the store {state}')
            case PutEvent() | DeleteEvent() | StatusEvent():
                self._show_change(event)

    def _show_change(self, event: PutEvent | DeleteEvent | StatusEvent) -> None:
        if self.form is OutputForm.JSON:
            print_json(event)
            return
        line = f'{event.event:8}{event.kind}/{event.name} at revision {event.revision}'
        if isinstance(event, StatusEvent):
            line = f'{line}: {_describe_status(event.status)}'
        print_text(line)


def _with_retry_hint(error: CtlError, change_id: str) -> CtlError:
    message = (
        f'{error.message}\nThe change may have been applied. To find out, and to apply '
        + f'it if it was not, run the same command with --change-id {change_id}'
    )
    return CtlError(error.code, message, error.step, error.peer)


def _print_stale_note(response: CtlResponse) -> None:
    if response.headers.get('Configuration-Stale') == 'true':
        print_note('the store does not answer; this may be out of date')


def _describe(resource: ResourceResponse) -> str:
    status = resource.status
    move = status.move.describe() if status.move else ''
    row = (resource.kind, resource.name, resource.revision, status.describe(), move)
    return render_table(RESOURCE_COLUMNS, [row])


def _describe_list(shown: ResourceListResponse) -> str:
    rows = [
        (resource.kind, resource.name, resource.revision)
        for resource in shown.resources
    ]
    return (
        f'{render_table(LIST_COLUMNS, rows)}\nconfiguration revision {shown.revision}'
    )


def _describe_status(status: Mapping[str, object]) -> str:
    body = msgspec.json.encode(status)
    shown = decode_response(CtlResponse('', HTTPStatus.OK, {}, body), ResourceStatus)
    move = shown.move.describe() if shown.move else ''
    return '; '.join(filter(None, (shown.describe(), move)))
