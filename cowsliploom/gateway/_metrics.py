"""Counters, gauges and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter, defaultdict

BOUNDS_MS = (2, 5, 10, 20, 40, 60, 80, 100, 150, 200, 300, 500, 1000, 2000, 5000)
ROUTES_MAX = 64  # further routes are counted together as 'other'


class Metrics:
    """Hold counters, gauges, and request outcomes and latencies by route."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._latencies: dict[str, list[int]] = defaultdict(_empty_buckets)
        self._gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self._counts[name] += amount

    def set_gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._gauges[name] = level

    def observe_request(self, route: str, outcome: str, elapsed_ms: float) -> None:
        """Count a completed request by outcome and latency."""
        if route not in self._latencies and len(self._latencies) >= ROUTES_MAX:
            route = 'other'
        self._outcomes[(route, outcome)] += 1
        self._latencies[route][bisect_left(BOUNDS_MS, elapsed_ms)] += 1

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f'cowsliploom_{name}_total {count}'
            for name, count in sorted(self._counts.items())
        ]
        lines.extend(
            f'cowsliploom_{name} {level}'
            for name, level in sorted(self._gauges.items())
        )
        lines.extend(
            f'cowsliploom_requests_total{{route="{route}",outcome="{outcome}"}} {count}'
            for (route, outcome), count in sorted(self._outcomes.items())
        )
        for route, buckets in sorted(self._latencies.items()):
            lines.extend(_histogram(route, buckets))
        return '\n'.join((*lines, ''))


def _empty_buckets() -> list[int]:
    return [0 for _ in range(len(BOUNDS_MS) + 1)]


def _histogram(route: str, buckets: list[int]) -> list[str]:
    bounds = (*(str(bound_ms) for bound_ms in BOUNDS_MS), '+Inf')
    total = 0
    lines = []
    for bound, count in zip(bounds, buckets, strict=True):
        total += count
        lines.append(
            f'cowsliploom_request_ms_bucket{{route="{route}",le="{bound}"}} {total}'
        )
    return lines
