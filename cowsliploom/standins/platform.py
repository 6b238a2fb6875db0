"""Command that runs a fake of the platform's key-value store and list of VMs."""

import click

from cowsliploom.adapters import SystemClock
from cowsliploom.standins._http import (
    ListenError,
    NamedAddress,
    StandinServer,
    print_ready_line,
    wait_for_signal,
)
from cowsliploom.standins._platform import Platform
from cowsliploom.standins._store import StoreState

THREADS = 128  # a waiting watch occupies one


def serve(server: StandinServer) -> None:
    """Serve until SIGTERM or SIGINT."""
    with server:
        print_ready_line([NamedAddress('platform', server.address)])
        wait_for_signal()


@click.command(
    context_settings={'auto_envvar_prefix': 'COWSLIPLOOM_STANDIN_PLATFORM'},
)
@click.option(
    '--listen',
    default='127.0.0.1:0',
    show_default=True,
    help='Address host:port to listen on; port 0 selects a free port.',
)
@click.option(
    '--lag-ms',
    default=0,
    show_default=True,
    type=click.FloatRange(min=0),
    help='Delay until a change of the list of VMs becomes visible, in ms.',
)
@click.option(
    '--threads',
    default=THREADS,
    show_default=True,
    type=click.IntRange(min=2),
    help='Concurrent calls, including waiting watches.',
)
def main(listen: str, lag_ms: float, threads: int) -> None:
    """Run a fake of the platform's services, for tests and demos.

    Prints {"ready": "host:port"} when listening. Stops on SIGTERM or SIGINT.
    """
    platform = Platform(StoreState(lag_ms), SystemClock())
    try:
        server = StandinServer(listen, platform.answer, threads)
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    try:
        serve(server)
    except ListenError as error:
        raise click.ClickException(str(error)) from error
