"""Test of one kind of badness on one route, over all servers of a version."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from cowsliploom.rollout._moves import BadKind
from cowsliploom.rollout._sequential import Block, EProcess
from cowsliploom.rollout._criteria import COMPARING, Strictness

SERVERS_MAX = 64  # servers told apart; further ones are counted as one
CLEAR_RATIO = 20  # how much likelier one explanation must be than the other
RECENT_CALLS = 100  # latest calls of a server that tell how bad it is now
RATE_MAX = 0.99  # keeps likelihoods finite
OTHER_SERVERS = 'others'


class _Others(Enum):
    GOOD = auto()
    BAD = auto()
    UNCLEAR = auto()


@dataclass(frozen=True, slots=True)
class Finding:
    """Tell why a version is bad on a route."""

    route: str
    kind: BadKind
    calls: int
    bad: int
    allowed_rate: float
    e_value: float

    def __str__(self) -> str:
        """Return the finding in a short line for operators."""
        return (
            f'route {self.route!r}: {self.bad} of {self.calls} calls bad '
            f'({self.kind}), allowed rate {self.allowed_rate:.3f}, '
            f'e-value {self.e_value:.3g}'
        )


@dataclass(frozen=True, slots=True)
class _Evidence:
    process: EProcess = EProcess()
    calls: int = 0
    bad: int = 0
    allowed_rate: float = 1
    recent_calls: float = 0
    recent_bad: float = 0

    @property
    def recent_rate(self) -> float:
        """Return the rate of bad calls now; few calls count as half bad."""
        rate = (self.recent_bad + 1 / 2) / (self.recent_calls + 1)
        return min(RATE_MAX, max(rate, self.allowed_rate))

    def log_likelihood_ratio(self, rate: float) -> float:
        """Compare ``rate`` with the allowed one on the latest calls."""
        good = self.recent_calls - self.recent_bad
        log_bad = self.recent_bad * math.log(rate / self.allowed_rate)
        return log_bad + good * math.log((1 - rate) / (1 - self.allowed_rate))

    def advance(self, blocks: tuple[Block, ...], horizon_blocks: int) -> '_Evidence':
        calls = sum(block.calls for block in blocks)
        if not calls:
            return self
        bad = sum(block.bad for block in blocks)
        allowed = sum(block.calls * block.allowed_rate for block in blocks)
        keep = 1 / 2 if self.recent_calls > RECENT_CALLS else 1
        return _Evidence(
            process=self.process.advance(blocks, horizon_blocks),
            calls=self.calls + calls,
            bad=self.bad + bad,
            allowed_rate=allowed / calls,
            recent_calls=self.recent_calls * keep + calls,
            recent_bad=self.recent_bad * keep + bad,
        )


class KindTest:
    """Test one kind of badness of a version on a route.

    Notes
    -----
    One bad server isn't a bad version. When all calls together are evidence
    enough, the worst server is left out and the latest calls of the others are
    looked at: if they are likelier under the worst server's rate, the version
    goes; if under the allowed rate, it stays, and from then on the square root of
    the evidence against the others is enough, as one server is bad already. If
    they don't tell within a short time, it goes, so that a version on one warm
    server can't hide behind cold ones.
    """

    def __init__(self, kind: BadKind, strictness: Strictness = COMPARING) -> None:
        self.kind = kind
        self._strictness = strictness
        self._all = _Evidence()
        self._servers: dict[str, _Evidence] = {}
        self._crossed_ms = math.inf

    def advance(self, blocks: Mapping[str, tuple[Block, ...]]) -> None:
        """Take the calls on each server, from one route or several."""
        horizon_blocks = self._strictness.horizon_blocks
        self._all = self._all.advance(
            tuple(block for seen in blocks.values() for block in seen), horizon_blocks
        )
        for server, seen in blocks.items():
            name = self._slot(server)
            before = self._servers.get(name, _Evidence())
            self._servers[name] = before.advance(seen, horizon_blocks)

    @property
    def e_value(self) -> float:
        """Return the evidence on all servers together."""
        return self._all.process.e_value

    def find(
        self, now_ms: float, route: str, new_servers: int, e_value_min: float
    ) -> Finding | None:
        """Return why the version is bad, if there is evidence enough."""
        if self.e_value < e_value_min:
            self._crossed_ms = math.inf
            return None
        self._crossed_ms = min(self._crossed_ms, now_ms)
        match self._others(new_servers, math.sqrt(e_value_min)):
            case _Others.GOOD:
                return None
            case _Others.UNCLEAR:
                waits_until_ms = self._crossed_ms + self._strictness.clear_wait_ms
                if now_ms < waits_until_ms:
                    return None
        return self.finding(route)

    def is_in_doubt(self, new_servers: int) -> bool:
        """Tell whether the version is to get no greater share for now."""
        doubt = self._strictness.doubt_e_value
        if self.e_value < doubt:
            return False
        return self._others(new_servers, math.sqrt(doubt)) is not _Others.GOOD

    def finding(self, route: str) -> Finding:
        """Return what the calls have come to so far, enough for a veto or not."""
        return Finding(
            route=route,
            kind=self.kind,
            calls=self._all.calls,
            bad=self._all.bad,
            allowed_rate=self._all.allowed_rate,
            e_value=self.e_value,
        )

    def _slot(self, server: str) -> str:
        if server in self._servers or len(self._servers) < SERVERS_MAX:
            return server
        return OTHER_SERVERS

    def _others(self, new_servers: int, e_value_min: float) -> '_Others':
        """Tell what the servers but the worst one are like."""
        if new_servers == 1:
            return _Others.BAD
        ranked = sorted(
            (evidence for evidence in self._servers.values() if evidence.calls),
            key=lambda evidence: evidence.process.e_value,
        )
        *others, worst = ranked
        log_ratio = sum(
            other.log_likelihood_ratio(worst.recent_rate) for other in others
        )
        if log_ratio >= math.log(CLEAR_RATIO):
            return _Others.BAD
        if log_ratio > -math.log(CLEAR_RATIO):
            return _Others.UNCLEAR
        e_values = [other.process.e_value for other in others]
        is_good = sum(e_values) / len(e_values) < e_value_min
        return _Others.GOOD if is_good else _Others.BAD


Blocks = Mapping[BadKind, Mapping[str, Block]]


class KindTests:
    """Test all kinds of badness, on one route or over all routes.

    Parameters
    ----------
    route : str
        Name of the route, for operators.
    strictness : Strictness
        What is tested. By default that of the product.
    """

    def __init__(self, route: str, strictness: Strictness = COMPARING) -> None:
        self.route = route
        self._tests = {kind: KindTest(kind, strictness) for kind in strictness.kinds}

    def advance(self, routes: Iterable[Blocks]) -> None:
        """Take the calls of the same time on one or more routes."""
        seen = tuple(routes)
        for kind, test in self._tests.items():
            by_server: dict[str, tuple[Block, ...]] = {}
            for blocks in seen:
                for server, block in blocks[kind].items():
                    by_server[server] = (*by_server.get(server, ()), block)
            test.advance(by_server)

    @property
    def e_value(self) -> float:
        """Return the most evidence of any kind."""
        return max(test.e_value for test in self._tests.values())

    def is_in_doubt(self, new_servers: int) -> bool:
        """Tell whether the version is to get no greater share for now."""
        return any(test.is_in_doubt(new_servers) for test in self._tests.values())

    def strongest_finding(self) -> Finding:
        """Return the finding with the most evidence."""
        test = max(self._tests.values(), key=_evidence)
        return test.finding(self.route)

    def find(
        self, now_ms: float, new_servers: int, e_value_min: float
    ) -> Finding | None:
        """Return why the version is bad, if it is."""
        for test in self._tests.values():
            finding = test.find(now_ms, self.route, new_servers, e_value_min)
            if finding is not None:
                return finding
        return None


def _evidence(test: KindTest) -> tuple[float, int]:
    return test.e_value, test.finding('').calls
