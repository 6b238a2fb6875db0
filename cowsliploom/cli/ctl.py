"""Commands of cowsliploomctl, the operators' command-line tool."""

import pathlib
from typing import Any

import click
from click.shell_completion import get_completion_class

from cowsliploom.adapters import SystemClock
from cowsliploom.cli._client import CtlRequest, OperatorClient
from cowsliploom.cli._documents import (
    check_target,
    encode_documents,
    new_change_id,
    read_files,
)
from cowsliploom.cli._errors import CtlError
from cowsliploom.cli._explain import explain, render_trace
from cowsliploom.cli._output import OutputForm, print_json, print_note, print_text
from cowsliploom.cli._session import RESOURCES_PATH, Session, Target, pause
from cowsliploom.cli._waiting import wait_for_move, wait_for_revision
from cowsliploom.cli._where import ask_where, render_where
from cowsliploom.daemons._settings import SettingsChecker
from cowsliploom.resources import Kind

PROGRAM = 'cowsliploomctl'
UNLIMITED_MS = 10.0 * 365 * 86_400_000  # a watch without a time limit


class CtlGroup(click.Group):
    """Command group that reports errors as messages and exit statuses."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run a command and report its error, if any."""
        try:
            return super().invoke(ctx)
        except CtlError as error:
            print_note(f'error: {error}')
            ctx.exit(error.code)


@click.group(
    cls=CtlGroup,
    context_settings={
        'auto_envvar_prefix': 'COWSLIPLOOMCTL',
        'show_default': True,
        'max_content_width': 88,
    },
)
@click.option(
    '--server',
    multiple=True,
    default=('127.0.0.1:8081',),
    metavar='HOST:PORT',
    help='Operator daemon; may be repeated, the next one is asked when one fails.',
)
@click.option(
    '--output',
    type=click.Choice([form.value for form in OutputForm]),
    default=OutputForm.TABLE.value,
    help='Form of the output.',
)
@click.option(
    '--timeout-ms',
    default='30000',
    metavar='MS',
    help='Time limit of a request over all servers, in milliseconds.',
)
@click.option(
    '--attempt-timeout-ms',
    default='13000',
    metavar='MS',
    help='Time limit of one attempt at one server, in milliseconds.',
)
@click.pass_context
def main(
    ctx: click.Context,
    server: tuple[str, ...],
    output: str,
    timeout_ms: str,
    attempt_timeout_ms: str,
) -> None:
    """Declare services, searches, version moves and data centres, and follow them.

    Flags can be set in the environment as COWSLIPLOOMCTL_FLAG_NAME.

    \b
    Exit status:
      0  done
      1  failed
      2  wrong command line
      3  a document or reference is not valid; nothing was changed
      4  the resource does not exist
      5  another change came first; nothing was changed
      6  no operator daemon could carry it out; nothing was changed
      7  the change may have been applied; ask again with its --change-id
      8  the version move was rolled back
      9  a wait timed out
    """
    checker = SettingsChecker()
    clock = SystemClock()
    client = OperatorClient(
        checker.check_addresses('--server', server),
        clock,
        pause,
        checker.check_positive_ms('--timeout-ms', timeout_ms),
        checker.check_positive_ms('--attempt-timeout-ms', attempt_timeout_ms),
    )
    checker.raise_problems()
    ctx.obj = Session(client, clock, OutputForm(output))


@main.command()
@click.option(
    '--file',
    '-f',
    'files',
    multiple=True,
    required=True,
    type=click.Path(allow_dash=True, dir_okay=False),
    help='YAML or JSON documents; - is standard input; may be repeated.',
)
@click.option('--change-id', default='', help='Identity of a change to ask again.')
@click.pass_obj
def apply(session: Session, files: tuple[str, ...], change_id: str) -> None:
    """Apply all documents of the files, or none if any is invalid.

    A document with a revision is applied only if the resource still has it.
    """
    body = encode_documents(read_files(files))
    request = CtlRequest('POST', RESOURCES_PATH, body)
    session.change(request, change_id or new_change_id())


@main.command('get')
@click.argument('target', required=False, metavar='[KIND[/NAME]]')
@click.pass_obj
def show(session: Session, target: str | None) -> None:
    """Show one resource with its status, or a list."""
    session.show(_read_target(target))


