"""Interface of the platform's key-value store."""

from dataclasses import dataclass
from typing import Protocol

from cowsliploom.protocol import LeaseCall, LeaseResult, StoredValue, VmList


@dataclass(frozen=True, slots=True)
class Swapped:
    """Report that a compare-and-swap took effect at ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Report that the key is at ``version`` instead; nothing is written."""

    version: int


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Report a call without a usable response; a write may have taken effect.

    Parameters
    ----------
    step : str
        Operation that failed, such as ``'store.swap'``.
    peer : str
        Address of the store.
    maybe_applied : bool
        False only if no byte of the request can have reached the store.
    reason : str
        Error text or status received.
    """

    step: str
    peer: str
    maybe_applied: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Absent:
    """Report that a key has no value."""

    key: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """Report that a watch ended without a newer version."""

    key: str


class Store(Protocol):
    """Access keys, leases and the VM list; outages are returned, not raised."""

    def read(self, key: str, timeout_ms: float) -> StoredValue | Absent | Unanswered:
        """Read the value and version of a key."""
        ...

    def swap(
        self, key: str, text: str, expected_version: int, timeout_ms: float
    ) -> Swapped | Conflict | Unanswered:
        """Write a key if its version equals ``expected_version`` (0: absent)."""
        ...

    def watch(
        self, key: str, after_version: int, wait_ms: float
    ) -> StoredValue | Unchanged | Unanswered:
        """Wait until a key's version is above ``after_version``."""
        ...

    def lease(
        self, name: str, call: LeaseCall, timeout_ms: float
    ) -> LeaseResult | Unanswered:
        """Acquire, renew or release a lease.

        The result is the lease as stored; its holder and token show whether it is
        held.
        """
        ...

    def list_vms(self, timeout_ms: float) -> VmList | Unanswered:
        """List the live and leaving VMs; the list may be stale."""
        ...
