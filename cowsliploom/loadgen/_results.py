"""Results of a run."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from cowsliploom.loadgen._arrivals import RequestKind
from cowsliploom.loadgen._outcomes import (
    Answered,
    Booked,
    CallRecord,
    Failed,
    Refused,
)
from cowsliploom.loadgen._recount import RecountResult

LOWEST_US = 1
HIGHEST_US = 600_000_000  # 10 minutes, longer than a run
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
CURVE_PERCENTILES = (10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.9, 100.0)


@dataclass(frozen=True, slots=True)
class PercentilePoint:
    """Point of a latency curve."""

    percentile: float
    latency_ms: float


@dataclass(frozen=True, slots=True)
class LatencyResult:
    """Latency percentiles, from when requests were due, in milliseconds."""

    p50_ms: float
    p90_ms: float
    p99_ms: float
    p99_9_ms: float
    max_ms: float
    curve: tuple[PercentilePoint, ...]


@dataclass(frozen=True, slots=True)
class CoverageResult:
    """Coverage of the snapshot by answers, as shares from 0 to 1."""

    full: int
    partial: int
    mean_share: float
    p1_share: float
    min_share: float


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """Number of refusals with one cause; failures have status 0."""

    status: int
    cause: str
    ran: str
    count: int


@dataclass(frozen=True, slots=True)
class WorkResult:
    """Results of one search, or of one service's bookings.

    ``refusal_p99_ms`` is the latency of refusals.
    """

    kind: RequestKind
    name: str
    sent: int
    answered: int
    replayed: int
    retried: int
    latency: LatencyResult
    coverage: CoverageResult
    refusals: tuple[RefusalCount, ...]
    refusal_p99_ms: float


@dataclass(frozen=True, slots=True)
class CounterDelta:
    """Increase of one counter of the entry VMs during the run."""

    name: str
    delta: float


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Results of a run.

    Parameters
    ----------
    label : str
        Name of the system under load.
    seed : int
        Seed of the arrivals.
    rate_per_s, duration_ms : float
        Rate and duration of the planned arrivals.
    elapsed_ms : float
        Time until the last request ended.
    start_lag_p99_ms : float
        Delay between due time and sending; if large, the load generator was the
        bottleneck.
    works : tuple of WorkResult
        Results for each kind of request.
    counters : tuple of CounterDelta
        Counter increases of the entry VMs whose metrics could be read.
    recount : RecountResult or None
        Check against the run logs; None without backend servers.
    """

    label: str
    seed: int
    rate_per_s: float
    duration_ms: float
    elapsed_ms: float
    start_lag_p99_ms: float
    works: tuple[WorkResult, ...]
    counters: tuple[CounterDelta, ...] = ()
    recount: RecountResult | None = None

    @property
    def answered(self) -> int:
        """Return the number of answered requests of all kinds."""
        return sum(work.answered for work in self.works)


def summarise_works(records: Sequence[CallRecord]) -> tuple[WorkResult, ...]:
    """Return the results for each kind of request."""
    kinds = sorted({(each.arrival.kind, each.arrival.name) for each in records})
    return tuple(_summarise_work(kind, name, records) for kind, name in kinds)


def start_lag_p99_ms(records: Sequence[CallRecord]) -> float:
    """Return the 99th percentile of the delay between due time and sending."""
    histogram = _histogram(each.sent_ms - each.arrival.at_ms for each in records)
    return _percentile_ms(histogram, 99.0)


def _summarise_work(
    kind: RequestKind, name: str, records: Sequence[CallRecord]
) -> WorkResult:
    own = [
        each
        for each in records
        if each.arrival.kind is kind and each.arrival.name == name
    ]
    succeeded = [each for each in own if isinstance(each.outcome, Answered | Booked)]
    return WorkResult(
        kind=kind,
        name=name,
        sent=len(own),
        answered=len(succeeded),
        replayed=sum(
            isinstance(each.outcome, Booked) and each.outcome.replayed for each in own
        ),
        retried=sum(each.attempts > 1 for each in own),
        latency=_latency(each.latency_ms for each in succeeded),
        coverage=_coverage(own),
        refusals=_refusals(own),
        refusal_p99_ms=_percentile_ms(_histogram(_refusal_times_ms(own)), 99.0),
    )


def _latency(latencies_ms: Iterable[float]) -> LatencyResult:
    histogram = _histogram(latencies_ms)
    curve = tuple(
        PercentilePoint(percentile, _percentile_ms(histogram, percentile))
        for percentile in CURVE_PERCENTILES
    )
    return LatencyResult(
        p50_ms=_percentile_ms(histogram, 50.0),
        p90_ms=_percentile_ms(histogram, 90.0),
        p99_ms=_percentile_ms(histogram, 99.0),
        p99_9_ms=_percentile_ms(histogram, 99.9),
        max_ms=_percentile_ms(histogram, 100.0),
        curve=curve,
    )


def _histogram(times_ms: Iterable[float]) -> HdrHistogram:
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for time_ms in times_ms:
        time_us = int(time_ms * US_PER_MS)
        histogram.record_value(min(max(time_us, LOWEST_US), HIGHEST_US))
    return histogram


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    if not histogram.total_count:
        return 0
    return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS


def _coverage(records: Sequence[CallRecord]) -> CoverageResult:
    shares = sorted(
        each.outcome.coverage.covered_docs / max(each.outcome.coverage.total_docs, 1)
        for each in records
        if isinstance(each.outcome, Answered)
    )
    if not shares:
        return CoverageResult(0, 0, 0, 0, 0)
    full = sum(share >= 1 for share in shares)
    return CoverageResult(
        full=full,
        partial=len(shares) - full,
        mean_share=sum(shares) / len(shares),
        p1_share=shares[len(shares) // 100],
        min_share=shares[0],
    )


def _refusal_times_ms(records: Sequence[CallRecord]) -> Iterator[float]:
    for record in records:
        if isinstance(record.outcome, Refused):
            yield record.latency_ms


def _refusals(records: Sequence[CallRecord]) -> tuple[RefusalCount, ...]:
    counts: Counter[tuple[int, str, str]] = Counter()
    for record in records:
        match record.outcome:
            case Refused(status, cause, ran):
                counts[(status, cause, ran)] += 1
            case Failed(reason):
                counts[(0, reason, 'unknown')] += 1
    return tuple(RefusalCount(*key, count) for key, count in counts.most_common())
