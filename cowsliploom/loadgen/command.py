"""Open-loop load generator: ``cowsliploom-load``."""

import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import click
import msgspec

from cowsliploom.adapters import SystemClock
from cowsliploom.loadgen._arrivals import plan_arrivals
from cowsliploom.loadgen._compare import compare, plan_slices
from cowsliploom.loadgen._flags import (
    COMPARE_FLAGS,
    LOAD_FLAGS,
    RUN_FLAGS,
    LoadFlags,
    build_plan,
    build_target,
)
from cowsliploom.loadgen._measure import measure
from cowsliploom.loadgen._outcomes import OnRecord, ignore_record
from cowsliploom.loadgen._plot import curves_of, write_plot
from cowsliploom.loadgen._results import LoadResult
from cowsliploom.loadgen._scrape import ScrapeError
from cowsliploom.loadgen._table import render_ratios, render_table

EXIT_INCONSISTENT = 1  # an answer or refusal disagrees with the run logs
EXIT_NO_ANSWERS = 3  # no request was answered
EXIT_NO_RUN_LOG = 4  # a run log could not be read
PROGRAM = 'cowsliploom-load'

HELP = """Send callers' requests to entry VMs and measure the answers.

Requests are sent at seeded random times, independent of earlier responses, and
latency counts from when a request was due. The default command is `run`.

Exit status: 0 success; 1 an answer or refusal disagrees with the run logs; 2 an
invalid flag; 3 no request was answered; 4 a run log could not be read.
"""


class RunByDefault(click.Group):
    """Command group whose default command is ``run``."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Insert ``run`` if the first argument is a flag."""
        if args and args[0].startswith('-') and args[0] != '--help':
            args = ['run', *args]
        return super().parse_args(ctx, args)


@contextmanager
def show_progress(label: str, length: int) -> Iterator[OnRecord]:
    """Show a progress bar if standard error is a terminal."""
    if not sys.stderr.isatty():
        yield ignore_record
        return
    with click.progressbar(length=length, label=label, file=sys.stderr) as bar:
        yield lambda _: bar.update(1)


@contextmanager
def flag_errors() -> Iterator[None]:
    """Convert ``ValueError`` to a usage error."""
    try:
        yield
    except ValueError as error:
        raise click.UsageError(str(error)) from error


@contextmanager
def scrape_errors() -> Iterator[None]:
    """Exit with an error message if a run log cannot be read."""
    try:
        yield
    except ScrapeError as error:
        click.echo(f'{PROGRAM}: {error}', err=True)
        sys.exit(EXIT_NO_RUN_LOG)


def exit_status(loads: Sequence[LoadResult]) -> int:
    """Return the exit status for the results."""
    if any(load.recount and not load.recount.is_consistent for load in loads):
        return EXIT_INCONSISTENT
    if any(load.answered == 0 for load in loads):
        return EXIT_NO_ANSWERS
    return 0


def write_outputs(
    flags: LoadFlags, outcome: object, table: str, loads: Sequence[LoadResult]
) -> None:
    """Write the files and the table that the flags request."""
    if flags.json:
        Path(flags.json).write_bytes(msgspec.json.format(msgspec.json.encode(outcome)))
    if flags.plot:
        write_plot(Path(flags.plot), 'Latency by percentile', curves_of(loads))
    if flags.table:
        click.echo(table)


def run(
    entry: tuple[str, ...], backend_admin: tuple[str, ...], label: str, **flags: object
) -> None:
    """Load one set of entry VMs."""
    with flag_errors():
        shared = msgspec.convert(flags, LoadFlags)
        plan = build_plan(shared, len(entry))
        target = build_target(shared, label, entry, backend_admin)
    total = sum(1 for _ in plan_arrivals(plan))
    with scrape_errors(), show_progress(label, total) as on_record:
        load = measure(target, plan, SystemClock(), shared.workers, on_record)
    write_outputs(shared, load, render_table(load), (load,))
    sys.exit(exit_status((load,)))


def run_compare(
    first_entry: tuple[str, ...],
    second_entry: tuple[str, ...],
    first_backend_admin: tuple[str, ...],
    second_backend_admin: tuple[str, ...],
    first_label: str,
    second_label: str,
    slices: int,
    **flags: object,
) -> None:
    """Load two sets of entry VMs alternately with the same arrivals."""
    with flag_errors():
        shared = msgspec.convert(flags, LoadFlags)
        plan = build_plan(shared, len(first_entry))
        targets = (
            build_target(shared, first_label, first_entry, first_backend_admin),
            build_target(shared, second_label, second_entry, second_backend_admin),
        )
    total = 2 * sum(
        1 for part in plan_slices(plan, slices) for _ in plan_arrivals(part)
    )
    with scrape_errors(), show_progress('compare', total) as on_record:
        comparison = compare(
            targets, plan, slices, SystemClock(), shared.workers, on_record
        )
    loads = (comparison.first, comparison.second)
    write_outputs(shared, comparison, render_ratios(comparison), loads)
    sys.exit(exit_status(loads))


main = RunByDefault(
    PROGRAM,
    commands=[
        click.Command(
            'run', callback=run, params=[*RUN_FLAGS, *LOAD_FLAGS], help=run.__doc__
        ),
        click.Command(
            'compare',
            callback=run_compare,
            params=[*COMPARE_FLAGS, *LOAD_FLAGS],
            help=run_compare.__doc__,
        ),
    ],
    help=HELP,
    context_settings={
        'auto_envvar_prefix': 'COWSLIPLOOM_LOAD',
        'show_default': True,
    },
)
