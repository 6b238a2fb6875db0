"""Back-off of the claims of one daemon during a store outage."""

import math
import random

BACKOFF_MIN_MS = 500  # delay before the first probe of a store that doesn't answer
BACKOFF_MAX_MS = 4000  # upper bound on the delay until claims resume after an outage
PROBE_WINDOW_MS = 2000  # one call probes the store while the others wait


class StoreOutage:
    """Limit calls during an outage to one probe at a time.

    Parameters
    ----------
    seed : str
        Seed of the jitter that spreads the probes of different daemons.
    """

    def __init__(self, seed: str) -> None:
        self._rng = random.Random(seed)
        self._blocked_until_ms = -math.inf
        self._backoff_ms = BACKOFF_MIN_MS
        self.is_failing = False

    def blocks_calls(self, now_ms: float) -> bool:
        """Return whether calls are held back at this time."""
        return self.is_failing and now_ms < self._blocked_until_ms

    def start_call(self, now_ms: float) -> None:
        """Hold back other calls while this one probes a failing store."""
        if self.is_failing:
            self._blocked_until_ms = now_ms + PROBE_WINDOW_MS

    def record_failure(self, now_ms: float) -> None:
        """Record that the store did not answer; back off exponentially."""
        self.is_failing = True
        self._blocked_until_ms = now_ms + self._backoff_ms * self._rng.uniform(1 / 2, 1)
        self._backoff_ms = min(BACKOFF_MAX_MS, self._backoff_ms * 2)

    def record_success(self) -> None:
        """Record that the store answered; reset the back-off."""
        self.is_failing = False
        self._backoff_ms = BACKOFF_MIN_MS
