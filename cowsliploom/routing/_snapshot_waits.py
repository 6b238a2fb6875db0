"""Queries that wait until a newer snapshot is reported."""

from dataclasses import dataclass, field

from cowsliploom.routing._messages import QueryArrived
from cowsliploom.routing._tracks import OpenQuery, Work

SNAPSHOT_WAIT_MS = 300  # a probe of a server that refused is answered far sooner
HELD_MAX = 256  # queries without a snapshot; more are refused at once


@dataclass(slots=True)
class _Wait:
    until_ms: float
    works: list[Work] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Held:
    until_ms: float
    event: QueryArrived


class SnapshotWaits:
    """Keep the queries whose snapshot is gone while no newer one is known.

    Notes
    -----
    Servers drop a snapshot before an entry VM has heard of the next one, so for a
    moment a query could be refused or answered in part without need. It waits once,
    for a short time, and keeps what it has been answered from its old snapshot.
    """

    def __init__(self) -> None:
        self._waits: dict[str, _Wait] = {}
        self._held: list[_Held] = []

    @property
    def due_ms(self) -> float | None:
        """Return when the next wait ends, in milliseconds; None without any."""
        times = [wait.until_ms for wait in self._waits.values()]
        times.extend(held.until_ms for held in self._held)
        return min(times, default=None)

    @property
    def waiting(self) -> tuple[str, ...]:
        """Names of the queries that wait with a pinned snapshot."""
        return tuple(self._waits)

    @property
    def held(self) -> tuple[QueryArrived, ...]:
        """Queries that wait for a snapshot to pin."""
        return tuple(held.event for held in self._held)

    def add(self, query: OpenQuery, work: Work, now_ms: float) -> bool:
        """Keep a sub-request open; False when its query has waited already."""
        wait = self._waits.get(query.name)
        if wait is None:
            if query.has_waited:
                return False
            query.has_waited = True
            until_ms = min(query.deadline_ms, now_ms + SNAPSHOT_WAIT_MS)
            wait = _Wait(until_ms)
            self._waits[query.name] = wait
        wait.works.append(work)
        return True

    def hold(self, event: QueryArrived) -> bool:
        """Keep a query that has no snapshot to pin; False when there are too many."""
        if len(self._held) >= HELD_MAX:
            return False
        until_ms = min(event.deadline_ms, event.now_ms + SNAPSHOT_WAIT_MS)
        self._held.append(_Held(until_ms, event))
        return True

    def remove(self, query_id: str) -> None:
        """Forget a query that is answered, begun again or left by its caller."""
        self._waits.pop(query_id, None)
        if self._held:
            self._held = [
                held for held in self._held if held.event.query_id != query_id
            ]

    def pop_ended_works(self, now_ms: float) -> list[Work]:
        """Return the sub-requests whose wait is over."""
        over = [name for name, wait in self._waits.items() if wait.until_ms <= now_ms]
        return [work for name in over for work in self._waits.pop(name).works]

    def pop_ended_held(self, now_ms: float) -> list[QueryArrived]:
        """Return the queries that no snapshot came for."""
        ended = [held.event for held in self._held if held.until_ms <= now_ms]
        if ended:
            self._held = [held for held in self._held if held.until_ms > now_ms]
        return ended
