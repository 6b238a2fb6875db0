"""Tests of a new version against the old one on one route."""

from cowsliploom.rollout._baseline import Baseline
from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._kind_test import Block, Finding, KindTest
from cowsliploom.rollout._moves import BadKind

COLD_ERROR_RATE = 0.5  # a cold server may fail half of its calls for a while
UNKNOWN_ERROR_RATE = 0.2  # allowed where the old version was never seen


class RouteTrial:
    """Compare a new version with the old one on one route.

    Parameters
    ----------
    route : str
        Name of the route.
    """

    def __init__(self, route: str) -> None:
        self.route = route
        self._baseline = Baseline()
        self._old = Counts()
        self._new: dict[str, Counts] = {}
        self._errors = KindTest(BadKind.ERRORS)
        self._slow = KindTest(BadKind.SLOW)
        self._cold = KindTest(BadKind.COLD_ERRORS)

    def add_old(self, counts: Counts) -> None:
        """Take calls of the old version."""
        self._old += counts

    def add_new(self, server: str, counts: Counts) -> None:
        """Take calls of the new version on one server."""
        self._new[server] = self._new.get(server, Counts()) + counts

    def close_block(self, now_ms: float) -> None:
        """Test the calls taken since the last block."""
        self._baseline.add(now_ms, self._old)
        new = self._new
        self._old = Counts()
        self._new = {}
        if not new:
            return
        allowed = self._baseline.allowed(now_ms)
        errors, slow = UNKNOWN_ERROR_RATE, allowed.slow
        if self._baseline.is_known():
            errors = allowed.errors
        self._errors.advance(
            {name: Block(row.calls, row.errors) for name, row in new.items()}, errors
        )
        self._slow.advance(
            {name: Block(row.timed, row.slow) for name, row in new.items()}, slow
        )
        cold = {
            name: Block(row.cold_calls, row.cold_errors) for name, row in new.items()
        }
        self._cold.advance(cold, COLD_ERROR_RATE)

    def find(
        self, now_ms: float, new_servers: int, e_value_min: float
    ) -> Finding | None:
        """Return why the version is bad on this route, if it is."""
        for test in (self._errors, self._slow, self._cold):
            finding = test.find(now_ms, self.route, new_servers, e_value_min)
            if finding is not None:
                return finding
        return None
