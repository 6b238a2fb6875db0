"""Services that are being moved to another version: which servers may be asked."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from cowsliploom.forwarding._servers import Server

DRAWS = 2**64


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Hold an operator's order to move a service to another version.

    Parameters
    ----------
    service, to_version : str
        What is moved, and to which version; all others are old.
    given_ms : float
        Time within which a good version is to have all requests.
    revision : int
        The store's revision of the order; another one is another order.
    """

    service: str
    to_version: str
    given_ms: float
    revision: int


@dataclass(frozen=True, slots=True)
class VersionSplit:
    """Divide a service's requests between a new version and the old ones.

    Parameters
    ----------
    to_version : str
        New version.
    share : float or None
        Its share of the requests, from 0 to 1; None while that isn't known, and the
        new version then gets none.

    Examples
    --------
    >>> split = VersionSplit('v2', share=0.5)
    >>> split.sides(0.7), split.sides(0.2)
    ((False,), (True, False))
    """

    to_version: str
    share: float | None = None

    def sides(self, draw: float) -> tuple[bool, ...]:
        """Return whom a request asks, the new version (True) or old ones, in order.

        A request that falls to the old versions never reaches the new one, also where
        none of the old ones can take it.

        Parameters
        ----------
        draw : float
            Drawn for the request, from 0 to 1.
        """
        share = self.share or 0
        if share >= 1:
            return (True,)
        return (True, False) if draw < share else (False,)

    def is_new(self, server: Server) -> bool:
        """Tell whether a server runs the new version."""
        return server.record.version == self.to_version


def draw_of(request_id: str, service: str) -> float:
    """Return a request's draw from 0 to 1, the same at each of its calls.

    Examples
    --------
    >>> draw_of('r-1', 'rota') == draw_of('r-1', 'rota') != draw_of('r-2', 'rota')
    True
    """
    return xxhash.xxh3_64_intdigest(f'{service}\n{request_id}'.encode()) / DRAWS


class VersionSplits:
    """Own which versions of which services get requests."""

    def __init__(self) -> None:
        self._splits: dict[str, VersionSplit] = {}
        self._barred: dict[str, frozenset[str]] = {}

    def split(self, service: str, split: VersionSplit | None) -> bool:
        """Divide a service's requests, or no longer; tell whether that is new."""
        if self._splits.get(service) == split:
            return False
        if split is None:
            self._splits.pop(service)
        else:
            self._splits[service] = split
        return True

    def block_versions(self, service: str, versions: frozenset[str]) -> bool:
        """Keep all requests from some versions; tell whether that is new."""
        is_new = self._barred.get(service, frozenset()) != versions
        self._barred[service] = versions
        return is_new

    def allowed(self, service: str, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the servers that some request may be sent to."""
        barred = self._barred.get(service, frozenset())
        split = self._splits.get(service)
        if split is None and not barred:
            return servers
        allowed = [server for server in servers if server.record.version not in barred]
        if split is None:
            return allowed
        sides = {*split.sides(0), *split.sides(1)}
        return [server for server in allowed if split.is_new(server) in sides]

    def sides(
        self, service: str, servers: Sequence[Server], request_id: str
    ) -> tuple[Sequence[Server], ...]:
        """Return the servers of each version that a request may ask, in order."""
        split = self._splits.get(service)
        if split is None:
            return (servers,)
        return tuple(
            [server for server in servers if split.is_new(server) is is_new]
            for is_new in split.sides(draw_of(request_id, service))
        )
