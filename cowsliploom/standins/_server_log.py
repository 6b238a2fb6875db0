"""Call log and counters of the backend server stand-in."""

from dataclasses import dataclass, field

from cowsliploom.protocol import DocRange, RefusalReason, RunCall, SnapshotInfo


@dataclass(frozen=True, slots=True)
class RunEntry:
    """Log entry of a non-idempotent request that started."""

    order: int
    request_id: str
    payload: str
    started_ms: float


@dataclass(frozen=True, slots=True)
class SearchEntry:
    """Log entry of an accepted search; ``served`` if its hits were returned."""

    request_id: str
    snapshot: int
    ranges: tuple[DocRange, ...]
    total_docs: int
    served: bool


@dataclass(slots=True)
class RunLog:
    """All runs and accepted searches (``GET /admin/runlog``)."""

    server: str
    service: str
    runs: list[RunEntry] = field(default_factory=list)
    searches: list[SearchEntry] = field(default_factory=list)


@dataclass(slots=True)
class ServerCounters:
    """Counters of a server (``GET /admin/counters``).

    ``calls_while_leaving`` arrived within the grace period of a leaving server,
    ``calls_after_grace`` after it. ``calls_cold_max`` is the maximum of concurrent
    calls during a cold start, including a call that exceeded the allowance.
    """

    received: int = 0
    served: int = 0
    failed: int = 0
    refused: dict[RefusalReason, int] = field(default_factory=dict)
    busy_max: int = 0
    connections_opened: int = 0
    connections_now: int = 0
    connections_now_max: int = 0
    connections_closed_over: int = 0
    overruns: int = 0
    calls_cold_max: int = 0
    cancelled: int = 0
    duplicate_runs: int = 0
    silenced: int = 0
    calls_while_leaving: int = 0
    calls_after_grace: int = 0


class ServerLog:
    """Run log and counters of one server.

    Parameters
    ----------
    server, service : str
        Names written to the run log.
    """

    def __init__(self, server: str, service: str) -> None:
        self.counters = ServerCounters()
        self.run_log = RunLog(server, service)
        self._payloads: set[str] = set()

    def log_run(self, call: RunCall, now_ms: float) -> None:
        """Log a run; a payload that was logged before counts as a duplicate."""
        if call.payload in self._payloads:
            self.counters.duplicate_runs += 1
        self._payloads.add(call.payload)
        runs = self.run_log.runs
        runs.append(RunEntry(len(runs) + 1, call.request_id, call.payload, now_ms))

    def log_search(self, request_id: str, info: SnapshotInfo, served: bool) -> None:
        """Log the end of an accepted search."""
        entry = SearchEntry(
            request_id, info.snapshot, info.ranges, info.total_docs, served
        )
        self.run_log.searches.append(entry)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal by its reason."""
        counts = self.counters.refused
        counts[reason] = counts.get(reason, 0) + 1

    def update_calls_cold_max(self, calls: int) -> None:
        """Update the maximum of concurrent calls during a cold start."""
        counters = self.counters
        counters.calls_cold_max = max(counters.calls_cold_max, calls)

    def update_busy_max(self, busy: int) -> None:
        """Update the maximum of busy slots."""
        self.counters.busy_max = max(self.counters.busy_max, busy)
