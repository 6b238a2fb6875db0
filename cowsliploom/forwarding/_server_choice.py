"""Choice of one server for a call among those that may be called."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cowsliploom.forwarding._leaving import LeavingPolicy, leaving_price_ms
from cowsliploom.forwarding._servers import Server

USABLE = 'usable'
COST_JITTER = 0.1  # keeps entry VMs from all choosing the same server
COLD_INTERVAL_MS = 500.0  # between requests that an owner sends to its cold server


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Inputs that bound the choice of a server for one call.

    Parameters
    ----------
    median_ms : float
        Median latency of calls of this kind, over all servers.
    calls_max : int
        Calls that this entry VM may have open at one server.
    target_ms : float
        Target latency of the request.
    sharers : int
        Entry VMs that may call the same servers.
    """

    median_ms: float
    calls_max: int
    target_ms: float = math.inf
    sharers: int = 1


def assess(server: Server, now_ms: float) -> str:
    """Return ``'usable'``, or why a server is called only if no other is left."""
    if not server.accepts_requests:
        return 'leaving' if server.standing.is_leaving else server.record.state.value
    if server.standing.is_paused(now_ms):
        return 'paused'
    if server.is_cold(now_ms):
        return 'cold'
    if server.is_full(now_ms):
        return 'full'
    return 'ejected' if server.is_ejected(now_ms) else USABLE


class ServerChoice:
    """Choose the server with the lowest expected cost; cold ones only by their owner.

    Parameters
    ----------
    generator : random.Random
        Source of the cost jitter.
    data_centre : str
        Data centre of this entry VM.
    owns : callable
        Returns whether this entry VM owns a server while it is cold.
    """

    def __init__(
        self, generator: random.Random, data_centre: str, owns: Callable[[str], bool]
    ) -> None:
        self.leaving = LeavingPolicy(data_centre)
        self._random = generator
        self._owns = owns
        self._cold_sent_ms: dict[str, float] = {}

    def choose(
        self, usable: Sequence[Server], now_ms: float, limits: CallLimits
    ) -> Server | None:
        """Return the server for one more call, or None if none has capacity."""
        warm = [server for server in usable if not server.is_cold(now_ms)]
        with_capacity = [
            server
            for server in warm
            if len(server.open_calls) < limits.calls_max and not server.is_full(now_ms)
        ]
        not_ejected = [
            server for server in with_capacity if not server.is_ejected(now_ms)
        ]
        chosen = self._cheapest(not_ejected or with_capacity, now_ms, limits)
        if chosen is None and not warm:
            return self._choose_cold(usable, now_ms)
        return chosen

    def forget(self, name: str) -> None:
        """Forget a removed server."""
        self._cold_sent_ms.pop(name, None)
        self.leaving.forget(name)

    def _cheapest(
        self, servers: list[Server], now_ms: float, limits: CallLimits
    ) -> Server | None:
        """Return the best server at home, unless leaving the data centre pays."""
        home = [server for server in servers if self.leaving.is_home(server)]
        away = [server for server in servers if not self.leaving.is_home(server)]
        median_ms = limits.median_ms
        best_home = self._lowest_cost(home, now_ms, median_ms)
        best_away = self._lowest_cost(away, now_ms, median_ms)
        if best_home is None or best_away is None:
            return best_home or best_away
        away_ms = best_away.expected_ms(now_ms, median_ms)
        pays = self.leaving.leaves(
            best_home.record.service,
            best_home.expected_ms(now_ms, median_ms),
            self.leaving.away_ms(best_away, away_ms),
            leaving_price_ms(limits.target_ms, median_ms),
            now_ms,
        )
        if pays and self.leaving.may_send(best_away, limits.sharers, now_ms):
            return best_away
        return best_home

    def _lowest_cost(
        self, servers: list[Server], now_ms: float, median_ms: float
    ) -> Server | None:
        if len(servers) < 2:
            return servers[0] if servers else None
        return min(servers, key=lambda server: self._cost(server, now_ms, median_ms))

    def _cost(self, server: Server, now_ms: float, median_ms: float) -> float:
        cost = server.expected_ms(now_ms, median_ms)
        return cost * self._random.uniform(1 - COST_JITTER, 1 + COST_JITTER)

    def _choose_cold(self, servers: Sequence[Server], now_ms: float) -> Server | None:
        """Return a cold server that this entry VM owns and has not called recently."""
        for server in servers:
            last_ms = self._cold_sent_ms.get(server.name, -COLD_INTERVAL_MS)
            if now_ms - last_ms >= COLD_INTERVAL_MS and self._owns(server.name):
                self._cold_sent_ms[server.name] = now_ms
                return server
        return None
