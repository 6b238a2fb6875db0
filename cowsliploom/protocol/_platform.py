"""Messages of the platform's key-value store and its VM list.

Values are text of at most a megabyte. Version 0 means that a key is absent.
``store_ms`` is the store's own clock, in milliseconds since the epoch.
"""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Return a key's value (``GET /kv/{key}``, also with ``after_version``).

    ``GET /kv/{key}?after_version=N&wait_ms=T`` responds as soon as the version is
    above N, or with status 204 after T milliseconds.
    """

    key: str
    version: int
    value: str
    store_ms: float


@dataclass(frozen=True, slots=True)
class PutValue:
    """Write a key if its version equals ``expected_version`` (``PUT /kv/{key}``)."""

    value: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class PutResult:
    """Return the version written (200) or the conflicting current version (409)."""

    key: str
    version: int
    store_ms: float


@dataclass(frozen=True, slots=True)
class LeaseCall:
    """Acquire, renew or release a lease (``POST /leases/{name}``).

    Parameters
    ----------
    holder : str
        Identity and incarnation of the holder.
    ttl_ms : float
        Lifetime of the lease from the time the store receives it, in milliseconds.
    token : int
        Fencing token held; 0 to acquire.
    release : bool
        Release the lease instead of renewing it.
    """

    holder: str
    ttl_ms: float
    token: int = 0
    release: bool = False


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """Return the stored lease: granted (200), or held by another holder (409)."""

    name: str
    holder: str
    token: int
    expires_store_ms: float
    store_ms: float


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class VmInfo:
    """Describe one VM in the platform's list; ``role`` is `entry` or `backend`.

    ``address`` is the peer address (host:port) of an entry VM.
    """

    name: str
    role: str
    address: str
    data_centre: str
    state: VmState = VmState.LIVE


@dataclass(frozen=True, slots=True)
class VmList:
    """Return the list of VMs (``GET /vms``); it may be stale.

    ``unreadable`` holds the errors of malformed entries, which are left out.
    """

    vms: tuple[VmInfo, ...]
    store_ms: float
    unreadable: tuple[str, ...] = ()
