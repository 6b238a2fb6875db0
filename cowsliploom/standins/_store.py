"""State of the platform's key-value service, without sockets or clocks."""

from dataclasses import dataclass, replace

from cowsliploom.ports import Absent, Conflict, Swapped
from cowsliploom.protocol import LeaseCall, LeaseResult, StoredValue, VmList

VALUE_BYTES_MAX = 1_000_000  # the platform holds values up to a megabyte


@dataclass(frozen=True, slots=True)
class LeaseOutcome:
    """Tell whether a lease call was granted, and the lease as it now stands."""

    granted: bool
    lease: LeaseResult


@dataclass(frozen=True, slots=True)
class _VmChange:
    visible_ms: float
    vms: VmList


def value_too_large(text: str) -> bool:
    """Tell whether a value is over the platform's limit."""
    return len(text.encode()) > VALUE_BYTES_MAX


class StoreState:
    """Hold keys, leases and the list of VMs; each call takes the store's time.

    Parameters
    ----------
    vms_lag_ms : float
        Time until a change of the list of VMs can be seen, in milliseconds.
    """

    def __init__(self, vms_lag_ms: float = 0) -> None:
        self.vms_lag_ms = vms_lag_ms
        self._values: dict[str, StoredValue] = {}
        self._leases: dict[str, LeaseResult] = {}
        self._changes: list[_VmChange] = []
        self._seen = VmList((), 0)

    def read(self, key: str, now_ms: float) -> StoredValue | Absent:
        """Read a key."""
        found = self._values.get(key)
        if found is None:
            return Absent(key)
        return replace(found, store_ms=now_ms)

    def version(self, key: str) -> int:
        """Return a key's version; 0 when it is absent."""
        found = self._values.get(key)
        return found.version if found else 0

    def swap(
        self, key: str, text: str, expected_version: int, now_ms: float
    ) -> Swapped | Conflict:
        """Write a key if its version is the expected one."""
        version = self.version(key)
        if version != expected_version:
            return Conflict(version)
        self._values[key] = StoredValue(key, version + 1, text, now_ms)
        return Swapped(version + 1)

    def lease(self, name: str, call: LeaseCall, now_ms: float) -> LeaseOutcome:
        """Acquire, renew or release a lease.

        Notes
        -----
        A lapsed lease cannot be renewed: its holder has to acquire it anew, and
        gets a higher token. A holder that acquires its own unexpired lease again
        also gets a higher token, so that the answer lost before is fenced off.
        """
        lease = self._current_lease(name, now_ms)
        if call.token == 0:
            granted = lease.holder in {'', call.holder}
            token = lease.token + 1
        else:
            granted = (lease.holder, lease.token) == (call.holder, call.token)
            token = call.token
        if granted:
            lease = _granted_lease(replace(lease, token=token), call, now_ms)
            self._leases[name] = lease
        return LeaseOutcome(granted, lease)

    def put_vms(self, vms: VmList, now_ms: float) -> None:
        """Set the true list of VMs; it is seen after the lag."""
        self._changes.append(_VmChange(now_ms + self.vms_lag_ms, vms))

    def list_vms(self, now_ms: float) -> VmList:
        """Return the list of VMs as it was a lag ago."""
        while self._changes and self._changes[0].visible_ms <= now_ms:
            self._seen = self._changes.pop(0).vms
        return VmList(self._seen.vms, now_ms)

    def _current_lease(self, name: str, now_ms: float) -> LeaseResult:
        lease = self._leases.get(name, LeaseResult(name, '', 0, 0, now_ms))
        if lease.expires_store_ms <= now_ms:
            lease = replace(lease, holder='')
        return replace(lease, store_ms=now_ms)


def _granted_lease(lease: LeaseResult, call: LeaseCall, now_ms: float) -> LeaseResult:
    if call.release:
        return replace(lease, holder='', expires_store_ms=now_ms)
    return replace(lease, holder=call.holder, expires_store_ms=now_ms + call.ttl_ms)
