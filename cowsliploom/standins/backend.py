"""Command that runs backend server stand-ins."""

import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import click
import msgspec

from cowsliploom.adapters import SystemClock
from cowsliploom.standins._backend import MS_PER_S, Backend
from cowsliploom.standins._http import (
    ListenError,
    NamedAddress,
    print_ready_line,
    split_address,
    wait_for_signal,
)
from cowsliploom.standins._server_settings import ServerSettings, parse_snapshot
from cowsliploom.standins._strict_decoding import convert_strictly

POLL_S = 0.02
EXIT_USAGE = 2
COUNTS = ('slots', 'connections_max', 'cold_allowance', 'cold_step_calls')
FLOAT_SUFFIXES = ('-ms', '-sigma')


def read_settings_file(path: Path) -> list[ServerSettings]:
    """Read a YAML or JSON list of server settings."""
    raw = msgspec.yaml.decode(path.read_bytes())
    settings = convert_strictly(raw, list[ServerSettings])
    if not settings:
        raise ValueError(
            'servers-file: got an empty list, expected at least one server'
        )
    return settings


def check_settings(settings: Sequence[ServerSettings]) -> None:
    """Raise ``ValueError`` for the first invalid value."""
    for each in settings:
        split_address(each.listen)
        for name in COUNTS:
            count = getattr(each, name)
            if count < 1:
                raise ValueError(f'{name}: got {count}, expected at least 1')


def drain(backends: Sequence[Backend]) -> None:
    """Leave, then wait until the grace period is over and all servers are idle."""
    for backend in backends:
        backend.leave()
    grace_ms = max(each.settings.leaving_grace_ms for each in backends)
    time.sleep(grace_ms / MS_PER_S)
    while not all(each.idle() for each in backends):
        time.sleep(POLL_S)


@contextmanager
def serve_all(backends: Sequence[Backend]) -> Iterator[None]:
    """Serve on all addresses; stop concurrently, since each stop takes a while."""
    try:
        for backend in backends:
            backend.start()
        yield
    finally:
        with ThreadPoolExecutor(len(backends)) as pool:
            pool.map(Backend.stop, backends)


def serve(settings: Sequence[ServerSettings]) -> None:
    """Serve until a signal, then drain; a second signal ends the process."""
    clock = SystemClock()
    backends = [Backend(each, clock) for each in settings]
    with serve_all(backends):
        print_ready_line(
            [NamedAddress(each.settings.server, each.address) for each in backends]
        )
        wait_for_signal()
        drain(backends)


def settings_from_flags(flags: dict[str, object]) -> ServerSettings:
    """Build the settings of one server; raise ``ValueError`` if one is invalid."""
    snapshot_texts = str(flags.pop('snapshots'))
    service = str(flags['service'])
    snapshots = tuple(parse_snapshot(service, text) for text in snapshot_texts.split())
    return msgspec.convert({**flags, 'snapshots': snapshots}, ServerSettings)


def run(servers_file: Path | None, **flags: object) -> None:
    """Run fakes of backend servers, for tests and demos.

    Prints {"ready": "host:port", "servers": [...]} when listening. On SIGTERM the
    servers leave: they refuse new calls after the grace period and finish the
    accepted ones, then the process exits. A second SIGTERM ends it immediately.
    """
    try:
        settings = (
            read_settings_file(servers_file)
            if servers_file
            else [settings_from_flags(flags)]
        )
        check_settings(settings)
    except (ValueError, msgspec.MsgspecError) as error:
        click.echo(f'cowsliploom-standin-backend: {error}', err=True)
        sys.exit(EXIT_USAGE)
    try:
        serve(settings)
    except ListenError as error:
        raise click.ClickException(str(error)) from error


def _flag(name: str, default: str | float, help_text: str) -> click.Option:
    kind = float if name.endswith(FLOAT_SUFFIXES) else type(default)
    return click.Option([f'--{name}'], default=default, type=kind, help=help_text)


SERVERS_FILE = click.Option(
    ['--servers-file'],
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help='YAML or JSON list of server settings; the other flags are then ignored.',
)
FLAGS = (
    _flag('listen', '127.0.0.1:0', 'Address host:port; port 0 selects a free port.'),
    _flag('server', 'server-1', 'Name of the server.'),
    _flag('service', 'service-1', 'Service of the shard it holds.'),
    _flag('version', 'v1', 'Version of the server.'),
    _flag('slots', 2, 'Calls executed concurrently.'),
    _flag('queue-max', 4, 'Calls that may wait for a slot; further calls are shed.'),
    _flag('connections-max', 25, 'Limit of open connections.'),
    _flag('connect-cost-ms', 0, 'Work caused by a new connection, in ms.'),
    _flag(
        'snapshots',
        '1:0-1000:1000',
        'Snapshots snapshot:first-end[,first-end]:total_docs, separated by spaces.',
    ),
    _flag('latency-ms', 5, 'Median duration of a call, in milliseconds.'),
    _flag('latency-sigma', 0.3, 'Sigma of the log-normal duration of a call.'),
    _flag('seed', 1, 'Seed of durations and faults.'),
    click.Option(['--cold-start'], is_flag=True, help='Begin with a cold start.'),
    _flag('cold-allowance', 1, 'Concurrent calls allowed as a cold start begins.'),
    _flag('cold-step-calls', 20, 'Served calls per rise of the allowance by one.'),
    _flag('fall-over-ms', 2000, 'Refusal time after an exceeded allowance, in ms.'),
    _flag(
        'leaving-grace-ms',
        3000,
        'Grace period in which a leaving server accepts calls, in milliseconds.',
    ),
)

main = click.Command(
    'cowsliploom-standin-backend',
    callback=run,
    params=[SERVERS_FILE, *FLAGS],
    help=run.__doc__,
    context_settings={
        'auto_envvar_prefix': 'COWSLIPLOOM_STANDIN_BACKEND',
        'show_default': True,
    },
)
