"""Latency histograms and counters, rendered as text for ``/metrics``."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LOWEST_US = 1  # histogram range starts at a microsecond
HIGHEST_US = 60_000_000  # longest time limit accepted from a caller, one minute
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000
CALLERS_MAX = 64  # further callers share one histogram, so memory stays bounded
OTHER_CALLER = 'other'
QUANTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Name a series by work kind (search or service) and caller."""

    work: str
    caller: str


class Metrics:
    """Hold one latency histogram per work kind and caller, and counters.

    Notes
    -----
    Owned by one task; it takes no lock. The number of callers with series of
    their own is bounded, since callers name themselves.
    """

    def __init__(self) -> None:
        self._latency: dict[SeriesKey, HdrHistogram] = {}
        self._counters: Counter[str] = Counter()
        self._callers: set[str] = set()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def record(self, work: str, caller: str, elapsed_ms: float) -> None:
        """Record the latency of one answer.

        Parameters
        ----------
        work : str
            Search kind or service.
        caller : str
            Caller's name of itself.
        elapsed_ms : float
            Time from arrival to answer, in milliseconds.
        """
        key = SeriesKey(work, self._known_caller(caller))
        histogram = self._latency.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._latency[key] = histogram
        elapsed_us = int(elapsed_ms * US_PER_MS)
        histogram.record_value(min(max(elapsed_us, LOWEST_US), HIGHEST_US))

    def render(self) -> str:
        """Return all series as lines of the Prometheus text format."""
        return '\n'.join((*self._render_latency(), *self._render_counters(), ''))

    def _known_caller(self, caller: str) -> str:
        if caller in self._callers:
            return caller
        if len(self._callers) >= CALLERS_MAX:
            return OTHER_CALLER
        self._callers.add(caller)
        return caller

    def _render_latency(self) -> Iterator[str]:
        for key, histogram in self._latency.items():
            labels = f'work="{_escape(key.work)}",caller="{_escape(key.caller)}"'
            for quantile in QUANTILES:
                latency_us = histogram.get_value_at_percentile(quantile)
                yield (
                    f'cowsliploom_latency_ms{{{labels},'
                    f'quantile="{quantile}"}} {latency_us / US_PER_MS}'
                )
            yield f'cowsliploom_latency_ms_count{{{labels}}} {histogram.total_count}'

    def _render_counters(self) -> Iterator[str]:
        for name, amount in sorted(self._counters.items()):
            yield f'cowsliploom_{name}_total {amount}'


def _escape(label: str) -> str:
    escaped = label.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
