"""All backend servers that an entry VM knows, and the choice among them."""

import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

from cowsliploom.forwarding._moves import VersionSplit, VersionSplits
from cowsliploom.forwarding._servers import (
    Server,
    ServerHealthChange,
    ServerRecord,
    keep_silent,
)

CONNECTIONS_SHARE = 0.85  # the rest covers replaced and silent connections
FAR_RATIO = 2.0  # a server elsewhere has to be this much quicker, as its bytes cost
NOISE = 0.1  # keeps entry VMs from choosing alike
COLD_GAP_MS = 500.0  # between two requests of a cold server's owner


@dataclass(frozen=True, slots=True)
class ServerChange:
    """Tell that a server is new, changed or gone."""

    name: str
    what: str
    service: str = ''


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Bound the choice of a server for one call.

    Parameters
    ----------
    usual_ms : float
        What calls of this kind usually take, at any server.
    calls_max : int
        Calls that this entry VM may have open at one server.
    """

    usual_ms: float
    calls_max: int


class Fleet:
    """Own the backend servers.

    Parameters
    ----------
    seed : int
        Seed of the generator that breaks ties.
    data_centre : str
        Where this entry VM stands.
    owns : callable
        Tells whether this entry VM owns a server while it is cold.

    Attributes
    ----------
    layout : int
        Changes with the servers or their states.
    """

    def __init__(
        self, seed: int, data_centre: str, owns: Callable[[str], bool]
    ) -> None:
        self.data_centre = data_centre
        self.on_health_change: Callable[[ServerHealthChange], None] = keep_silent
        self.owns = owns
        self.sharers = 1
        self.layout = 0
        self.closed_data_centres: frozenset[str] = frozenset()
        self._random = random.Random(seed)
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}
        self._cold_sent_ms: dict[str, float] = {}
        self._splits = VersionSplits()

    def __len__(self) -> int:
        """Return the number of servers."""
        return len(self._servers)

    def __iter__(self) -> Iterator[Server]:
        """Go through all servers."""
        return iter(self._servers.values())

    def get(self, name: str) -> Server | None:
        """Return a server by the name of its incarnation."""
        return self._servers.get(name)

    def serving(self, service: str) -> list[Server]:
        """Return the servers of a service."""
        return self._by_service.get(service, [])

    def update(
        self, records: Iterable[ServerRecord], now_ms: float
    ) -> list[ServerChange]:
        """Take the whole set of registrations and tell what changed."""
        heard = {record.name: record for record in records}
        changes = [
            self._remove(name) for name in list(self._servers) if name not in heard
        ]
        for record in heard.values():
            change = self._take(record, now_ms)
            if change is not None:
                changes.append(change)
        self.layout += bool(changes)
        return changes

    def split(self, service: str, split: VersionSplit | None) -> None:
        """Divide a service's requests between versions, or no longer."""
        self.layout += self._splits.split(service, split)

    def block_versions(self, service: str, versions: frozenset[str]) -> bool:
        """Keep all requests from some versions of a service; tell whether it is new."""
        is_new = self._splits.block_versions(service, versions)
        self.layout += is_new
        return is_new

    def places(self, service: str) -> frozenset[str]:
        """Return the data centres that have a server for new requests."""
        return frozenset(
            server.record.data_centre for server in self._usable(service, ())
        )

    def choose(
        self,
        service: str,
        tried: Iterable[str],
        now_ms: float,
        limits: CallLimits,
        request_id: str = '',
    ) -> Server | None:
        """Return the server for one more call, or None when none can take it.

        Parameters
        ----------
        service : str
            Service that is asked.
        tried : iterable of str
            Servers that had their attempt.
        now_ms : float
            Time by the own steady clock.
        limits : CallLimits
            What a call usually takes, and how many may be open at one server.
        request_id : str
            Decides between versions where the service is being moved.
        """
        for side in self._sides(service, tried, request_id):
            chosen = self._choose_among(side, now_ms, limits)
            if chosen is not None:
                return chosen
        return None

    def has_usable(
        self, service: str, tried: Iterable[str], request_id: str = ''
    ) -> bool:
        """Tell whether a server may take a call, now or when it has room."""
        return any(self._sides(service, tried, request_id))

    def _choose_among(
        self, usable: Sequence[Server], now_ms: float, limits: CallLimits
    ) -> Server | None:
        warm = [server for server in usable if not server.is_cold(now_ms)]
        open_to_calls = [
            server
            for server in warm
            if len(server.open_calls) < limits.calls_max
            and now_ms >= server.full_until_ms
        ]
        rested = [server for server in open_to_calls if not server.is_resting(now_ms)]
        chosen = self._quickest(rested or open_to_calls, now_ms, limits.usual_ms)
        if chosen is None and not warm:
            return self._choose_cold(usable, now_ms)
        return chosen

    def _sides(
        self, service: str, tried: Iterable[str], request_id: str
    ) -> tuple[Sequence[Server], ...]:
        usable = self._usable(service, tried)
        return self._splits.sides(service, usable, request_id)

    def _usable(self, service: str, tried: Iterable[str]) -> list[Server]:
        closed = self.closed_data_centres
        servers = self._by_service.get(service, ())
        return [
            server
            for server in self._splits.allowed(service, servers)
            if server.takes_requests
            and server.name not in tried
            and server.record.data_centre not in closed
        ]

    def _quickest(
        self, servers: list[Server], now_ms: float, usual_ms: float
    ) -> Server | None:
        if len(servers) < 2:
            return servers[0] if servers else None
        return min(servers, key=lambda server: self._cost(server, now_ms, usual_ms))

    def _cost(self, server: Server, now_ms: float, usual_ms: float) -> float:
        cost = server.expected_ms(now_ms, usual_ms)
        if server.record.data_centre != self.data_centre:
            cost *= FAR_RATIO
        return cost * self._random.uniform(1 - NOISE, 1 + NOISE)

    def _choose_cold(self, servers: Sequence[Server], now_ms: float) -> Server | None:
        """Return a cold server that this entry VM owns and hasn't just asked."""
        for server in servers:
            last_ms = self._cold_sent_ms.get(server.name, -COLD_GAP_MS)
            if now_ms - last_ms >= COLD_GAP_MS and self.owns(server.name):
                self._cold_sent_ms[server.name] = now_ms
                return server
        return None

    def _tell(self, belief: ServerHealthChange) -> None:
        self.on_health_change(belief)

    def _take(self, record: ServerRecord, now_ms: float) -> ServerChange | None:
        known = self._servers.get(record.name)
        if known is not None and not _is_reborn(known.record, record):
            if known.record == record:
                return None
            state = known.record.state
            known.take_record(record, now_ms)
            if state is record.state:
                return None
            return ServerChange(record.name, record.state, record.service)
        if known is not None:
            self._remove(record.name)
        server = Server(record, now_ms, self._tell)
        self._servers[record.name] = server
        self._by_service.setdefault(record.service, []).append(server)
        return ServerChange(record.name, 'new', record.service)

    def _remove(self, name: str) -> ServerChange:
        server = self._servers.pop(name)
        server.is_gone = True
        self._cold_sent_ms.pop(name, None)
        service = server.record.service
        self._by_service[service].remove(server)
        return ServerChange(name, 'gone', service)


def _is_reborn(known: ServerRecord, heard: ServerRecord) -> bool:
    """Tell whether a name now stands for another start, another place or service."""
    moved = (known.address, known.service) != (heard.address, heard.service)
    restarted = heard.born_ms > known.born_ms or (
        heard.born_ms == known.born_ms and heard.sequence < known.sequence
    )
    return moved or restarted


def calls_max(connections_max: int, sharers: int) -> int:
    """Return how many connections one entry VM may hold at one server.

    Examples
    --------
    >>> calls_max(26, sharers=8)
    2
    """
    return max(1, int(connections_max * CONNECTIONS_SHARE / max(1, sharers)))
