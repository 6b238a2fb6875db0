"""Calls that this daemon made, counted until the next block is tested."""

import math
from dataclasses import dataclass, field

from cowsliploom.rollout._baseline_latency import (
    BaselineLatencies,
    BaselineLatency,
    is_far_slower,
)
from cowsliploom.rollout._baseline_rates import LatencyThreshold
from cowsliploom.rollout._cold import ColdServers
from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._evidence import OLD_VERSION, RowKey
from cowsliploom.rollout._samples import RecordSample

ROUTES_MAX = 64  # routes counted separately; further ones are counted as one
OTHER_ROUTES = 'others'


@dataclass(slots=True)
class _Tally:
    """Count in place, as this runs for each call."""

    calls: int = 0
    errors: int = 0
    timed: int = 0
    slow: int = 0
    cold_calls: int = 0
    cold_errors: int = 0
    answered: int = 0
    failed_answers: int = 0
    gauged: int = 0
    slow_answers: int = 0

    def counts(self) -> Counts:
        return Counts(
            self.calls,
            self.errors,
            self.timed,
            self.slow,
            self.cold_calls,
            self.cold_errors,
            self.answered,
            self.failed_answers,
            self.gauged,
            self.slow_answers,
        )


@dataclass(slots=True)
class _RouteCalls:
    threshold: LatencyThreshold = field(default_factory=LatencyThreshold)
    tallies: dict[str, _Tally] = field(default_factory=dict)

    def tally(self, server: str) -> _Tally:
        tally = self.tallies.get(server)
        if tally is None:
            tally = _Tally()
            self.tallies[server] = tally
        return tally

    def count_warm(self, server: str, sample: RecordSample) -> None:
        """Count a call; a failed one is slow too, so failing fast is no advantage."""
        tally = self.tally(server)
        tally.calls += 1
        tally.errors += not sample.ok
        if self.threshold.is_known():
            tally.timed += 1
            tally.slow += not sample.ok or self.threshold.is_slow(sample.elapsed_ms)

    def count_answer(self, sample: RecordSample, baseline_ms: float) -> None:
        """Count a call that the server answered, cold or not."""
        tally = self.tally(sample.server)
        tally.answered += 1
        tally.failed_answers += not sample.ok
        if math.isfinite(baseline_ms):
            is_slow = is_far_slower(sample.elapsed_ms, baseline_ms, sample.cold)
            tally.gauged += 1
            tally.slow_answers += is_slow or not sample.ok


class LocalCalls:
    """Count calls by route and server, slow ones by the old version's p95.

    Parameters
    ----------
    counts_answers : bool
        Whether answered calls are also counted separately. Default False.
    """

    def __init__(self, counts_answers: bool = False) -> None:
        self._counts_answers = counts_answers
        self._routes: dict[str, _RouteCalls] = {}
        self._cold = ColdServers()
        self.baselines = BaselineLatencies()

    def record_new(self, sample: RecordSample) -> None:
        """Record a call of the new version."""
        route = self._route(sample.route)
        if self._counts_answers and sample.answered:
            baseline_ms = self.baselines.baseline_ms(
                sample.route, route.threshold.baseline
            )
            route.count_answer(sample, baseline_ms)
        if sample.cold and self._cold.is_exempt(sample.now_ms, sample.server):
            tally = route.tally(sample.server)
            tally.cold_calls += 1
            tally.cold_errors += not sample.ok
            return
        route.count_warm(sample.server, sample)

    def record_old(self, sample: RecordSample) -> None:
        """Record a call of the old version."""
        route = self._route(sample.route)
        route.count_warm(OLD_VERSION, sample)
        if sample.ok:
            route.threshold.record(sample.elapsed_ms)

    def baseline_by_route(self) -> dict[str, BaselineLatency]:
        """Return the old version's latency on each route as this daemon saw it."""
        if not self._counts_answers:
            return {}
        return {
            name: route.threshold.baseline
            for name, route in self._routes.items()
            if route.threshold.baseline.calls
        }

    def drain(self) -> dict[RowKey, Counts]:
        """Return the counts since the last call of this method, and reset them."""
        counted = {}
        for name, route in self._routes.items():
            for server, tally in route.tallies.items():
                counted[RowKey(name, server)] = tally.counts()
            route.tallies = {}
        return counted

    def _route(self, name: str) -> _RouteCalls:
        route = self._routes.get(name)
        if route is not None:
            return route
        key = name if len(self._routes) < ROUTES_MAX else OTHER_ROUTES
        return self._routes.setdefault(key, _RouteCalls())
