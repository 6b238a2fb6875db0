"""Services that are being moved to another version: which servers may be asked."""

from collections.abc import Sequence
from dataclasses import dataclass

from cowsliploom.forwarding._servers import Server


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
    """Divide a service's calls between a new version and the old ones.

    Parameters
    ----------
    to_version : str
        New version.
    share : float or None
        Its share of the calls, from 0 to 1; None while that isn't known. The new
        version is then asked only where no other is left.

    Examples
    --------
    >>> split = VersionSplit('v2', share=0)
    >>> split.takes_new, split.takes_old
    (False, True)
    """

    to_version: str
    share: float | None = None

    @property
    def takes_new(self) -> bool:
        """Tell whether the new version may get calls at all."""
        return bool(self.share)

    @property
    def takes_old(self) -> bool:
        """Tell whether old versions may get calls at all."""
        return self.share is None or self.share < 1

    def allowed(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the servers that may be asked."""
        old = [server for server in servers if not self.is_new(server)]
        if self.share is None:
            has_old = any(server.takes_requests for server in old)
            return old if has_old else servers
        if not self.takes_old:
            return [server for server in servers if self.is_new(server)]
        return servers if self.takes_new else old

    def drawn(self, servers: Sequence[Server], draw: float) -> Sequence[Server]:
        """Return the servers of the version that a draw from 0 to 1 falls on.

        Where there are none of it, all are returned.
        """
        wants_new = draw < (self.share or 0)
        fitting = [server for server in servers if self.is_new(server) is wants_new]
        return fitting or servers

    def is_new(self, server: Server) -> bool:
        """Tell whether a server runs the new version."""
        return server.record.version == self.to_version
