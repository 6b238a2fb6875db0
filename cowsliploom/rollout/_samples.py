"""What routing and version moves tell each other: calls, and shares of traffic."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecordSample:
    """Give one finished call as evidence on a version.

    ``ok`` is false for an error of the server's own, never for a refusal that
    our own load, deadline or cancellation caused. ``heard`` is false where nothing
    came from the server, so that the link may be at fault.
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
    """Give a new version its share of a service's traffic, from 0 to 1."""

    service: str
    from_version: str
    to_version: str
    share: float


@dataclass(frozen=True, slots=True)
class SharesChanged:
    """Take the shares of all running version moves; vetoed ones have share 0."""

    now_ms: float
    shares: tuple[VersionShare, ...]
