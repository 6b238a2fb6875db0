"""Metrics of the operator daemon, recorded by one task."""

from concurrent.futures import Future
from dataclasses import dataclass

from cowsliploom.adapters import Metrics
from cowsliploom.daemons._inbox import InboxTask
from cowsliploom.ports import (
    Absent,
    Conflict,
    Store,
    Swapped,
    Unanswered,
    Unchanged,
)
from cowsliploom.protocol import LeaseCall, LeaseResult, StoredValue, VmList


@dataclass(frozen=True, slots=True)
class CounterIncremented:
    """Increment a counter."""

    name: str


@dataclass(frozen=True, slots=True)
class LatencyRecorded:
    """Record the latency of a response, in milliseconds."""

    work: str
    caller: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class MetricsRequested:
    """Request the text of ``/metrics``."""

    answer: 'Future[str]'


MetricsMessage = CounterIncremented | LatencyRecorded | MetricsRequested
MetricsTask = InboxTask[MetricsMessage]


class MetricsRecorder:
    """Message handler that records samples and renders them."""

    def __init__(self) -> None:
        self._metrics = Metrics()

    def __call__(self, message: MetricsMessage) -> None:
        """Handle one message."""
        match message:
            case CounterIncremented(name):
                self._metrics.count(name)
            case LatencyRecorded(work, caller, elapsed_ms):
                self._metrics.record(work, caller, elapsed_ms)
            case MetricsRequested(answer):
                answer.set_result(self._metrics.render())


class CountedStore:
    """Store wrapper that counts calls by kind, and those without an answer.

    Parameters
    ----------
    store : Store
        Wrapped store.
    metrics : MetricsTask
        Records the counts.
    """

    def __init__(self, store: Store, metrics: MetricsTask) -> None:
        self.store = store
        self.metrics = metrics

    def read(self, key: str, timeout_ms: float) -> StoredValue | Absent | Unanswered:
        """Read a key."""
        self.metrics.offer(CounterIncremented('store_reads'))
        answer = self.store.read(key, timeout_ms)
        self._count_unanswered(answer)
        return answer

    def swap(
        self, key: str, text: str, expected_version: int, timeout_ms: float
    ) -> Swapped | Conflict | Unanswered:
        """Write a key if its version is the expected one (0: absent)."""
        self.metrics.offer(CounterIncremented('store_swaps'))
        answer = self.store.swap(key, text, expected_version, timeout_ms)
        self._count_unanswered(answer)
        return answer

    def watch(
        self, key: str, after_version: int, wait_ms: float
    ) -> StoredValue | Unchanged | Unanswered:
        """Wait until a key's version is above ``after_version``."""
        self.metrics.offer(CounterIncremented('store_watches'))
        answer = self.store.watch(key, after_version, wait_ms)
        self._count_unanswered(answer)
        return answer

    def lease(
        self, name: str, call: LeaseCall, timeout_ms: float
    ) -> LeaseResult | Unanswered:
        """Acquire, renew or release a lease."""
        return self.store.lease(name, call, timeout_ms)

    def list_vms(self, timeout_ms: float) -> VmList | Unanswered:
        """List the live and leaving VMs."""
        return self.store.list_vms(timeout_ms)

    def _count_unanswered(self, answer: object) -> None:
        if isinstance(answer, Unanswered):
            self.metrics.offer(CounterIncremented('store_unanswered'))
