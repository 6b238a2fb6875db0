"""Health of the backend servers as known to an entry VM, and its probes."""

import msgspec

from cowsliploom.daemons._entry_probe import ProbeSchedule
from cowsliploom.protocol import HealthReport, RefusalReason, decode_json
from cowsliploom.routing import CallRefused, HealthReported, ProbeFailed

PROBE_REASONS = frozenset((RefusalReason.SNAPSHOT_GONE, RefusalReason.LEAVING))


class HealthTracker:
    """Hold the latest health reports and decide which to announce to peers.

    Notes
    -----
    Used on the event loop's thread only; reads no clock and sends nothing.
    """

    def __init__(self) -> None:
        self._schedule = ProbeSchedule()
        self._reports: dict[str, HealthReport] = {}
        self._unprobed: frozenset[str] | None = None

    @property
    def probed(self) -> bool:
        """Whether each server of the first configuration has been probed."""
        return self._unprobed is not None and not self._unprobed

    def declare(self, now_ms: float, servers: tuple[str, ...]) -> None:
        """Set the declared backend servers."""
        self._schedule.declare(now_ms, servers)
        if self._unprobed is None:
            self._unprobed = frozenset(servers)

    def update_owned(self, now_ms: float, servers: frozenset[str]) -> None:
        """Set the backend servers that this entry VM owns."""
        self._schedule.update_owned(now_ms, servers)

    def owns(self, server: str) -> bool:
        """Return whether this entry VM owns a backend server."""
        return self._schedule.owns(server)

    def wants_load(self, server: str) -> bool:
        """Return whether the probe of a server should also fetch its load."""
        return self._schedule.wants_load(server)

    def due(self, now_ms: float) -> tuple[str, ...]:
        """Return the backend servers to probe now, and schedule their next probes."""
        return self._schedule.due(now_ms)

    def handle_refusal(self, refused: CallRefused) -> None:
        """Make a server due if the reason of its refusal implies a new state."""
        if refused.refusal.reason in PROBE_REASONS:
            self._schedule.make_due(refused.now_ms, refused.server)

    def handle_probe(self, probed: HealthReported | ProbeFailed) -> bytes | None:
        """Record the end of a probe; return the report to announce, if any."""
        if self._unprobed is not None:
            self._unprobed -= {probed.server}
        if isinstance(probed, HealthReported):
            return self._changed_report(probed.server, probed.report)
        return None

    def apply_peer_report(self, server: str, blob: bytes) -> HealthReport | None:
        """Record a report from a peer; ``None`` if owned, as own probes win."""
        report = decode_json(blob, HealthReport)
        if self.owns(server):
            return None
        self._reports[server] = report
        return report

    def _changed_report(self, server: str, report: HealthReport) -> bytes | None:
        if self._reports.get(server) == report:
            return None
        self._reports[server] = report
        return msgspec.json.encode(report) if self.owns(server) else None
