"""What the commands of the command-line tool share."""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from http import HTTPStatus

import msgspec

from cowsliploom.cli._answers import (
    ChangeShown,
    FleetShown,
    ListShown,
    ResourceShown,
    StatusShown,
    read_answer,
)
from cowsliploom.cli._client import CtlAnswer, CtlRequest, OperatorClient
from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.cli._output import (
    OutputForm,
    print_json,
    print_note,
    print_text,
    render_table,
)
from cowsliploom.cli._watching import (
    DeleteSeen,
    PutSeen,
    StatusSeen,
    StoreSeen,
    StreamBroken,
    WatchEvent,
    Watcher,
)
from cowsliploom.ports import Clock
from cowsliploom.resources import Kind

MS_PER_S = 1000
RESOURCES_PATH = '/v1/resources'
STATUS_PATH = '/v1/status'
JSON_HEADERS = {'Content-Type': 'application/json'}  # noqa: WPS407
RESOURCE_HEAD = ('KIND', 'NAME', 'REVISION', 'IN FORCE', 'MOVE')
LIST_HEAD = ('KIND', 'NAME', 'REVISION')


def pause(wait_ms: float) -> None:
    """Wait some milliseconds."""
    threading.Event().wait(wait_ms / MS_PER_S)


@dataclass(frozen=True, slots=True)
class Target:
    """Name the resources that a command is about; empty parts mean all."""

    kind: Kind | None = None
    name: str = ''

    @property
    def path(self) -> str:
        """Return the path of the resources."""
        parts = (RESOURCES_PATH, self.kind, self.name)
        return '/'.join(part for part in parts if part)


class Session:
    """Carry out commands against the operator daemons.

    Parameters
    ----------
    client : OperatorClient
        Asks the daemons.
    clock : Clock
        Clock for time limits.
    form : OutputForm
        Form of the output.
    """

    def __init__(self, client: OperatorClient, clock: Clock, form: OutputForm) -> None:
        self.client = client
        self.clock = clock
        self.form = form

    def change(self, request: CtlRequest, change_id: str) -> None:
        """Send a change, and say at which revision it was accepted."""
        headers = {**request.headers, **JSON_HEADERS, 'Change-Id': change_id}
        try:
            answer = self.client.ask(replace(request, headers=headers))
        except CtlError as error:
            if error.code is ExitCode.MAYBE_APPLIED:
                raise _ask_again(error, change_id) from error
            raise
        accepted = read_answer(answer, ChangeShown)
        if self.form is OutputForm.JSON:
            print_json(accepted)
        else:
            print_text(f'accepted at revision {accepted.revision}')

    def show(self, target: Target) -> None:
        """Show a resource with its status, or a list of resources."""
        answer = self.client.ask(CtlRequest('GET', target.path))
        _note_stale(answer)
        if self.form is OutputForm.JSON:
            print_text(answer.body.decode())
        elif target.name:
            print_text(_describe(read_answer(answer, ResourceShown)))
        else:
            print_text(_describe_list(read_answer(answer, ListShown)))

    def read_fleet(self, revision: int | None) -> FleetShown:
        """Return where a revision is in force; the newest when none is given."""
        query = '' if revision is None else f'?revision={revision}'
        answer = self.client.ask(CtlRequest('GET', f'{STATUS_PATH}{query}'))
        return read_answer(answer, FleetShown)

    def show_fleet(self, fleet: FleetShown) -> None:
        """Show where a revision is in force."""
        if self.form is OutputForm.JSON:
            print_json(fleet)
            return
        head = ('REVISION', 'NEWEST', 'IN FORCE', 'STORE')
        store = fleet.store_failure or 'answers'
        row = (fleet.revision, fleet.newest_revision, fleet.status.describe(), store)
        print_text(render_table(head, [row]))

    def watch(self, target: Target, timeout_ms: float) -> Iterable[WatchEvent]:
        """Return the events of a watch until the time is up."""
        watcher = Watcher(self.client, target.path, self.clock, pause)
        return watcher.events(self.clock.now_ms() + timeout_ms)

    def show_event(self, event: WatchEvent) -> None:
        """Show one event; what concerns the watch itself is a note."""
        match event:
            case StreamBroken(server, reason):
                print_note(f'watch goes on elsewhere than {server}: {reason}')
            case StoreSeen(failure):
                told = f'does not answer: {failure}' if failure else 'answers again'
                print_note(f'the store {told}')
            case PutSeen() | DeleteSeen() | StatusSeen():
                self._show_change(event)

    def _show_change(self, event: PutSeen | DeleteSeen | StatusSeen) -> None:
        if self.form is OutputForm.JSON:
            print_json(event)
            return
        line = f'{event.event:8}{event.kind}/{event.name} at revision {event.revision}'
        if isinstance(event, StatusSeen):
            line = f'{line}: {_describe_status(event.status)}'
        print_text(line)


def _ask_again(error: CtlError, change_id: str) -> CtlError:
    sentence = (
        f'{error.sentence}\nThe change may have been applied. To learn, and to apply '
        + f'it if it was not, run the same command with --change-id {change_id}'
    )
    return CtlError(error.code, sentence, error.step, error.peer)


def _note_stale(answer: CtlAnswer) -> None:
    if answer.headers.get('Configuration-Stale') == 'true':
        print_note('the store does not answer; this may be out of date')


def _describe(resource: ResourceShown) -> str:
    status = resource.status
    move = status.move.describe() if status.move else ''
    row = (resource.kind, resource.name, resource.revision, status.describe(), move)
    return render_table(RESOURCE_HEAD, [row])


def _describe_list(shown: ListShown) -> str:
    rows = [(each.kind, each.name, each.revision) for each in shown.resources]
    return f'{render_table(LIST_HEAD, rows)}\nconfiguration revision {shown.revision}'


def _describe_status(status: Mapping[str, object]) -> str:
    body = msgspec.json.encode(status)
    shown = read_answer(CtlAnswer('', HTTPStatus.OK, {}, body), StatusShown)
    move = shown.move.describe() if shown.move else ''
    return '; '.join(filter(None, (shown.describe(), move)))
