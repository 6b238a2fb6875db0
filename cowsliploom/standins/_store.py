"""State of the platform's key-value service, without sockets or clocks."""

from dataclasses import dataclass, replace

from cowsliploom.ports import Absent, Conflict, Swapped
from cowsliploom.protocol import LeaseCall, LeaseResult, StoredValue, VmList

VALUE_BYTES_MAX = 1_000_000  # the platform's limit of a value


@dataclass(frozen=True, slots=True)
class LeaseOutcome:
    """Result of a lease call and the current state of the lease."""

    granted: bool
    lease: LeaseResult


@dataclass(frozen=True, slots=True)
class _VmChange:
    visible_ms: float
    vms: VmList


def value_too_large(text: str) -> bool:
    """Return whether a value exceeds the platform's limit."""
    return len(text.encode()) > VALUE_BYTES_MAX


class StoreState:
    """Keys, leases and the list of VMs; each method is passed the store's time.

    Parameters
    ----------
    vms_lag_ms : float
        Delay until a change of the list of VMs becomes visible, in milliseconds.
    """

    def __init__(self, vms_lag_ms: float = 0) -> None:
        self.vms_lag_ms = vms_lag_ms
        self._values: dict[str, StoredValue] = {}
        self._leases: dict[str, LeaseResult] = {}
        self._changes: list[_VmChange] = []
        self._visible = VmList((), 0)

    def read(self, key: str, now_ms: float) -> StoredValue | Absent:
        """Read a key."""
        found = self._values.get(key)
        if found is None:
            return Absent(key)
        return replace(found, store_ms=now_ms)

    def version(self, key: str) -> int:
        """Return the version of a key; 0 if it is absent."""
        found = self._values.get(key)
        return found.version if found else 0

    def swap(
        self, key: str, text: str, expected_version: int, now_ms: float
    ) -> Swapped | Conflict:
        """Write a key if it has the expected version."""
        version = self.version(key)
        if version != expected_version:
            return Conflict(version)
        self._values[key] = StoredValue(key, version + 1, text, now_ms)
        return Swapped(version + 1)

    def lease(self, name: str, call: LeaseCall, now_ms: float) -> LeaseOutcome:
        """Acquire, renew or release a lease.

        Notes
        -----
        An expired lease cannot be renewed: its holder must acquire it again and
        gets a higher token. A holder that acquires its own unexpired lease again
        also gets a higher token, which fences off the token of a lost response.
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
        """Replace the list of VMs; the change becomes visible after the lag."""
        self._changes.append(_VmChange(now_ms + self.vms_lag_ms, vms))

    def list_vms(self, now_ms: float) -> VmList:
        """Return the list of VMs as of ``vms_lag_ms`` ago."""
        while self._changes and self._changes[0].visible_ms <= now_ms:
            self._visible = self._changes.pop(0).vms
        return VmList(self._visible.vms, now_ms)

    def _current_lease(self, name: str, now_ms: float) -> LeaseResult:
        lease = self._leases.get(name, LeaseResult(name, '', 0, 0, now_ms))
        if lease.expires_store_ms <= now_ms:
            lease = replace(lease, holder='')
        return replace(lease, store_ms=now_ms)


def _granted_lease(lease: LeaseResult, call: LeaseCall, now_ms: float) -> LeaseResult:
    if call.release:
        return replace(lease, holder='', expires_store_ms=now_ms)
    return replace(lease, holder=call.holder, expires_store_ms=now_ms + call.ttl_ms)
