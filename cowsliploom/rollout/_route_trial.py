"""A new version's calls on one route, set against the old version's."""

from cowsliploom.rollout._baseline_rates import AllowedRates, Baseline
from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._defect_test import Blocks, Finding, KindTests
from cowsliploom.rollout._moves import BadKind
from cowsliploom.rollout._sequential import Block
from cowsliploom.rollout._criteria import COMPARING, Strictness

COLD_ERROR_RATE = 0.5  # a cold server may fail half of its calls for a while
UNKNOWN_ERROR_RATE = 0.2  # allowed where the old version was never seen


class RouteTrial:
    """Compare a new version with the old one on one route.

    Parameters
    ----------
    route : str
        Name of the route.
    strictness : Strictness
        What is tested. By default that of the product.
    """

    def __init__(self, route: str, strictness: Strictness = COMPARING) -> None:
        self._strictness = strictness
        self._baseline = Baseline()
        self._old = Counts()
        self._new: dict[str, Counts] = {}
        self._tests = KindTests(route, strictness)

    def add_old(self, counts: Counts) -> None:
        """Take calls of the old version."""
        self._old += counts

    def add_new(self, server: str, counts: Counts) -> None:
        """Take calls of the new version on one server."""
        self._new[server] = self._new.get(server, Counts()) + counts

    def close_block(self, now_ms: float) -> Blocks | None:
        """Test the calls since the last block and return them, if there were any."""
        self._baseline.add(now_ms, self._old)
        self._old = Counts()
        if not self._new:
            return None
        blocks = _blocks(self._new, self._allowed(now_ms), self._strictness)
        self._new = {}
        self._tests.advance([blocks])
        return blocks

    @property
    def e_value(self) -> float:
        """Return the most evidence of any kind."""
        return self._tests.e_value

    def is_in_doubt(self, new_servers: int) -> bool:
        """Tell whether the version is to get no greater share for now."""
        return self._tests.is_in_doubt(new_servers)

    def strongest_finding(self) -> Finding:
        """Return the finding with the most evidence on this route."""
        return self._tests.strongest_finding()

    def find(
        self, now_ms: float, new_servers: int, e_value_min: float
    ) -> Finding | None:
        """Return why the version is bad on this route, if it is."""
        return self._tests.find(now_ms, new_servers, e_value_min)

    def _allowed(self, now_ms: float) -> AllowedRates:
        allowed = self._baseline.allowed(now_ms)
        if self._baseline.is_known():
            return allowed
        return AllowedRates(errors=UNKNOWN_ERROR_RATE, slow=allowed.slow)


def _blocks(
    new: dict[str, Counts], allowed: AllowedRates, strictness: Strictness
) -> Blocks:
    return {
        kind: {
            server: _block(kind, counts, allowed, strictness)
            for server, counts in new.items()
        }
        for kind in strictness.kinds
    }


def _block(
    kind: BadKind, counts: Counts, allowed: AllowedRates, strictness: Strictness
) -> Block:
    """Return a server's calls as a kind of badness counts them."""
    match kind:
        case BadKind.ERRORS:
            return Block(counts.calls, counts.errors, allowed.errors)
        case BadKind.SLOW:
            return Block(counts.timed, counts.slow, allowed.slow)
        case BadKind.COLD_ERRORS:
            return Block(counts.cold_calls, counts.cold_errors, COLD_ERROR_RATE)
        case BadKind.FAILED_ANSWERS:
            failed_rate = strictness.failed_rate_max
            return Block(counts.answered, counts.failed_answers, failed_rate)
        case BadKind.SLOW_ANSWERS:
            return Block(counts.gauged, counts.slow_answers, strictness.slow_rate_max)