@main.command()
@click.argument('target', metavar='KIND/NAME')
@click.option(
    '--revision',
    type=click.IntRange(min=1),
    help='Delete only if the resource still has this revision.',
)
@click.option('--change-id', default='', help='Identity of a change to ask again.')
@click.pass_obj
def delete(session: Session, target: str, revision: int | None, change_id: str) -> None:
    """Delete one resource."""
    selection = _read_target(target)
    if not selection.name:
        raise click.UsageError(f'got {target!r}, expected KIND/NAME')
    headers = {} if revision is None else {'If-Match': f'"{revision}"'}
    request = CtlRequest('DELETE', selection.path, headers=headers)
    session.change(request, change_id or new_change_id())


@main.command()
@click.argument('target', required=False, metavar='[KIND[/NAME]]')
@click.option(
    '--for-ms',
    type=click.FloatRange(min=1),
    help='Stop after this time, in milliseconds; without it, never.',
)
@click.pass_obj
def watch(session: Session, target: str | None, for_ms: float | None) -> None:
    """Show resources and then each change; reconnects when interrupted."""
    for event in session.watch(_read_target(target), for_ms or UNLIMITED_MS):
        session.show_event(event)


@main.command()
@click.option(
    '--revision',
    type=click.IntRange(min=0),
    help='Configuration revision; the newest when left out.',
)
@click.pass_obj
def status(session: Session, revision: int | None) -> None:
    """Show where a configuration revision is in force or still pending."""
    session.show_fleet(session.read_fleet(revision))


@main.group()
def wait() -> None:
    """Wait until a revision is in force, or a version move has ended."""


@wait.command('revision')
@click.argument('revision', required=False, type=click.IntRange(min=0))
@click.option(
    '--for-ms',
    type=click.FloatRange(min=1),
    default=60_000,
    help='Time limit, in milliseconds.',
)
@click.pass_obj
def wait_revision(session: Session, revision: int | None, for_ms: float) -> None:
    """Wait until a revision, or the newest, is in force on every live entry VM."""
    session.show_fleet(wait_for_revision(session, revision, for_ms))


@wait.command('move')
@click.argument('name')
@click.option(
    '--for-ms',
    type=click.FloatRange(min=1),
    default=3_600_000,
    help='Time limit, in milliseconds.',
)
@click.pass_obj
def wait_move(session: Session, name: str, for_ms: float) -> None:
    """Wait until a version move is finished or rolled back."""
    target = Target(Kind.VERSION_MOVE, check_target(f'versionmove/{name}')[1])
    wait_for_move(session, session.watch(target, for_ms))


@main.command('explain')
@click.argument('request_id')
@click.argument(
    'logs', nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
@click.pass_obj
def explain_request(
    session: Session, request_id: str, logs: tuple[pathlib.Path, ...]
) -> None:
    """Show from log files how a request ended and the state at that time."""
    for trace in explain(request_id, logs):
        if session.form is OutputForm.JSON:
            print_json(trace)
        else:
            print_text(render_trace(trace))


@main.command('where')
@click.argument('method')
@click.argument('url')
@click.option('--vm', required=True, help='Control address of a running entry VM.')
@click.option('--header', multiple=True, help='NAME: TEXT; may be repeated.')
@click.pass_obj
def show_where(
    session: Session, method: str, url: str, vm: str, header: tuple[str, ...]
) -> None:
    """Show where a request would go now, and why, without sending it."""
    answer = ask_where(vm, method, url, header)
    if session.form is OutputForm.JSON:
        print_json(answer)
    else:
        print_text(render_where(answer))


@main.command()
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
def completion(shell: str) -> None:
    """Print the completion script of a shell.

    For bash: eval "$(cowsliploomctl completion bash)"
    """
    completion_class = get_completion_class(shell)
    if completion_class is not None:
        script = completion_class(main, {}, PROGRAM, '_COWSLIPLOOMCTL_COMPLETE')
        click.echo(script.source())


def _read_target(text: str | None) -> Target:
    if text is None:
        return Target()
    kind, name = check_target(text)
    return Target(kind, name)
