"""Estimate of the requests that a service receives during its move."""

import math
from dataclasses import dataclass, replace

COUNT_SETTLE_MS = 1000.0  # counts from before the move request arrive within this
OBSERVED_MIN_MS = 1000.0  # a shorter observation is no reliable estimate


@dataclass(frozen=True, slots=True)
class Traffic:
    """Hold a service's request count and since when it is counted.

    Examples
    --------
    >>> traffic = Traffic().with_count(0, 80).with_count(1000, 80)
    >>> traffic.with_count(3000, 120).expected_requests(3000, given_ms=10_000)
    200.0
    """

    first_count_ms: float = math.inf
    since_ms: float = math.inf
    requests_before: int = 0
    requests: int = 0

    def with_count(self, now_ms: float, requests: int) -> 'Traffic':
        """Add the latest count; the first ones may include calls of long ago."""
        first_count_ms = min(self.first_count_ms, now_ms)
        if now_ms < first_count_ms + COUNT_SETTLE_MS:
            return replace(self, first_count_ms=first_count_ms, requests=requests)
        if self.since_ms > now_ms:
            return Traffic(first_count_ms, now_ms, requests, requests)
        return replace(self, requests=requests)

    def expected_requests(self, now_ms: float, given_ms: float) -> float | None:
        """Return the requests expected within ``given_ms``; None while unknown."""
        observed_ms = now_ms - self.since_ms
        if observed_ms < OBSERVED_MIN_MS:
            return None
        return (self.requests - self.requests_before) / observed_ms * given_ms
