"""Flags of ``cowsliploom-load`` and their conversion to settings."""

import uuid
from dataclasses import dataclass

import click

from cowsliploom.loadgen._arrivals import (
    MS_PER_S,
    ArrivalPlan,
    MixPart,
    RequestKind,
    parse_mix,
)
from cowsliploom.loadgen._caller import CallerSettings
from cowsliploom.loadgen._measure import Target
from cowsliploom.loadgen._open_loop import WORKERS

ID_DIGITS = 8  # random, so that request ids of two runs differ in a run log


@dataclass(frozen=True, slots=True)
class LoadFlags:
    """Flags shared by all commands, before conversion."""

    mix: str
    bookings: str
    rate_per_s: float
    duration_s: float
    seed: int
    timeout_ms: float
    workers: int
    caller: str
    keys: bool
    retries: int
    json: str | None
    plot: str | None
    table: bool


def _addresses(name: str, help_text: str, *, required: bool = False) -> click.Option:
    return click.Option([name], multiple=True, required=required, help=help_text)


def _path(name: str, help_text: str) -> click.Option:
    kind = click.Path(dir_okay=False, writable=True, path_type=str)
    return click.Option([name], type=kind, help=help_text)


POSITIVE = click.FloatRange(min=0, min_open=True)
COUNT = click.IntRange(min=1)

LOAD_FLAGS = (
    click.Option(
        ['--mix'], default='', help='Searches to send, as name=weight,name=weight.'
    ),
    click.Option(
        ['--bookings'],
        default='',
        help='Services to send bookings to, as name=weight,name=weight.',
    ),
    click.Option(
        ['--rate-per-s'],
        type=POSITIVE,
        default=20,
        help='Mean arrival rate, per second.',
    ),
    click.Option(
        ['--duration-s'], type=POSITIVE, default=10, help='Duration of arrivals, s.'
    ),
    click.Option(['--seed'], default=1, help='Seed of times, requests and entry VMs.'),
    click.Option(
        ['--timeout-ms'],
        type=POSITIVE,
        default=1000,
        help='Request timeout sent by callers, in milliseconds.',
    ),
    click.Option(
        ['--workers'], type=COUNT, default=WORKERS, help='Limit of concurrent requests.'
    ),
    click.Option(['--caller'], default='load', help='Caller name in requests.'),
    click.Option(
        ['--keys/--no-keys'], default=True, help='Send idempotency keys with bookings.'
    ),
    click.Option(
        ['--retries'],
        type=click.IntRange(min=0),
        default=0,
        help='Retries of a booking with unknown outcome, through the next entry VM.',
    ),
    _path('--json', 'File for the results as JSON.'),
    _path('--plot', 'File for an SVG plot of latency by percentile.'),
    click.Option(['--table/--no-table'], default=True, help='Print a summary table.'),
)
RUN_FLAGS = (
    _addresses('--entry', 'Entry VM, host:port; may be repeated.', required=True),
    _addresses(
        '--backend-admin',
        'Backend server stand-in whose run log is checked; may be repeated.',
    ),
    click.Option(['--label'], default='run', help='Name of the run in results.'),
)
COMPARE_FLAGS = (
    _addresses('--first-entry', 'Entry VM of the first system.', required=True),
    _addresses('--second-entry', 'Entry VM of the second system.', required=True),
    _addresses('--first-backend-admin', 'Backend server stand-in of the first system.'),
    _addresses(
        '--second-backend-admin', 'Backend server stand-in of the second system.'
    ),
    click.Option(
        ['--first-label'], default='adaptive', help='Name of the first system.'
    ),
    click.Option(
        ['--second-label'], default='naive', help='Name of the second system.'
    ),
    click.Option(
        ['--slices'],
        type=COUNT,
        default=4,
        help='Slices of the duration; each is sent to both systems.',
    ),
)


def build_mix(flags: LoadFlags) -> tuple[MixPart, ...]:
    """Return the kinds of requests; raise ``ValueError`` for an invalid flag."""
    searches = parse_mix(RequestKind.SEARCH, flags.mix)
    bookings = parse_mix(RequestKind.BOOKING, flags.bookings)
    if not searches and not bookings:
        raise ValueError('mix: got nothing, expected a search or a booking')
    return searches + bookings


def build_plan(flags: LoadFlags, entries: int) -> ArrivalPlan:
    """Return the arrival plan; raise ``ValueError`` for an invalid flag."""
    return ArrivalPlan(
        rate_per_s=flags.rate_per_s,
        duration_ms=flags.duration_s * MS_PER_S,
        mix=build_mix(flags),
        entries=entries,
        seed=flags.seed,
        id_prefix=f'load-{uuid.uuid4().hex[:ID_DIGITS]}',
    )


def check_address(name: str, address: str) -> str:
    """Return an address of the form host:port; raise ``ValueError`` otherwise."""
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'{name}: got {address!r}, expected host:port')
    return address


def build_target(
    flags: LoadFlags, label: str, entries: tuple[str, ...], backends: tuple[str, ...]
) -> Target:
    """Return a system under load; raise ``ValueError`` for an invalid address."""
    for entry in entries:
        check_address('entry', entry)
    for backend in backends:
        check_address('backend-admin', backend)
    callers = CallerSettings(
        entries=entries,
        timeout_ms=flags.timeout_ms,
        caller=flags.caller,
        with_keys=flags.keys,
        retries_max=flags.retries,
        connections=flags.workers,
    )
    return Target(label, callers, backends)
