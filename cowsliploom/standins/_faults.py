"""Fault switches and call counters of the platform stand-in."""

from dataclasses import dataclass, replace
from enum import StrEnum

CALLS_UNLIMITED = -1


class StoreMode(StrEnum):
    """Name what the store does with a call.

    ``down`` and ``lose_requests`` do nothing; a caller in the same process is
    told by ``down`` that no byte arrived, and by ``lose_requests`` that some may
    have. ``lose_answers`` acts and gives no answer. ``slow`` acts and answers
    late.
    """

    OK = 'ok'
    DOWN = 'down'
    SLOW = 'slow'
    LOSE_REQUESTS = 'lose_requests'
    LOSE_ANSWERS = 'lose_answers'


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Switch a fault on (``PUT /admin/faults``).

    Parameters
    ----------
    mode : StoreMode
        What happens to the calls concerned.
    delay_ms : float
        Delay of an answer in mode ``slow``, in milliseconds.
    calls : int
        Calls concerned before the mode is ``ok`` again; -1 for no end.
    key_prefix : str
        Concern only keys that start so; leases are ``leases/{name}``, the list
        of VMs is ``vms``.
    writes_only : bool
        Concern only swaps and leases.
    """

    mode: StoreMode = StoreMode.OK
    delay_ms: float = 0
    calls: int = CALLS_UNLIMITED
    key_prefix: str = ''
    writes_only: bool = False


class CallKind(StrEnum):
    """Name a kind of call on the store."""

    READ = 'read'
    SWAP = 'swap'
    WATCH = 'watch'
    LEASE = 'lease'
    LIST = 'list'


@dataclass(frozen=True, slots=True)
class StoreCounters:
    """Count calls by kind, failed ones included (``GET /admin/counters``)."""

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
    """Return the counters after one more call."""
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


def fault_of(faults: StoreFaults, kind: CallKind, key: str) -> StoreMode:
    """Return the mode that concerns a call."""
    if faults.calls == 0 or not key.startswith(faults.key_prefix):
        return StoreMode.OK
    if faults.writes_only and kind not in {CallKind.SWAP, CallKind.LEASE}:
        return StoreMode.OK
    return faults.mode


def use_fault(faults: StoreFaults) -> StoreFaults:
    """Return the switch after it has concerned one call."""
    if faults.calls <= 0:
        return faults
    return replace(faults, calls=faults.calls - 1)
