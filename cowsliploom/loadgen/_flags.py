"""Flags of ``cowsliploom-load``, and what they mean."""

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

ID_DIGITS = 8  # request ids of two runs must not meet in a run log


@dataclass(frozen=True, slots=True)
class LoadFlags:
    """Hold the flags that all commands share, as given."""

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
        ['--mix'], default='', help='Searches that arrive, as name=weight,name=weight.'
    ),
    click.Option(
        ['--bookings'],
        default='',
        help='Services that get bookings, as name=weight,name=weight.',
    ),
    click.Option(
        ['--rate-per-s'], type=POSITIVE, default=20, help='Mean arrivals a second.'
    ),
    click.Option(
        ['--duration-s'], type=POSITIVE, default=10, help='Time of arrivals, seconds.'
    ),
    click.Option(['--seed'], default=1, help='Seed of times, work and entry VMs.'),
    click.Option(
        ['--timeout-ms'],
        type=POSITIVE,
        default=1000,
        help='Time limit that callers give, in milliseconds.',
    ),
    click.Option(
        ['--workers'], type=COUNT, default=WORKERS, help='Requests in flight at once.'
    ),
    click.Option(['--caller'], default='load', help='Name that callers give.'),
    click.Option(
        ['--keys/--no-keys'], default=True, help='Idempotency keys on bookings.'
    ),
    click.Option(
        ['--retries'],
        type=click.IntRange(min=0),
        default=0,
        help='Retries of a booking of unknown outcome, through the next entry VM.',
    ),
    _path('--json', 'File for the figures.'),
    _path('--plot', 'File for an SVG of latency by percentile.'),
    click.Option(
        ['--table/--no-table'], default=True, help='Short table on standard output.'
    ),
)
RUN_FLAGS = (
    _addresses('--entry', 'Entry VM, host:port; may be repeated.', required=True),
    _addresses(
        '--backend-admin',
        'Backend server stand-in whose run log is checked; may be repeated.',
    ),
    click.Option(['--label'], default='run', help='Name in results.'),
)
COMPARE_FLAGS = (
    _addresses('--first-entry', 'Entry VM of the first system.', required=True),
    _addresses('--second-entry', 'Entry VM of the second system.', required=True),
    _addresses('--first-backend-admin', 'Backend server stand-in of the first.'),
    _addresses('--second-backend-admin', 'Backend server stand-in of the second.'),
    click.Option(['--first-label'], default='adaptive', help='Name of the first.'),
    click.Option(['--second-label'], default='naive', help='Name of the second.'),
    click.Option(
        ['--slices'],
        type=COUNT,
        default=4,
        help='Turns into which the duration is cut; both systems get each.',
    ),
)


def mix_of(flags: LoadFlags) -> tuple[MixPart, ...]:
    """Return what arrives; raise ``ValueError`` naming a wrong flag."""
    searches = parse_mix(RequestKind.SEARCH, flags.mix)
    bookings = parse_mix(RequestKind.BOOKING, flags.bookings)
    if not searches and not bookings:
        raise ValueError('mix: got nothing, expected a search or a booking')
    return searches + bookings


def plan_of(flags: LoadFlags, entries: int) -> ArrivalPlan:
    """Return the arrivals; raise ``ValueError`` naming a wrong flag."""
    return ArrivalPlan(
        rate_per_s=flags.rate_per_s,
        duration_ms=flags.duration_s * MS_PER_S,
        mix=mix_of(flags),
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


def target_of(
    flags: LoadFlags, label: str, entries: tuple[str, ...], backends: tuple[str, ...]
) -> Target:
    """Return a system under load; raise ``ValueError`` naming a wrong address."""
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
