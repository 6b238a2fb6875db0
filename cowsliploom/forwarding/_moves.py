"""Request split between versions during version moves, and blocked versions."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from cowsliploom.forwarding._servers import Server

HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Move request of an operator: a service goes to another version.

    Parameters
    ----------
    service, to_version : str
        Service and target version; all other versions are old.
    given_ms : float
        Time within which a good version must receive all requests.
    revision : int
        Store revision of the move request; another revision is another request.
    """

    service: str
    to_version: str
    given_ms: float
    revision: int


@dataclass(frozen=True, slots=True)
class VersionSplit:
    """Split of a service's requests between a new version and the old ones.

    Parameters
    ----------
    to_version : str
        New version.
    share : float or None
        Share of the requests for the new version, from 0 to 1. None while it is
        unknown; the new version then gets none.

    Examples
    --------
    >>> split = VersionSplit('v2', share=0.5)
    >>> split.version_order(0.7), split.version_order(0.2)
    ((False,), (True, False))
    """

    to_version: str
    share: float | None = None

    def version_order(self, fraction: float) -> tuple[bool, ...]:
        """Return the versions to try in order: the new one (True) or old ones (False).

        A request assigned to the old versions never reaches the new one, even if no
        old server has capacity.

        Parameters
        ----------
        fraction : float
            Position of the request in the split, from 0 to 1.
        """
        share = self.share or 0
        if share >= 1:
            return (True,)
        return (True, False) if fraction < share else (False,)

    def is_new(self, server: Server) -> bool:
        """Return whether a server runs the new version."""
        return server.record.version == self.to_version


def request_fraction(request_id: str, service: str) -> float:
    """Return a request's hash as a fraction of 1; all its calls get the same one.

    Examples
    --------
    >>> first = request_fraction('r-1', 'rota')
    >>> first == request_fraction('r-1', 'rota') != request_fraction('r-2', 'rota')
    True
    """
    return xxhash.xxh3_64_intdigest(f'{service}\n{request_id}'.encode()) / HASH_RANGE


class VersionSplits:
    """Version splits and blocked versions, by service."""

    def __init__(self) -> None:
        self._splits: dict[str, VersionSplit] = {}
        self._blocked: dict[str, frozenset[str]] = {}

    def split(self, service: str, split: VersionSplit | None) -> bool:
        """Set or, with None, end the split of a service; return whether it changed."""
        if self._splits.get(service) == split:
            return False
        if split is None:
            self._splits.pop(service)
        else:
            self._splits[service] = split
        return True

    def block_versions(self, service: str, versions: frozenset[str]) -> bool:
        """Set the blocked versions of a service; return whether they changed."""
        is_new = self._blocked.get(service, frozenset()) != versions
        self._blocked[service] = versions
        return is_new

    def allowed(self, service: str, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the servers whose version may receive requests."""
        blocked = self._blocked.get(service, frozenset())
        split = self._splits.get(service)
        if split is None and not blocked:
            return servers
        allowed = [server for server in servers if server.record.version not in blocked]
        if split is None:
            return allowed
        versions = {*split.version_order(0), *split.version_order(1)}
        return [server for server in allowed if split.is_new(server) in versions]

    def candidate_groups(
        self, service: str, servers: Sequence[Server], request_id: str
    ) -> tuple[Sequence[Server], ...]:
        """Return the candidate servers of a request by version, in the order to try."""
        split = self._splits.get(service)
        if split is None:
            return (servers,)
        return tuple(
            [server for server in servers if split.is_new(server) is is_new]
            for is_new in split.version_order(request_fraction(request_id, service))
        )
