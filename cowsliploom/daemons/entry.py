"""Command ``cowsliploom-entry``: serve callers on one entry VM."""

import asyncio

import click

from cowsliploom.daemons._entry_daemon import EntryDaemon
from cowsliploom.daemons._entry_settings import EntryFlags, Policy, check_settings

ANY_PORT = '127.0.0.1:0'


@click.command(context_settings={'auto_envvar_prefix': 'COWSLIPLOOM_ENTRY'})
@click.option('--name', required=True, help='Name of this entry VM.')
@click.option('--data-centre', required=True, help='Data centre of this entry VM.')
@click.option(
    '--listen',
    default=ANY_PORT,
    show_default=True,
    help='host:port for callers; port 0 lets the system choose.',
)
@click.option(
    '--peer-listen',
    default=ANY_PORT,
    show_default=True,
    help='host:port for other entry VMs; port 0 lets the system choose.',
)
@click.option('--store', required=True, help="host:port of the platform's service.")
@click.option(
    '--policy',
    type=click.Choice([policy.value for policy in Policy]),
    default=Policy.ADAPTIVE.value,
    show_default=True,
    help='Routing policy; naive is the baseline for experiments.',
)
@click.option(
    '--threads', default='128', show_default=True, help='Callers served concurrently.'
)
@click.option(
    '--drain-notice-ms',
    default='2000',
    show_default=True,
    help='Time until the load balancer notices a VM not ready, in milliseconds.',
)
@click.option(
    '--drain-timeout-ms',
    default='10000',
    show_default=True,
    help='Time for requests in flight to finish at shutdown, in milliseconds.',
)
@click.option(
    '--seed',
    default='0',
    show_default=True,
    help='Seed of random choices; 0 generates one.',
)
def main(**flags: str) -> None:
    """Serve callers' searches and requests on one entry VM.

    Prints {"ready": "host:port", "peer": "host:port"} on standard output once it
    listens, and logs JSON lines on standard error. Every flag can be set by an
    environment variable, such as COWSLIPLOOM_ENTRY_STORE. SIGTERM drains the
    process without aborting requests; a second one exits at once. Exit codes: 0
    after a drain, 2 for invalid settings, all of which are listed.
    """
    settings = check_settings(EntryFlags(**flags))
    asyncio.run(EntryDaemon(settings).run())
