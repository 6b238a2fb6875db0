"""Messages between routing and version moves: finished calls, shares of traffic."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecordSample:
    """Report one finished call as evidence on a version.

    ``ok`` is false for an error of the server's own, never for a refusal caused by
    this daemon's load, deadline or cancellation. ``answered`` is false if nothing was
    received from the server, so that the link may be at fault.
    """

    now_ms: float
    service: str
    route: str
    version: str
    server: str
    elapsed_ms: float
    ok: bool
    cold: bool
    answered: bool = True


@dataclass(frozen=True, slots=True)
class VersionShare:
    """Assign a new version its share of a service's traffic, from 0 to 1."""

    service: str
    from_version: str
    to_version: str
    share: float


@dataclass(frozen=True, slots=True)
class SharesChanged:
    """Report the shares of all running version moves; 0 for vetoed versions."""

    now_ms: float
    shares: tuple[VersionShare, ...]
