"""Test of one kind of badness on one route, over all servers of a version."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from cowsliploom.rollout._moves import BadKind
from cowsliploom.rollout._sequential import EProcess

SERVERS_MAX = 64  # servers told apart; further ones are counted as one
CLEAR_CALLS = 20  # calls that let the other servers speak for a version
CLEAR_WAIT_MS = 2000  # so long may they take to get these calls
OTHER_SERVERS = 'others'


@dataclass(frozen=True, slots=True)
class Block:
    """Hold calls of one kind on one server, and the bad ones among them."""

    calls: int = 0
    bad: int = 0


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

    def advance(self, block: Block, allowed_rate: float) -> '_Evidence':
        process = self.process.advance(block.calls, block.bad, allowed_rate)
        return _Evidence(process, self.calls + block.calls, self.bad + block.bad)


class KindTest:
    """Test one kind of badness of a version on a route.

    Notes
    -----
    One bad server isn't a bad version. When all calls together are evidence
    enough, the worst server is left out: if the others had calls and aren't
    suspect, the version stays, and if they had none within a short time, it goes,
    so that a version on one warm server can't hide behind cold ones. Against the
    others the square root of the evidence is enough, as one server is bad already.
    """

    def __init__(self, kind: BadKind) -> None:
        self.kind = kind
        self._all = _Evidence()
        self._servers: dict[str, _Evidence] = {}
        self._allowed_rate = 1.0
        self._crossed_ms = math.inf

    def advance(self, blocks: Mapping[str, Block], allowed_rate: float) -> None:
        """Take a block of calls for each server."""
        calls = sum(block.calls for block in blocks.values())
        if not calls:
            return
        bad = sum(block.bad for block in blocks.values())
        self._allowed_rate = allowed_rate
        self._all = self._all.advance(Block(calls, bad), allowed_rate)
        for server, block in blocks.items():
            if block.calls:
                name = self._slot(server)
                before = self._servers.get(name, _Evidence())
                self._servers[name] = before.advance(block, allowed_rate)

    def find(
        self, now_ms: float, route: str, new_servers: int, e_value_min: float
    ) -> Finding | None:
        """Return why the version is bad, if there is evidence enough."""
        e_value = self._all.process.e_value
        if e_value < e_value_min:
            self._crossed_ms = math.inf
            return None
        self._crossed_ms = min(self._crossed_ms, now_ms)
        if self._others_clear(now_ms, new_servers, math.sqrt(e_value_min)):
            return None
        return Finding(
            route,
            self.kind,
            self._all.calls,
            self._all.bad,
            self._allowed_rate,
            e_value,
        )

    def _slot(self, server: str) -> str:
        if server in self._servers or len(self._servers) < SERVERS_MAX:
            return server
        return OTHER_SERVERS

    def _others_clear(
        self, now_ms: float, new_servers: int, e_value_min: float
    ) -> bool:
        if new_servers == 1:
            return False
        ranked = sorted(
            self._servers.values(), key=lambda evidence: evidence.process.e_value
        )
        others = ranked[:-1]
        if sum(evidence.calls for evidence in others) < CLEAR_CALLS:
            return now_ms < self._crossed_ms + CLEAR_WAIT_MS
        e_values = [evidence.process.e_value for evidence in others]
        return sum(e_values) / len(e_values) < e_value_min
