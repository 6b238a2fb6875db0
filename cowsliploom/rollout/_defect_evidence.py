"""Test for one kind of defect on one route, over all servers of a version."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from cowsliploom.rollout._criteria import DEFAULT_CRITERIA, VetoCriteria
from cowsliploom.rollout._moves import DefectKind
from cowsliploom.rollout._sequential import Block, EProcess

SERVERS_MAX = 64  # servers counted separately; further ones are counted as one
ATTRIBUTION_RATIO = 20  # likelihood ratio that decides between server and version
RECENT_CALLS = 100  # latest calls of a server that estimate its current rate
RATE_MAX = 0.99  # keeps likelihoods finite
OTHER_SERVERS = 'others'


class _OtherServers(Enum):
    GOOD = auto()
    BAD = auto()
    UNCLEAR = auto()


@dataclass(frozen=True, slots=True)
class Finding:
    """Describe the evidence that a version is bad on a route."""

    route: str
    kind: DefectKind
    calls: int
    bad: int
    allowed_rate: float
    e_value: float

    def __str__(self) -> str:
        """Return the finding as one short line for operators."""
        return (
            f'route {self.route!r}: {self.bad} of {self.calls} calls bad '
            f'({self.kind}), allowed rate {self.allowed_rate:.3f}, '
            f'e-value {self.e_value:.3g}'
        )


@dataclass(frozen=True, slots=True)
class _RateEvidence:
    process: EProcess = EProcess()
    calls: int = 0
    bad: int = 0
    allowed_rate: float = 1
    recent_calls: float = 0
    recent_bad: float = 0

    @property
    def recent_rate(self) -> float:
        """Return the current rate of bad calls, shrunk towards 1/2 for few calls."""
        rate = (self.recent_bad + 1 / 2) / (self.recent_calls + 1)
        return min(RATE_MAX, max(rate, self.allowed_rate))

    def log_likelihood_ratio(self, rate: float) -> float:
        """Return the log likelihood ratio of ``rate`` to the allowed rate."""
        good = self.recent_calls - self.recent_bad
        log_bad = self.recent_bad * math.log(rate / self.allowed_rate)
        return log_bad + good * math.log((1 - rate) / (1 - self.allowed_rate))

    def advance(
        self, blocks: tuple[Block, ...], horizon_blocks: int
    ) -> '_RateEvidence':
        calls = sum(block.calls for block in blocks)
        if not calls:
            return self
        bad = sum(block.bad for block in blocks)
        allowed = sum(block.calls * block.allowed_rate for block in blocks)
        keep = 1 / 2 if self.recent_calls > RECENT_CALLS else 1
        return _RateEvidence(
            process=self.process.advance(blocks, horizon_blocks),
            calls=self.calls + calls,
            bad=self.bad + bad,
            allowed_rate=allowed / calls,
            recent_calls=self.recent_calls * keep + calls,
            recent_bad=self.recent_bad * keep + bad,
        )


class DefectTest:
    """Test for one kind of defect of a version on a route.

    Notes
    -----
    One bad server doesn't make a bad version. Once all calls together are enough
    evidence, the worst server is left out and the latest calls of the others are
    examined. If these are likelier under the worst server's rate, the version is
    rejected. If they are likelier under the allowed rate, it stays; from then on the
    square root of the required evidence suffices against the others, as one server
    is bad already. If they remain unclear for ``attribution_wait_ms``, the version is
    rejected, so that a bad version on one warm server isn't hidden by cold servers.
    """

    def __init__(
        self, kind: DefectKind, criteria: VetoCriteria = DEFAULT_CRITERIA
    ) -> None:
        self.kind = kind
        self._criteria = criteria
        self._all = _RateEvidence()
        self._servers: dict[str, _RateEvidence] = {}
        self._threshold_crossed_ms = math.inf

    def advance(self, blocks: Mapping[str, tuple[Block, ...]]) -> None:
        """Add the calls of each server, from one route or several."""
        horizon_blocks = self._criteria.horizon_blocks
        self._all = self._all.advance(
            tuple(block for parts in blocks.values() for block in parts),
            horizon_blocks,
        )
        for server, parts in blocks.items():
            key = self._server_key(server)
            before = self._servers.get(key, _RateEvidence())
            self._servers[key] = before.advance(parts, horizon_blocks)

    @property
    def e_value(self) -> float:
        """Return the evidence over all servers together."""
        return self._all.process.e_value

    def find_defect(
        self, now_ms: float, route: str, new_servers: int, e_value_min: float
    ) -> Finding | None:
        """Return the defect if there is enough evidence for a veto."""
        if self.e_value < e_value_min:
            self._threshold_crossed_ms = math.inf
            return None
        self._threshold_crossed_ms = min(self._threshold_crossed_ms, now_ms)
        match self._classify_others(new_servers, math.sqrt(e_value_min)):
            case _OtherServers.GOOD:
                return None
            case _OtherServers.UNCLEAR:
                wait_until_ms = (
                    self._threshold_crossed_ms + self._criteria.attribution_wait_ms
                )
                if now_ms < wait_until_ms:
                    return None
        return self.current_finding(route)

    def is_in_doubt(self, new_servers: int, e_value_min: float) -> bool:
        """Return whether there is this much evidence, not only on one server."""
        if self.e_value < e_value_min:
            return False
        return (
            self._classify_others(new_servers, math.sqrt(e_value_min))
            is not _OtherServers.GOOD
        )

    def current_finding(self, route: str) -> Finding:
        """Return the evidence so far, whether or not it is enough for a veto."""
        return Finding(
            route=route,
            kind=self.kind,
            calls=self._all.calls,
            bad=self._all.bad,
            allowed_rate=self._all.allowed_rate,
            e_value=self.e_value,
        )

    def _server_key(self, server: str) -> str:
        if server in self._servers or len(self._servers) < SERVERS_MAX:
            return server
        return OTHER_SERVERS

    def _classify_others(self, new_servers: int, e_value_min: float) -> '_OtherServers':
        """Classify the servers other than the worst one."""
        if new_servers == 1:
            return _OtherServers.BAD
        ranked = sorted(
            (evidence for evidence in self._servers.values() if evidence.calls),
            key=lambda evidence: evidence.process.e_value,
        )
        *others, worst = ranked
        log_ratio = sum(
            other.log_likelihood_ratio(worst.recent_rate) for other in others
        )
        if log_ratio >= math.log(ATTRIBUTION_RATIO):
            return _OtherServers.BAD
        if log_ratio > -math.log(ATTRIBUTION_RATIO):
            return _OtherServers.UNCLEAR
        e_values = [other.process.e_value for other in others]
        is_good = sum(e_values) / len(e_values) < e_value_min
        return _OtherServers.GOOD if is_good else _OtherServers.BAD


BlocksByKind = Mapping[DefectKind, Mapping[str, Block]]


class DefectTests:
    """Test for all kinds of defects, on one route or over all routes.

    Parameters
    ----------
    route : str
        Name of the route, for operators.
    criteria : VetoCriteria
        What is tested. Default ``DEFAULT_CRITERIA``.
    """

    def __init__(self, route: str, criteria: VetoCriteria = DEFAULT_CRITERIA) -> None:
        self.route = route
        self._tests = {kind: DefectTest(kind, criteria) for kind in criteria.kinds}

    def advance(self, routes: Iterable[BlocksByKind]) -> None:
        """Add the calls of the same block on one or more routes."""
        simultaneous = tuple(routes)
        for kind, test in self._tests.items():
            by_server: dict[str, tuple[Block, ...]] = {}
            for blocks in simultaneous:
                for server, block in blocks[kind].items():
                    by_server[server] = (*by_server.get(server, ()), block)
            test.advance(by_server)

    @property
    def e_value(self) -> float:
        """Return the most evidence of any kind of defect."""
        return max(test.e_value for test in self._tests.values())

    def is_in_doubt(
        self, new_servers: int, e_value_min: float, kinds: Iterable[DefectKind]
    ) -> bool:
        """Return whether a test has this much evidence, not only on one server."""
        return any(
            self._tests[kind].is_in_doubt(new_servers, e_value_min) for kind in kinds
        )

    def strongest_finding(self) -> Finding:
        """Return the finding with the most evidence."""
        test = max(self._tests.values(), key=_strength)
        return test.current_finding(self.route)

    def find_defect(
        self, now_ms: float, new_servers: int, e_value_min: float
    ) -> Finding | None:
        """Return the first defect with enough evidence for a veto, if any."""
        for test in self._tests.values():
            finding = test.find_defect(now_ms, self.route, new_servers, e_value_min)
            if finding is not None:
                return finding
        return None


def _strength(test: DefectTest) -> tuple[float, int]:
    return test.e_value, test.current_finding('').calls
