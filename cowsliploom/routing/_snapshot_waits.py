"""Queries that wait for a newer snapshot to be reported."""

from dataclasses import dataclass, field

from cowsliploom.routing._messages import QueryArrived
from cowsliploom.routing._tracks import OpenQuery, WorkItem

SNAPSHOT_WAIT_MS = 300  # probing a server that refused takes far less
HELD_MAX = 256  # queries without a snapshot; further ones are refused


@dataclass(slots=True)
class _Wait:
    until_ms: float
    items: list[WorkItem] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Held:
    until_ms: float
    event: QueryArrived


class SnapshotWaits:
    """Queries whose snapshot was dropped while no newer one is known.

    Notes
    -----
    Servers drop a snapshot before an entry VM has received the report of the next
    one, so for a moment a query would be refused or answered partially without
    need. It waits once, for a short time, and keeps the replies from its old
    snapshot.
    """

    def __init__(self) -> None:
        self._waits: dict[str, _Wait] = {}
        self._held: list[_Held] = []

    @property
    def due_ms(self) -> float | None:
        """Return when the next wait ends, in milliseconds; None if nothing waits."""
        times = [wait.until_ms for wait in self._waits.values()]
        times.extend(held.until_ms for held in self._held)
        return min(times, default=None)

    @property
    def waiting(self) -> tuple[str, ...]:
        """Return the names of the waiting queries that have pinned a snapshot."""
        return tuple(self._waits)

    @property
    def held(self) -> tuple[QueryArrived, ...]:
        """Return the queries that wait for a snapshot to pin."""
        return tuple(held.event for held in self._held)

    def add(self, query: OpenQuery, work: WorkItem, now_ms: float) -> bool:
        """Keep a sub-request open; return False if its query has already waited."""
        wait = self._waits.get(query.name)
        if wait is None:
            if query.has_waited:
                return False
            query.has_waited = True
            until_ms = min(query.deadline_ms, now_ms + SNAPSHOT_WAIT_MS)
            wait = _Wait(until_ms)
            self._waits[query.name] = wait
        wait.items.append(work)
        return True

    def hold(self, event: QueryArrived) -> bool:
        """Hold a query without a snapshot; return False if too many are held."""
        if len(self._held) >= HELD_MAX:
            return False
        until_ms = min(event.deadline_ms, event.now_ms + SNAPSHOT_WAIT_MS)
        self._held.append(_Held(until_ms, event))
        return True

    def remove(self, query_id: str) -> None:
        """Remove a query that was answered, restarted or left by its caller."""
        self._waits.pop(query_id, None)
        if self._held:
            self._held = [
                held for held in self._held if held.event.query_id != query_id
            ]

    def pop_ended_items(self, now_ms: float) -> list[WorkItem]:
        """Remove and return the sub-requests whose wait has ended."""
        ended = [name for name, wait in self._waits.items() if wait.until_ms <= now_ms]
        return [work for name in ended for work in self._waits.pop(name).items]

    def pop_ended_held(self, now_ms: float) -> list[QueryArrived]:
        """Remove and return the held queries whose wait has ended."""
        ended = [held.event for held in self._held if held.until_ms <= now_ms]
        if ended:
            self._held = [held for held in self._held if held.until_ms > now_ms]
        return ended
