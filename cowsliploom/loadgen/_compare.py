"""The same arrivals on two systems in one run, and ratios of their figures."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from cowsliploom.loadgen._arrivals import ArrivalPlan, RequestKind, plan_arrivals
from cowsliploom.loadgen._measure import Target, send_all, summarise
from cowsliploom.loadgen._outcomes import CallRecord, OnRecord, ignore_record
from cowsliploom.loadgen._results import LoadResult, WorkResult
from cowsliploom.loadgen._scrape import counter_deltas, read_counters
from cowsliploom.ports import Clock

SEED_STEP = 1000  # slices have seeds of their own, the same for both systems


@dataclass(frozen=True, slots=True)
class Ratio:
    """Compare one search kind: the first system's figures over the second's.

    Parameters
    ----------
    kind : WorkKind
        Searches or bookings.
    name : str
        Search kind or service.
    p50, p90, p99, p99_9 : float
        Ratios of latency, without unit; 0 where the second has none.
    answered : float
        Ratio of requests answered.
    coverage : float
        Ratio of mean coverage.
    """

    kind: RequestKind
    name: str
    p50: float
    p90: float
    p99: float
    p99_9: float
    answered: float
    coverage: float


@dataclass(frozen=True, slots=True)
class Comparison:
    """Hold both systems' figures and their ratios."""

    first: LoadResult
    second: LoadResult
    ratios: tuple[Ratio, ...]


def plan_slices(plan: ArrivalPlan, slices: int) -> tuple[ArrivalPlan, ...]:
    """Cut a plan into parts of equal length, each with its own seed and ids."""
    return tuple(
        replace(
            plan,
            duration_ms=plan.duration_ms / slices,
            seed=plan.seed + SEED_STEP * number,
            id_prefix=f'{plan.id_prefix}-{number}',
        )
        for number in range(slices)
    )


def _do_nothing(_label: str) -> None:
    """Leave both systems as they are."""


def compare(
    targets: tuple[Target, Target],
    plan: ArrivalPlan,
    slices: int,
    clock: Clock,
    workers: int,
    on_record: OnRecord = ignore_record,
    before_turn: Callable[[str], None] = _do_nothing,
) -> Comparison:
    """Load both systems by turns with the same arrivals.

    Parameters
    ----------
    targets : tuple of two Target
        Systems to compare.
    plan : ArrivalPlan
        Arrivals; the number of entry VMs is taken from each target.
    slices : int
        Turns that each system gets.
    clock : Clock
        Times the runs.
    workers : int
        Requests in flight at once.
    on_record : callable
        Called for each finished request.
    before_turn : callable
        Called with the target's label before each turn, such as to turn a server
        cold again.

    Returns
    -------
    Comparison
        Figures of both, and the first over the second.

    Notes
    -----
    Turns in short slices let whatever else the machine does fall on both, and
    keep one system's load out of the other's figures when they share servers.
    The order changes with each slice.
    """
    before = [read_counters(target.callers.entries) for target in targets]
    records: tuple[list[CallRecord], list[CallRecord]] = ([], [])
    for number, part in enumerate(plan_slices(plan, slices)):
        sides = (0, 1) if number % 2 == 0 else (1, 0)
        for side in sides:
            before_turn(targets[side].label)
            arrivals = plan_arrivals(_own_plan(part, targets[side]))
            records[side].extend(
                send_all(targets[side], arrivals, clock, workers, on_record)
            )
    first = _summarise_side(targets[0], plan, records[0], before[0])
    second = _summarise_side(targets[1], plan, records[1], before[1])
    return Comparison(first, second, ratios_of(first.works, second.works))


def _summarise_side(
    target: Target,
    plan: ArrivalPlan,
    records: Sequence[CallRecord],
    before: Counter[str],
) -> LoadResult:
    after = read_counters(target.callers.entries)
    load = summarise(target, plan, records)
    return replace(load, counters=counter_deltas(before, after))


def _own_plan(plan: ArrivalPlan, target: Target) -> ArrivalPlan:
    return replace(
        plan,
        entries=len(target.callers.entries),
        id_prefix=f'{plan.id_prefix}-{target.label}',
    )


def ratios_of(
    first: Sequence[WorkResult], second: Sequence[WorkResult]
) -> tuple[Ratio, ...]:
    """Compare the works that both systems were given."""
    others = {(work.kind, work.name): work for work in second}
    return tuple(
        _ratio(work, others[work.kind, work.name])
        for work in first
        if (work.kind, work.name) in others
    )


def _ratio(work: WorkResult, other: WorkResult) -> Ratio:
    mine, theirs = work.latency, other.latency
    return Ratio(
        kind=work.kind,
        name=work.name,
        p50=_divide(mine.p50_ms, theirs.p50_ms),
        p90=_divide(mine.p90_ms, theirs.p90_ms),
        p99=_divide(mine.p99_ms, theirs.p99_ms),
        p99_9=_divide(mine.p99_9_ms, theirs.p99_9_ms),
        answered=_divide(work.answered, other.answered),
        coverage=_divide(work.coverage.mean_share, other.coverage.mean_share),
    )


def _divide(mine: float, theirs: float) -> float:
    return mine / theirs if theirs else 0
