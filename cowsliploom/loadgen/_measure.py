"""Measured run against one set of entry VMs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from cowsliploom.loadgen._arrivals import Arrival, ArrivalPlan, plan_arrivals
from cowsliploom.loadgen._caller import CallerSettings, HttpCaller
from cowsliploom.loadgen._open_loop import WORKERS, OpenLoop
from cowsliploom.loadgen._outcomes import CallRecord, OnRecord, ignore_record
from cowsliploom.loadgen._recount import recount
from cowsliploom.loadgen._results import (
    LoadResult,
    start_lag_p99_ms,
    summarise_works,
)
from cowsliploom.loadgen._scrape import counter_deltas, read_counters, read_run_logs
from cowsliploom.ports import Clock


@dataclass(frozen=True, slots=True)
class Target:
    """System under load.

    Parameters
    ----------
    label : str
        Name in tables and plots.
    callers : CallerSettings
        Entry VMs and settings of the callers.
    backends : tuple of str
        Admin addresses of backend server stand-ins; without any, answers are not
        checked against run logs.
    """

    label: str
    callers: CallerSettings
    backends: tuple[str, ...] = ()


def send_all(
    target: Target,
    arrivals: Iterable[Arrival],
    clock: Clock,
    workers: int = WORKERS,
    on_record: OnRecord = ignore_record,
) -> list[CallRecord]:
    """Send arrivals to a target when due and return their records."""
    with HttpCaller(target.callers) as caller:
        return OpenLoop(caller, clock, workers, on_record).run(arrivals)


def summarise(
    target: Target, plan: ArrivalPlan, records: Sequence[CallRecord]
) -> LoadResult:
    """Return the results of a run, checked against run logs if the target has any."""
    logs = read_run_logs(target.backends)
    return LoadResult(
        label=target.label,
        seed=plan.seed,
        rate_per_s=plan.rate_per_s,
        duration_ms=plan.duration_ms,
        elapsed_ms=max((each.ended_ms for each in records), default=0),
        start_lag_p99_ms=start_lag_p99_ms(records),
        works=summarise_works(records),
        recount=recount(records, logs) if target.backends else None,
    )


def measure(
    target: Target,
    plan: ArrivalPlan,
    clock: Clock,
    workers: int = WORKERS,
    on_record: OnRecord = ignore_record,
) -> LoadResult:
    """Load a target with a plan's arrivals and return the results."""
    entries = target.callers.entries
    before = read_counters(entries)
    records = send_all(target, plan_arrivals(plan), clock, workers, on_record)
    deltas = counter_deltas(before, read_counters(entries))
    return replace(summarise(target, plan, records), counters=deltas)
