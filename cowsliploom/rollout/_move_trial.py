"""All evidence on one attempt of a version move."""

from collections.abc import Mapping
from dataclasses import replace

from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._evidence import OLD_VERSION, Evidence, RowKey
from cowsliploom.rollout._defect_test import Finding, KindTests
from cowsliploom.rollout._moves import Move
from cowsliploom.rollout._local_calls import OTHER_ROUTES, ROUTES_MAX, OwnCalls
from cowsliploom.rollout._route_trial import RouteTrial
from cowsliploom.rollout._samples import RecordSample
from cowsliploom.rollout._criteria import COMPARING, Strictness
from cowsliploom.rollout._baseline_latency import CALLS_MIN, Usual, pooled

MOVE_ALPHA = 1e-4  # chance of taking back a good version, over all daemons
ALL_ROUTES = 'all'  # a version that is bad everywhere shows here first
SUSPECT_E_VALUE = 30  # a good version rarely shows this much, and only loses time
SOURCES_MAX = 256  # daemons whose evidence is added up


class MoveTrial:
    """Judge one attempt of a move from this daemon's and others' counts.

    Parameters
    ----------
    move : Move
        Attempt that is judged.
    strictness : Strictness
        What is tested, and how much is enough. By default that of the product.
    tells_old : bool
        Whether calls of the old version are worth telling by themselves.

    Attributes
    ----------
    samples : int
        Calls of the new version that were heard of.
    requests : int
        Calls of both versions; of another daemon, those since it was first heard.
    own_calls : int
        Calls of this daemon's own that are worth telling.
    """

    def __init__(
        self,
        move: Move,
        strictness: Strictness = COMPARING,
        tells_old: bool = False,
    ) -> None:
        self.move = move
        self._tells_old = tells_old
        self.samples = 0
        self.requests = 0
        self.own_calls = 0
        self.own_rows: dict[RowKey, Counts] = {}
        self._strictness = strictness
        self._all_routes = KindTests(ALL_ROUTES, strictness)
        self._routes: dict[str, RouteTrial] = {}
        self._own = OwnCalls(strictness.counts_answers)
        self._heard: dict[str, Evidence] = {}

    def take_sample(self, sample: RecordSample) -> None:
        """Take a call of this daemon's own."""
        if sample.version == self.move.to_version:
            self.own_calls += 1
            self._own.take_new(sample)
        elif sample.version == self.move.from_version and not sample.cold:
            self.own_calls += self._tells_old
            self._own.take_old(sample)

    def take_evidence(self, evidence: Evidence) -> None:
        """Take another daemon's counts; only what they grew by is new."""
        before = self._heard.get(evidence.daemon)
        if before is None and len(self._heard) >= SOURCES_MAX:
            return
        known = {}
        if before is not None and before.incarnation == evidence.incarnation:
            known = dict(before.rows)
        for key, counts in evidence.rows.items():
            growth = counts - known.get(key, Counts())
            if growth.is_growth():
                known[key] = counts
                self._take(key, growth)
                if before is not None:
                    self.requests += growth.total
        self._heard[evidence.daemon] = replace(evidence, rows=known)

    def find(self, now_ms: float, entries: int) -> Finding | None:
        """Test the calls since the last time; return why the version is bad."""
        self._take_own_calls()
        closed = [route.close_block(now_ms) for route in self._routes.values()]
        blocks = [block for block in closed if block is not None]
        if blocks:
            self._all_routes.advance(blocks)
        for number, test in enumerate(self._tests(), start=1):
            alpha = self._alpha() / (entries * number * (number + 1))
            finding = test.find(now_ms, self.move.new_servers, 1 / alpha)
            if finding is not None:
                return finding
        return None

    def strongest_finding(self) -> Finding:
        """Return the finding with the most evidence, enough for a veto or not."""
        return max((test.strongest_finding() for test in self._tests()), key=_e_value)

    def is_suspect(self) -> bool:
        """Tell whether there is some evidence, though not enough for a veto."""
        return any(test.e_value >= SUSPECT_E_VALUE for test in self._tests())

    def own_usual(self) -> Mapping[str, Usual]:
        """Return what this daemon has seen of the old version on each route."""
        return self._own.usual_by_route()

    def usual_ms(self) -> Mapping[str, float]:
        """Return what is usual on each route, from what all have seen."""
        seen = [self.own_usual(), *(heard.usual for heard in self._heard.values())]
        routes = {route for usual in seen for route in usual}
        by_route = {
            route: pooled(usual.get(route, Usual()) for usual in seen)
            for route in routes
        }
        return {
            route: usual.p95_ms
            for route, usual in by_route.items()
            if usual.calls >= CALLS_MIN
        }

    def give_usual(self, usual_ms: Mapping[str, float]) -> None:
        """Take what all daemons together found usual."""
        self._own.usual.give(usual_ms)

    def is_in_doubt(self) -> bool:
        """Tell whether the version is to get no greater share for now."""
        return any(test.is_in_doubt(self.move.new_servers) for test in self._tests())

    def _alpha(self) -> float:
        """Return the chance of taking a good version back for each kind of badness."""
        strictness = self._strictness
        return MOVE_ALPHA * strictness.false_veto_ratio / len(strictness.kinds)

    def _tests(self) -> tuple[KindTests | RouteTrial, ...]:
        return (self._all_routes, *self._routes.values())

    def _take_own_calls(self) -> None:
        for key, counts in self._own.drain().items():
            self.own_rows[key] = self.own_rows.get(key, Counts()) + counts
            self._take(key, counts)
            self.requests += counts.total

    def _take(self, key: RowKey, counts: Counts) -> None:
        route = self._slot(key.route)
        trial = self._routes.setdefault(route, RouteTrial(route, self._strictness))
        if key.server == OLD_VERSION:
            trial.add_old(counts)
            return
        trial.add_new(key.server, counts)
        self.samples += counts.total

    def _slot(self, route: str) -> str:
        if route in self._routes or len(self._routes) < ROUTES_MAX:
            return route
        return OTHER_ROUTES


def _e_value(finding: Finding) -> float:
    return finding.e_value
