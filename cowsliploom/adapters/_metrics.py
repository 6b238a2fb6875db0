"""Latency histograms and counters, rendered as text for ``/metrics``."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LATENCY_MIN_US = 1  # lower end of the histogram range
LATENCY_MAX_US = 60_000_000  # one minute, the longest timeout a caller may request
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000
CALLERS_MAX = 64  # bounds memory; further callers share one histogram
OTHER_CALLER = 'other'
QUANTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Labels of a series: work (search or service) and caller."""

    work: str
    caller: str


class Metrics:
    """Counters, and one latency histogram per work and caller.

    Notes
    -----
    Not thread-safe; owned by one task. The number of callers with series of their
    own is bounded, because callers choose their own names.
    """

    def __init__(self) -> None:
        self._latency: dict[SeriesKey, HdrHistogram] = {}
        self._counters: Counter[str] = Counter()
        self._callers: set[str] = set()

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter by ``amount``."""
        self._counters[name] += amount

    def record(self, work: str, caller: str, elapsed_ms: float) -> None:
        """Record the latency of one response.

        Parameters
        ----------
        work : str
            Name of the search or service.
        caller : str
            Name that the caller gives itself.
        elapsed_ms : float
            Time from the request's arrival to its response, in milliseconds.
        """
        key = SeriesKey(work, self._caller_label(caller))
        histogram = self._latency.get(key)
        if histogram is None:
            histogram = HdrHistogram(LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
            self._latency[key] = histogram
        elapsed_us = int(elapsed_ms * US_PER_MS)
        histogram.record_value(min(max(elapsed_us, LATENCY_MIN_US), LATENCY_MAX_US))

    def render(self) -> str:
        """Render all series in the Prometheus text format."""
        return '\n'.join((*self._render_latency(), *self._render_counters(), ''))

    def _caller_label(self, caller: str) -> str:
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
