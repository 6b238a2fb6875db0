"""Calls that this daemon made itself, counted until the next block is tested."""

import math
from dataclasses import dataclass, field

from cowsliploom.rollout._baseline_rates import LatencyThreshold
from cowsliploom.rollout._cold import ColdServers
from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._evidence import OLD_VERSION, RowKey
from cowsliploom.rollout._samples import RecordSample
from cowsliploom.rollout._baseline_latency import Usual, UsualTimes, is_far_slower

ROUTES_MAX = 64  # routes told apart; further ones are counted as one
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
        """Count a call; a failed one is slow too, so failing fast is no merit."""
        tally = self.tally(server)
        tally.calls += 1
        tally.errors += not sample.ok
        if self.threshold.is_known():
            tally.timed += 1
            tally.slow += not sample.ok or self.threshold.is_slow(sample.elapsed_ms)

    def count_answer(self, sample: RecordSample, usual_ms: float) -> None:
        """Count a call that the server was heard on, cold or not."""
        tally = self.tally(sample.server)
        tally.answered += 1
        tally.failed_answers += not sample.ok
        if math.isfinite(usual_ms):
            is_slow = is_far_slower(sample.elapsed_ms, usual_ms, sample.cold)
            tally.gauged += 1
            tally.slow_answers += is_slow or not sample.ok


class OwnCalls:
    """Count calls by route and server, slow ones by the old version's p95.

    Parameters
    ----------
    counts_answers : bool
        Whether answers are counted by themselves too. Default False.
    """

    def __init__(self, counts_answers: bool = False) -> None:
        self._counts_answers = counts_answers
        self._routes: dict[str, _RouteCalls] = {}
        self._cold = ColdServers()
        self.usual = UsualTimes()

    def take_new(self, sample: RecordSample) -> None:
        """Count a call of the new version."""
        route = self._route(sample.route)
        if self._counts_answers and sample.answered:
            usual_ms = self.usual.known_ms(sample.route, route.threshold.usual)
            route.count_answer(sample, usual_ms)
        if sample.cold and self._cold.is_excused(sample.now_ms, sample.server):
            tally = route.tally(sample.server)
            tally.cold_calls += 1
            tally.cold_errors += not sample.ok
            return
        route.count_warm(sample.server, sample)

    def take_old(self, sample: RecordSample) -> None:
        """Count a call of the old version."""
        route = self._route(sample.route)
        route.count_warm(OLD_VERSION, sample)
        if sample.ok:
            route.threshold.record(sample.elapsed_ms)

    def usual_by_route(self) -> dict[str, Usual]:
        """Return what this daemon has seen of the old version on each route."""
        if not self._counts_answers:
            return {}
        return {
            name: route.threshold.usual
            for name, route in self._routes.items()
            if route.threshold.usual.calls
        }

    def drain(self) -> dict[RowKey, Counts]:
        """Return the counts since the last time."""
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
        slot = name if len(self._routes) < ROUTES_MAX else OTHER_ROUTES
        return self._routes.setdefault(slot, _RouteCalls())
