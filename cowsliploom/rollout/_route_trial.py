"""Comparison of a new version's calls on one route with the old version's."""

from collections.abc import Iterable

from cowsliploom.rollout._baseline_rates import AllowedRates, BaselineRates
from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._criteria import DEFAULT_CRITERIA, VetoCriteria
from cowsliploom.rollout._defect_evidence import BlocksByKind, DefectTests, Finding
from cowsliploom.rollout._moves import DefectKind
from cowsliploom.rollout._sequential import Block

COLD_ERROR_RATE = 0.5  # allowed while a cold server's calls are exempt
UNKNOWN_ERROR_RATE = 0.2  # allowed where no call of the old version was counted


class RouteTrial:
    """Compare a new version with the old one on one route.

    Parameters
    ----------
    route : str
        Name of the route.
    criteria : VetoCriteria
        What is tested. Default ``DEFAULT_CRITERIA``.
    """

    def __init__(self, route: str, criteria: VetoCriteria = DEFAULT_CRITERIA) -> None:
        self._criteria = criteria
        self._baseline = BaselineRates()
        self._old = Counts()
        self._new: dict[str, Counts] = {}
        self._tests = DefectTests(route, criteria)

    def add_old(self, counts: Counts) -> None:
        """Add calls of the old version."""
        self._old += counts

    def add_new(self, server: str, counts: Counts) -> None:
        """Add calls of the new version on one server."""
        self._new[server] = self._new.get(server, Counts()) + counts

    def close_block(self, now_ms: float) -> BlocksByKind | None:
        """Test the calls since the last block; return them, or None without any."""
        self._baseline.add(now_ms, self._old)
        self._old = Counts()
        if not self._new:
            return None
        blocks = _blocks(self._new, self._allowed(now_ms), self._criteria)
        self._new = {}
        self._tests.advance([blocks])
        return blocks

    @property
    def e_value(self) -> float:
        """Return the most evidence of any kind of defect."""
        return self._tests.e_value

    def is_in_doubt(
        self, new_servers: int, e_value_min: float, kinds: Iterable[DefectKind]
    ) -> bool:
        """Return whether a test has this much evidence, not only on one server."""
        return self._tests.is_in_doubt(new_servers, e_value_min, kinds)

    def strongest_finding(self) -> Finding:
        """Return the finding with the most evidence on this route."""
        return self._tests.strongest_finding()

    def find_defect(
        self, now_ms: float, new_servers: int, e_value_min: float
    ) -> Finding | None:
        """Return the first defect with enough evidence for a veto, if any."""
        return self._tests.find_defect(now_ms, new_servers, e_value_min)

    def _allowed(self, now_ms: float) -> AllowedRates:
        allowed = self._baseline.allowed(now_ms)
        if self._baseline.is_known():
            return allowed
        return AllowedRates(errors=UNKNOWN_ERROR_RATE, slow=allowed.slow)


def _blocks(
    new: dict[str, Counts], allowed: AllowedRates, criteria: VetoCriteria
) -> BlocksByKind:
    return {
        kind: {
            server: _block(kind, counts, allowed, criteria)
            for server, counts in new.items()
        }
        for kind in criteria.kinds
    }


def _block(
    kind: DefectKind, counts: Counts, allowed: AllowedRates, criteria: VetoCriteria
) -> Block:
    """Return the calls of a server that count for a kind of defect."""
    match kind:
        case DefectKind.ERRORS:
            return Block(counts.calls, counts.errors, allowed.errors)
        case DefectKind.SLOW:
            return Block(counts.timed, counts.slow, allowed.slow)
        case DefectKind.COLD_ERRORS:
            return Block(counts.cold_calls, counts.cold_errors, COLD_ERROR_RATE)
        case DefectKind.FAILED_ANSWERS:
            failed_rate = criteria.failed_rate_max
            return Block(counts.answered, counts.failed_answers, failed_rate)
        case DefectKind.SLOW_ANSWERS:
            return Block(counts.gauged, counts.slow_answers, criteria.slow_rate_max)
