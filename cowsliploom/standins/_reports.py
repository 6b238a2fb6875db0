"""Health and load reports, which may be outdated or false under a fault."""

from collections import deque
from dataclasses import replace
from typing import Generic, TypeVar

from cowsliploom.protocol import HealthReport, LoadReport
from cowsliploom.standins._server_model import ServerModel

PAST_REPORTS_MAX = 1000

Report = TypeVar('Report')


class ReportHistory(Generic[Report]):
    """History of reports, from which outdated ones are returned."""

    def __init__(self) -> None:
        self._past: deque[tuple[float, Report]] = deque(maxlen=PAST_REPORTS_MAX)

    def record(self, report: Report, lag_ms: float, now_ms: float) -> Report:
        """Record a report; return the newest that is at least ``lag_ms`` old.

        If all are newer, the oldest is returned.
        """
        self._past.append((now_ms, report))
        if lag_ms <= 0:
            return report
        reported = self._past[0][1]
        for made_ms, past in self._past:
            if made_ms <= now_ms - lag_ms:
                reported = past
        return reported


class Reports:
    """Reports on a server, modified by its faults.

    Parameters
    ----------
    model : ServerModel
        Server to report on.
    """

    def __init__(self, model: ServerModel) -> None:
        self.model = model
        self._health: ReportHistory[HealthReport] = ReportHistory()
        self._load: ReportHistory[LoadReport] = ReportHistory()

    def health(self, now_ms: float) -> HealthReport:
        """Return the health report, with the lag and false state of the faults."""
        faults = self.model.faults
        report = self._health.record(
            self._actual_health(), faults.health_lag_ms, now_ms
        )
        if faults.health_lie is not None:
            return replace(report, state=faults.health_lie)
        return report

    def load(self, now_ms: float) -> LoadReport:
        """Return the load report, outdated or replaced as the faults require."""
        faults = self.model.faults
        report = self._load.record(self._actual_load(), faults.load_lag_ms, now_ms)
        return faults.load_lie or report

    def _actual_health(self) -> HealthReport:
        settings = self.model.settings
        return HealthReport(
            server=settings.server,
            service=settings.service,
            incarnation=self.model.incarnation,
            version=settings.version,
            state=self.model.state,
            snapshots=self.model.snapshots,
        )

    def _actual_load(self) -> LoadReport:
        settings = self.model.settings
        cold = None if self.model.faults.cold_hidden else self.model.cold
        return LoadReport(
            server=settings.server,
            slots=settings.slots,
            busy=self.model.busy,
            connections=self.model.server_log.counters.connections_now,
            connections_max=settings.connections_max,
            cold_allowance=cold.allowance if cold else settings.slots,
        )
