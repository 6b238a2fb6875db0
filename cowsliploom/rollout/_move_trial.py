"""All evidence on one attempt of a version move."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from cowsliploom.rollout._baseline_latency import CALLS_MIN, BaselineLatency, pooled
from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._criteria import (
    ANSWER_KINDS,
    DEFAULT_CRITERIA,
    VetoCriteria,
)
from cowsliploom.rollout._defect_evidence import DefectTests, Finding
from cowsliploom.rollout._evidence import OLD_VERSION, Evidence, RowKey
from cowsliploom.rollout._local_calls import OTHER_ROUTES, ROUTES_MAX, LocalCalls
from cowsliploom.rollout._moves import DefectKind, Move
from cowsliploom.rollout._route_trial import RouteTrial
from cowsliploom.rollout._samples import RecordSample

MOVE_ALPHA = 1e-4  # probability of rolling back a good version, over all daemons
ALL_ROUTES = 'all'  # a version that is bad on every route is detected here first
SUSPECT_E_VALUE = 30  # rare for a good version, which is only delayed
SOURCES_MAX = 256  # daemons whose evidence is added up


class MoveTrial:
    """Judge one attempt of a move from the counts of all daemons.

    Parameters
    ----------
    move : Move
        Attempt that is judged.
    criteria : VetoCriteria
        What is tested, and how much is enough. Default ``DEFAULT_CRITERIA``.
    reports_old_calls : bool
        Whether calls of the old version alone are worth announcing.

    Attributes
    ----------
    samples : int
        Calls of the new version, by all daemons.
    requests : int
        Calls of both versions; of other daemons, those since their first evidence.
    local_calls : int
        Calls of this daemon that are worth announcing.
    """

    def __init__(
        self,
        move: Move,
        criteria: VetoCriteria = DEFAULT_CRITERIA,
        reports_old_calls: bool = False,
    ) -> None:
        self.move = move
        self._reports_old_calls = reports_old_calls
        self.samples = 0
        self.requests = 0
        self.local_calls = 0
        self.local_rows: dict[RowKey, Counts] = {}
        self._criteria = criteria
        self._all_routes = DefectTests(ALL_ROUTES, criteria)
        self._routes: dict[str, RouteTrial] = {}
        self._local = LocalCalls(criteria.counts_answers)
        self._received: dict[str, Evidence] = {}

    def record_sample(self, sample: RecordSample) -> None:
        """Record a call of this daemon."""
        if sample.version == self.move.to_version:
            self.local_calls += 1
            self._local.record_new(sample)
        elif sample.version == self.move.from_version and not sample.cold:
            self.local_calls += self._reports_old_calls
            self._local.record_old(sample)

    def add_evidence(self, evidence: Evidence) -> None:
        """Add what another daemon's counts have grown by."""
        before = self._received.get(evidence.daemon)
        if before is None and len(self._received) >= SOURCES_MAX:
            return
        rows = {}
        if before is not None and before.incarnation == evidence.incarnation:
            rows = dict(before.rows)
        for key, counts in evidence.rows.items():
            growth = counts - rows.get(key, Counts())
            if growth.is_growth():
                rows[key] = counts
                self._add(key, growth)
                if before is not None:
                    self.requests += growth.total
        self._received[evidence.daemon] = replace(evidence, rows=rows)

    def find_defect(self, now_ms: float, entries: int) -> Finding | None:
        """Test the calls since the last block; return the defect found, if any."""
        self._add_local_calls()
        closed = [route.close_block(now_ms) for route in self._routes.values()]
        blocks = [block for block in closed if block is not None]
        if blocks:
            self._all_routes.advance(blocks)
        for number, test in enumerate(self._tests(), start=1):
            alpha = self._alpha() / (entries * number * (number + 1))
            finding = test.find_defect(now_ms, self.move.new_servers, 1 / alpha)
            if finding is not None:
                return finding
        return None

    def strongest_finding(self) -> Finding:
        """Return the finding with the most evidence, whether or not it is enough."""
        return max((test.strongest_finding() for test in self._tests()), key=_strength)

    def is_suspect(self) -> bool:
        """Return whether there is some evidence, possibly too little for a veto."""
        return any(test.e_value >= SUSPECT_E_VALUE for test in self._tests())

    def local_baseline(self) -> Mapping[str, BaselineLatency]:
        """Return the old version's latency on each route as this daemon saw it."""
        return self._local.baseline_by_route()

    def baseline_ms(self) -> Mapping[str, float]:
        """Return the baseline latency of each route, pooled over all daemons."""
        sources = [
            self.local_baseline(),
            *(received.usual for received in self._received.values()),
        ]
        routes = {route for source in sources for route in source}
        by_route = {
            route: pooled(source.get(route, BaselineLatency()) for source in sources)
            for route in routes
        }
        return {
            route: baseline.p95_ms
            for route, baseline in by_route.items()
            if baseline.calls >= CALLS_MIN
        }

    def set_baseline(self, baseline_ms: Mapping[str, float]) -> None:
        """Set the baseline latencies that are stored with the move's state."""
        self._local.baselines.set_shared(baseline_ms)

    def is_inconclusive(self) -> bool:
        """Return whether the share must not be raised for now."""
        criteria = self._criteria
        return self._is_in_doubt(criteria.inconclusive_e_value, criteria.kinds)

    def is_unproven(self) -> bool:
        """Return whether the move must not finish for now."""
        criteria = self._criteria
        if not criteria.counts_answers:
            return False
        return self._is_in_doubt(criteria.unproven_e_value, ANSWER_KINDS)

    def _is_in_doubt(self, e_value_min: float, kinds: Iterable[DefectKind]) -> bool:
        return any(
            test.is_in_doubt(self.move.new_servers, e_value_min, kinds)
            for test in self._tests()
        )

    def _alpha(self) -> float:
        """Return the probability of a false veto for each kind of defect."""
        criteria = self._criteria
        return MOVE_ALPHA * criteria.false_veto_ratio / len(criteria.kinds)

    def _tests(self) -> tuple[DefectTests | RouteTrial, ...]:
        return (self._all_routes, *self._routes.values())

    def _add_local_calls(self) -> None:
        for key, counts in self._local.drain().items():
            self.local_rows[key] = self.local_rows.get(key, Counts()) + counts
            self._add(key, counts)
            self.requests += counts.total

    def _add(self, key: RowKey, counts: Counts) -> None:
        route = self._route_key(key.route)
        trial = self._routes.setdefault(route, RouteTrial(route, self._criteria))
        if key.server == OLD_VERSION:
            trial.add_old(counts)
            return
        trial.add_new(key.server, counts)
        self.samples += counts.total

    def _route_key(self, route: str) -> str:
        if route in self._routes or len(self._routes) < ROUTES_MAX:
            return route
        return OTHER_ROUTES


def _strength(finding: Finding) -> float:
    return finding.e_value
