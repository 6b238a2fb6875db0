"""In-process fake of the platform's store."""

import threading
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from cowsliploom.ports import (
    Absent,
    Clock,
    Conflict,
    Swapped,
    Unanswered,
    Unchanged,
)
from cowsliploom.protocol import LeaseCall, LeaseResult, StoredValue, VmList
from cowsliploom.standins._faults import (
    CallKind,
    StoreCounters,
    StoreFaults,
    StoreMode,
    applicable_mode,
    consume_fault,
    count_call,
)
from cowsliploom.standins._store import StoreState, value_too_large

Outcome = TypeVar('Outcome')


class MemoryStore:
    """In-memory implementation of the store port, with fault injection.

    A watch returns ``Unchanged`` immediately if there is no newer version, so
    that the test controls the passage of time.

    Parameters
    ----------
    clock : Clock
        Its ``wall_ms`` is the store's time.
    vms_lag_ms : float
        Delay until a change of the list of VMs becomes visible, in milliseconds.

    Examples
    --------
    >>> from cowsliploom.adapters import SystemClock
    >>> store = MemoryStore(SystemClock())
    >>> store.swap('a', 'text', 0, timeout_ms=100)
    Swapped(version=1)
    >>> store.faults = StoreFaults(StoreMode.LOSE_ANSWERS, calls=1)
    >>> store.swap('a', 'next', 1, timeout_ms=100).maybe_applied
    True
    >>> store.read('a', timeout_ms=100).value
    'next'
    """

    peer = 'memory'

    def __init__(self, clock: Clock, vms_lag_ms: float = 0) -> None:
        self.clock = clock
        self.state = StoreState(vms_lag_ms)
        self.faults = StoreFaults()
        self.counters = StoreCounters()
        self._lock = threading.RLock()

    def read(self, key: str, timeout_ms: float) -> StoredValue | Absent | Unanswered:
        """Read a key."""
        return self._call(
            CallKind.READ, key, timeout_ms, lambda now: self.state.read(key, now)
        )

    def swap(
        self, key: str, text: str, expected_version: int, timeout_ms: float
    ) -> Swapped | Conflict | Unanswered:
        """Write a key if it has the expected version (0: absent)."""
        if value_too_large(text):
            return self._unanswered(CallKind.SWAP, maybe_applied=False)
        outcome = self._call(
            CallKind.SWAP,
            key,
            timeout_ms,
            lambda now: self.state.swap(key, text, expected_version, now),
        )
        if isinstance(outcome, Conflict):
            conflicts = self.counters.conflicts + 1
            self.counters = replace(self.counters, conflicts=conflicts)
        return outcome

    def watch(
        self, key: str, after_version: int, wait_ms: float
    ) -> StoredValue | Unchanged | Unanswered:
        """Return a newer value or ``Unchanged``, without waiting."""
        found = self._call(
            CallKind.WATCH, key, wait_ms, lambda now: self.state.read(key, now)
        )
        if isinstance(found, Unanswered):
            return found
        if isinstance(found, Absent) or found.version <= after_version:
            return Unchanged(key)
        return found

    def lease(
        self, name: str, call: LeaseCall, timeout_ms: float
    ) -> LeaseResult | Unanswered:
        """Acquire, renew or release a lease."""
        return self._call(
            CallKind.LEASE,
            f'leases/{name}',
            timeout_ms,
            lambda now: self.state.lease(name, call, now).lease,
        )

    def list_vms(self, timeout_ms: float) -> VmList | Unanswered:
        """List the live and leaving VMs, subject to the lag."""
        return self._call(CallKind.LIST, 'vms', timeout_ms, self.state.list_vms)

    def put_vms(self, vms: VmList) -> None:
        """Replace the list of VMs."""
        self.state.put_vms(vms, self.clock.wall_ms())

    def _call(
        self,
        kind: CallKind,
        key: str,
        timeout_ms: float,
        operation: Callable[[float], Outcome],
    ) -> Outcome | Unanswered:
        with self._lock:
            mode = self._mode_of(kind, key)
            if mode in {StoreMode.DOWN, StoreMode.LOSE_REQUESTS}:
                lost = mode is StoreMode.LOSE_REQUESTS
                return self._unanswered(kind, maybe_applied=lost)
            outcome = operation(self.clock.wall_ms())
            late = mode is StoreMode.SLOW and self.faults.delay_ms > timeout_ms
            if late or mode is StoreMode.LOSE_ANSWERS:
                return self._unanswered(kind, maybe_applied=True)
            return outcome

    def _mode_of(self, kind: CallKind, key: str) -> StoreMode:
        self.counters = count_call(self.counters, kind)
        mode = applicable_mode(self.faults, kind, key)
        if mode is not StoreMode.OK:
            self.faults = consume_fault(self.faults)
            self.counters = replace(self.counters, faults=self.counters.faults + 1)
        return mode

    def _unanswered(self, kind: CallKind, *, maybe_applied: bool) -> Unanswered:
        return Unanswered(f'store.{kind}', self.peer, maybe_applied, 'injected fault')
