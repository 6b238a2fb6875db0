"""Command ``cowsliploom-operator``: serve resources and watches over HTTP."""

import sys
from dataclasses import dataclass
from typing import Any

import click
import msgspec

from cowsliploom.adapters import JsonLogDestination
from cowsliploom.daemons._operator_run import OperatorDaemon
from cowsliploom.daemons._operator_settings import (
    RawOperatorSettings,
    check_operator_settings,
)
from cowsliploom.daemons._options import OptionSet
from cowsliploom.daemons._shutdown import ShutdownSignals

EXIT_CANNOT_LISTEN = 1
TIMES = (
    ('--read-timeout-ms', '3000', 'Time limit of a read'),
    ('--write-timeout-ms', '10000', 'Time limit of a change'),
    ('--store-timeout-ms', '1000', 'Time limit of one call on the store'),
    ('--watch-wait-ms', '25000', 'Longest wait of one watch on the store'),
    ('--heartbeat-ms', '5000', 'Idle time after which a watch stream sends a bookmark'),
    ('--status-period-ms', '1000', 'Interval of status reads while a watch is open'),
    ('--shutdown-notice-ms', '1000', 'Time until the load balancer notices a shutdown'),
    ('--request-timeout-ms', '10000', "Time from a request's first byte to its last"),
    ('--idle-timeout-ms', '30000', 'Time that a connection may stay idle'),
)


@dataclass(frozen=True, slots=True)
class Ready:
    """Line on standard output that reports the listening address."""

    ready: str


def _run(settings: RawOperatorSettings) -> None:
    daemon = OperatorDaemon(check_operator_settings(settings))
    with JsonLogDestination(), ShutdownSignals() as signals, daemon:
        sys.stdout.write(f'{msgspec.json.encode(Ready(daemon.address)).decode()}\n')
        sys.stdout.flush()
        signals.wait()


def _make_options() -> OptionSet:
    options = OptionSet()
    options.text(
        '--listen',
        '127.0.0.1:8081',
        'HOST:PORT',
        'Address for operators; port 0 lets the system choose.',
    )
    options.required(
        '--store', 'HOST:PORT', "Address of the platform's key-value service."
    )
    options.required('--data-centre', 'NAME', 'Data centre of this VM.')
    options.required('--name', 'NAME', 'Name of this VM.')
    options.repeated(
        '--entry',
        'HOST:PORT',
        'Entry VM to ask for revisions in force; may be repeated. Without any, '
        + 'the status is reported as unknown.',
    )
    for flag, default, help_text in TIMES:
        options.text(flag, default, 'MS', f'{help_text}, in milliseconds.')
    options.text('--threads', '32', 'N', 'Concurrent requests, including watches.')
    options.text('--watches-max', '24', 'N', 'Concurrent watch streams.')
    options.text(
        '--body-max-bytes', '2000000', 'BYTES', 'Largest request body, in bytes.'
    )
    return options


@click.command(
    context_settings={
        'auto_envvar_prefix': 'COWSLIPLOOM_OPERATOR',
        'max_content_width': 88,
    },
)
@_make_options()
def main(**settings: Any) -> None:
    """Serve the resource interface to operators.

    The daemon is stateless: an accepted change is one compare-and-swap on the
    platform's service. Prints {"ready": "host:port"} on standard output once it
    listens, and logs JSON lines on standard error.

    SIGTERM drains: /readyz fails, watches end, changes in flight are answered. A
    second SIGTERM exits at once. Each flag can be set in the environment as
    COWSLIPLOOM_OPERATOR_FLAG_NAME.

    Exit status: 0 after a drain, 1 if the daemon can't listen on the address or
    receives a second signal, 2 for invalid settings.
    """
    try:
        _run(RawOperatorSettings(**settings))
    except OSError as error:
        click.echo(f'listen: {error}', err=True)
        sys.exit(EXIT_CANNOT_LISTEN)
