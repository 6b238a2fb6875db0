"""Health and load reports that may lag or lie."""

from collections import deque
from dataclasses import replace
from typing import Generic, TypeVar

from cowsliploom.protocol import HealthReport, LoadReport
from cowsliploom.standins._server_model import ServerModel

PAST_REPORTS_MAX = 1000

Report = TypeVar('Report')


class LaggingReport(Generic[Report]):
    """Remember reports, and give the one of a lag ago."""

    def __init__(self) -> None:
        self._past: deque[tuple[float, Report]] = deque(maxlen=PAST_REPORTS_MAX)

    def give(self, report: Report, lag_ms: float, now_ms: float) -> Report:
        """Remember a report; return the newest that is at least a lag old."""
        self._past.append((now_ms, report))
        if lag_ms <= 0:
            return report
        seen = self._past[0][1]
        for made_ms, past in self._past:
            if made_ms <= now_ms - lag_ms:
                seen = past
        return seen


class Reports:
    """Report on a server as its fault switches say.

    Parameters
    ----------
    model : ServerModel
        Server that is reported on.
    """

    def __init__(self, model: ServerModel) -> None:
        self.model = model
        self._health: LaggingReport[HealthReport] = LaggingReport()
        self._load: LaggingReport[LoadReport] = LaggingReport()

    def health(self, now_ms: float) -> HealthReport:
        """Return the health report to give."""
        faults = self.model.faults
        report = self._health.give(self._true_health(), faults.health_lag_ms, now_ms)
        if faults.health_lie is not None:
            return replace(report, state=faults.health_lie)
        return report

    def load(self, now_ms: float) -> LoadReport:
        """Return the load report to give."""
        faults = self.model.faults
        report = self._load.give(self._true_load(), faults.load_lag_ms, now_ms)
        return faults.load_lie or report

    def _true_health(self) -> HealthReport:
        settings = self.model.settings
        return HealthReport(
            server=settings.server,
            service=settings.service,
            incarnation=self.model.incarnation,
            version=settings.version,
            state=self.model.state,
            snapshots=self.model.snapshots,
        )

    def _true_load(self) -> LoadReport:
        settings = self.model.settings
        cold = None if self.model.faults.cold_hidden else self.model.cold
        return LoadReport(
            server=settings.server,
            slots=settings.slots,
            busy=self.model.busy,
            connections=self.model.journal.counters.connections_now,
            connections_max=settings.connections_max,
            cold_allowance=cold.allowance if cold else settings.slots,
        )
