"""Injected faults and call counters of the platform stand-in."""

from dataclasses import dataclass, replace
from enum import StrEnum

CALLS_UNLIMITED = -1


class StoreMode(StrEnum):
    """Handling of a call by the store.

    ``down`` and ``lose_requests`` drop the call without applying it. The
    in-process store reports a write as not applied under ``down`` and as possibly
    applied under ``lose_requests``. ``lose_answers`` applies the call and drops the
    response. ``slow`` applies the call and delays the response.
    """

    OK = 'ok'
    DOWN = 'down'
    SLOW = 'slow'
    LOSE_REQUESTS = 'lose_requests'
    LOSE_ANSWERS = 'lose_answers'


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Active fault of the store (``PUT /admin/faults``).

    Parameters
    ----------
    mode : StoreMode
        Handling of the affected calls.
    delay_ms : float
        Response delay in mode ``slow``, in milliseconds.
    calls : int
        Number of calls affected before the mode is ``ok`` again; -1 for no limit.
    key_prefix : str
        Affect only keys with this prefix; the key of a lease is
        ``leases/{name}``, that of the list of VMs ``vms``.
    writes_only : bool
        Affect only swaps and leases.
    """

    mode: StoreMode = StoreMode.OK
    delay_ms: float = 0
    calls: int = CALLS_UNLIMITED
    key_prefix: str = ''
    writes_only: bool = False


class CallKind(StrEnum):
    """Kind of a store call."""

    READ = 'read'
    SWAP = 'swap'
    WATCH = 'watch'
    LEASE = 'lease'
    LIST = 'list'


@dataclass(frozen=True, slots=True)
class StoreCounters:
    """Calls by kind, including failed ones (``GET /admin/counters``)."""

    reads: int = 0
    swaps: int = 0
    watches: int = 0
    leases: int = 0
    lists: int = 0
    conflicts: int = 0
    faults: int = 0
    watches_waiting: int = 0
    watches_waiting_max: int = 0


def count_call(counters: StoreCounters, kind: CallKind) -> StoreCounters:
    """Return the counters with one more call of a kind."""
    match kind:
        case CallKind.READ:
            return replace(counters, reads=counters.reads + 1)
        case CallKind.SWAP:
            return replace(counters, swaps=counters.swaps + 1)
        case CallKind.WATCH:
            return replace(counters, watches=counters.watches + 1)
        case CallKind.LEASE:
            return replace(counters, leases=counters.leases + 1)
        case CallKind.LIST:
            return replace(counters, lists=counters.lists + 1)


def applicable_mode(faults: StoreFaults, kind: CallKind, key: str) -> StoreMode:
    """Return the mode that applies to a call."""
    if faults.calls == 0 or not key.startswith(faults.key_prefix):
        return StoreMode.OK
    if faults.writes_only and kind not in {CallKind.SWAP, CallKind.LEASE}:
        return StoreMode.OK
    return faults.mode


def consume_fault(faults: StoreFaults) -> StoreFaults:
    """Return the fault with one remaining call less if its calls are limited."""
    if faults.calls <= 0:
        return faults
    return replace(faults, calls=faults.calls - 1)
