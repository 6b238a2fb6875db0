"""Summary tables for the terminal."""

from collections.abc import Sequence

from cowsliploom.loadgen._compare import Comparison, Ratio
from cowsliploom.loadgen._results import LoadResult, WorkResult

GAP = '  '
PERCENT = 100


def align(rows: Sequence[Sequence[str]]) -> str:
    """Align rows in columns; the first column is left-aligned."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        first, *others = [
            cell.rjust(width) if place else cell.ljust(width)
            for place, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        lines.append(GAP.join((first, *others)).rstrip())
    return '\n'.join(lines)


def render_table(load: LoadResult) -> str:
    """Return the summary table of a run."""
    head = (
        'work',
        'sent',
        'answered',
        'p50 ms',
        'p90 ms',
        'p99 ms',
        'p99.9 ms',
        'max ms',
        'coverage',
        'partial',
    )
    rows = [head, *(_row(work) for work in load.works)]
    notes = [*_refusal_lines(load), *_recount_lines(load)]
    return '\n'.join((align(rows), *notes))


def _row(work: WorkResult) -> list[str]:
    latency = work.latency
    times = (
        latency.p50_ms,
        latency.p90_ms,
        latency.p99_ms,
        latency.p99_9_ms,
        latency.max_ms,
    )
    coverage = f'{work.coverage.mean_share * PERCENT:.3f}%'
    measured = work.coverage.full + work.coverage.partial > 0
    return [
        f'{work.kind} {work.name}',
        str(work.sent),
        str(work.answered),
        *(f'{time_ms:.1f}' for time_ms in times),
        coverage if measured else '-',
        str(work.coverage.partial) if measured else '-',
    ]


def _refusal_lines(load: LoadResult) -> list[str]:
    return [
        f'{work.kind} {work.name} refused: {refusal.count} x status '
        f'{refusal.status} {refusal.cause} (ran: {refusal.ran})'
        for work in load.works
        for refusal in work.refusals
    ]


def _recount_lines(load: LoadResult) -> list[str]:
    recount = load.recount
    if recount is None:
        return []
    return [
        f'coverage recounted: {recount.equal} of {recount.answers} equal, '
        f'{recount.within} within, {recount.over} over, {recount.under} under, '
        f'{recount.wrong_total} with a wrong total',
        f'extra load: {recount.extra_sub_requests} attempts beyond '
        f'{recount.sub_requests} sub-requests '
        f'({recount.extra_load * PERCENT:.2f}%)',
        f'bookings: {recount.bookings_run} ran, {recount.bookings_twice} twice, '
        f'{recount.booked_not_run} answered but not run, '
        f'{recount.refused_but_ran} refused as not run but ran',
    ]


def render_ratios(comparison: Comparison) -> str:
    """Return the tables of both runs, followed by the ratios."""
    first, second = comparison.first, comparison.second
    head = ('ratio', 'p50', 'p90', 'p99', 'p99.9', 'answered', 'coverage')
    rows = [head, *(_ratio_row(ratio) for ratio in comparison.ratios)]
    return '\n'.join(
        (
            f'{first.label}:',
            render_table(first),
            '',
            f'{second.label}:',
            render_table(second),
            '',
            f'{first.label} over {second.label}:',
            align(rows),
        )
    )


def _ratio_row(ratio: Ratio) -> tuple[str, ...]:
    numbers = (
        ratio.p50,
        ratio.p90,
        ratio.p99,
        ratio.p99_9,
        ratio.answered,
        ratio.coverage,
    )
    return (f'{ratio.kind} {ratio.name}', *(_cell(number) for number in numbers))


def _cell(ratio: float) -> str:
    return f'{ratio:.3f}' if ratio else '-'
