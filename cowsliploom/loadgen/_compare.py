"""Comparison of two systems under the same arrivals in one run."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from cowsliploom.loadgen._arrivals import ArrivalPlan, RequestKind, plan_arrivals
from cowsliploom.loadgen._measure import Target, send_all, summarise
from cowsliploom.loadgen._outcomes import CallRecord, OnRecord, ignore_record
from cowsliploom.loadgen._results import LoadResult, WorkResult
from cowsliploom.loadgen._scrape import counter_deltas, read_counters
from cowsliploom.ports import Clock

SEED_STEP = 1000  # each slice has its own seed, the same for both systems


@dataclass(frozen=True, slots=True)
class Ratio:
    """Ratios of the first system's results to the second's, for one kind of request.

    Parameters
    ----------
    kind : RequestKind
        Searches or bookings.
    name : str
        Search kind or service.
    p50, p90, p99, p99_9 : float
        Ratios of latency percentiles; 0 if the second has none.
    answered : float
        Ratio of answered requests.
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
    """Results of both systems and their ratios."""

    first: LoadResult
    second: LoadResult
    ratios: tuple[Ratio, ...]


def plan_slices(plan: ArrivalPlan, slices: int) -> tuple[ArrivalPlan, ...]:
    """Split a plan into slices of equal duration, each with its own seed and ids."""
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
    """Do nothing before a slice."""


def compare(
    targets: tuple[Target, Target],
    plan: ArrivalPlan,
    slices: int,
    clock: Clock,
    workers: int,
    on_record: OnRecord = ignore_record,
    before_slice: Callable[[str], None] = _do_nothing,
) -> Comparison:
    """Load two systems alternately with the same arrivals.

    Parameters
    ----------
    targets : tuple of two Target
        Systems to compare.
    plan : ArrivalPlan
        Arrivals; each target replaces the number of entry VMs by its own.
    slices : int
        Number of slices that each system is loaded with.
    clock : Clock
        Clock of the runs.
    workers : int
        Limit of concurrent requests.
    on_record : callable
        Called for each finished request.
    before_slice : callable
        Called with the target's label before each of its slices, for example to
        restart a server cold.

    Returns
    -------
    Comparison
        Results of both, and ratios of the first to the second.

    Notes
    -----
    Alternating short slices distributes other load on the machine over both
    systems, and keeps one system's load out of the other's results if they share
    servers. The order is reversed after each slice.
    """
    before = [read_counters(target.callers.entries) for target in targets]
    records: tuple[list[CallRecord], list[CallRecord]] = ([], [])
    for number, part in enumerate(plan_slices(plan, slices)):
        sides = (0, 1) if number % 2 == 0 else (1, 0)
        for side in sides:
            before_slice(targets[side].label)
            arrivals = plan_arrivals(_plan_for_target(part, targets[side]))
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


def _plan_for_target(plan: ArrivalPlan, target: Target) -> ArrivalPlan:
    return replace(
        plan,
        entries=len(target.callers.entries),
        id_prefix=f'{plan.id_prefix}-{target.label}',
    )


def ratios_of(
    first: Sequence[WorkResult], second: Sequence[WorkResult]
) -> tuple[Ratio, ...]:
    """Return the ratios for the kinds of requests that both systems received."""
    others = {(work.kind, work.name): work for work in second}
    return tuple(
        _ratio(work, others[work.kind, work.name])
        for work in first
        if (work.kind, work.name) in others
    )


def _ratio(work: WorkResult, other: WorkResult) -> Ratio:
    own, reference = work.latency, other.latency
    return Ratio(
        kind=work.kind,
        name=work.name,
        p50=_divide(own.p50_ms, reference.p50_ms),
        p90=_divide(own.p90_ms, reference.p90_ms),
        p99=_divide(own.p99_ms, reference.p99_ms),
        p99_9=_divide(own.p99_9_ms, reference.p99_9_ms),
        answered=_divide(work.answered, other.answered),
        coverage=_divide(work.coverage.mean_share, other.coverage.mean_share),
    )


def _divide(own: float, reference: float) -> float:
    return own / reference if reference else 0
