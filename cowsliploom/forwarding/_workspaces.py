"""Workspaces, the digests of their keys, and who may use a route."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

DIGEST_BYTES = 20


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer whose callers identify themselves by keys.

    Parameters
    ----------
    name : str
        Name, which backend servers receive; empty for callers without a key.
    rank : int or None
        Priority that takes precedence over the route's; 0 is the highest.
    """

    name: str = ''
    rank: int | None = None


NO_WORKSPACE = Workspace()


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is looked up.

    Keys are compared by digests only, so neither the time of a look-up nor a dump of
    the table tells anything about a key.
    """
    return hashlib.blake2b(key.encode('latin-1'), digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class WorkspaceTable:
    """Workspaces of one configuration, by the digests of their keys.

    Examples
    --------
    >>> table = WorkspaceTable({key_digest('k-1'): Workspace('ada')})
    >>> table.find('k-1')
    Workspace(name='ada', rank=None)
    >>> table.find('k-2') is None
    True
    """

    by_digest: Mapping[bytes, Workspace] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Whether callers need keys at all."""
        return bool(self.by_digest)

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, or None."""
        return self.by_digest.get(key_digest(key)) if key else None
