"""Priority queue of the requests to one service, by urgency and deadline."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Generic, TypeVar

SKIPS_MAX = 16  # a class skipped this often is served next, against starvation

WorkItem = TypeVar('WorkItem')


@dataclass(frozen=True, slots=True, order=True)
class QueuedWork(Generic[WorkItem]):
    """Queued request; earlier deadlines sort first.

    Parameters
    ----------
    deadline_ms : float
        Deadline, in milliseconds.
    order : int
        Order of arrival, unique.
    urgency : int
        1 (least urgent) to 9 (most urgent).
    work : object
        Queued object.
    """

    deadline_ms: float
    order: int
    urgency: int = field(compare=False)
    work: WorkItem = field(compare=False)


Heap = list[QueuedWork[WorkItem]]


class UrgencyQueue(Generic[WorkItem]):
    """Bounded queue of the requests to one service.

    Parameters
    ----------
    waiting_max : int
        Maximum number of queued requests.

    Notes
    -----
    The most urgent class is served first, by deadline within the class. A class
    that was skipped ``SKIPS_MAX`` times is served next, so none starves. A full
    queue evicts the request with the latest deadline in its least urgent class.
    The heaps are mutable and owned by the router's task, since a copy at each event
    would cost as much as the whole queue.
    """

    def __init__(self, waiting_max: int) -> None:
        self.waiting_max = waiting_max
        self._classes: dict[int, Heap[WorkItem]] = {}
        self._skips: dict[int, int] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._count

    def push(self, waiting: QueuedWork[WorkItem]) -> QueuedWork[WorkItem] | None:
        """Add a request; return the one that was evicted for it, if any."""
        heappush(self._classes.setdefault(waiting.urgency, []), waiting)
        self._count += 1
        if self._count <= self.waiting_max:
            return None
        heap = self._classes[min(self._classes)]
        worst = max(heap)
        heap.remove(worst)
        heap.sort()
        self._remove_if_empty(worst.urgency)
        self._count -= 1
        return worst

    def peek(self) -> QueuedWork[WorkItem]:
        """Return the next request; the queue must not be empty."""
        return self._classes[self._next_class()][0]

    def pop(self) -> QueuedWork[WorkItem]:
        """Remove and return the next request; the queue must not be empty."""
        urgency = self._next_class()
        waiting = heappop(self._classes[urgency])
        self._count -= 1
        for other in self._classes:
            self._skips[other] = self._skips.get(other, 0) + 1
        self._skips[urgency] = 0
        self._remove_if_empty(urgency)
        return waiting

    def count_ahead(self, urgency: int) -> int:
        """Return the number of queued requests that are at least as urgent."""
        return sum(
            len(heap) for level, heap in self._classes.items() if level >= urgency
        )

    def _next_class(self) -> int:
        for urgency in sorted(self._classes):
            if self._skips.get(urgency, 0) >= SKIPS_MAX:
                return urgency
        return max(self._classes)

    def _remove_if_empty(self, urgency: int) -> None:
        if not self._classes[urgency]:
            self._classes.pop(urgency)
            self._skips.pop(urgency, None)
