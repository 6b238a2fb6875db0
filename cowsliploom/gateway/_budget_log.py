"""Lines and counters on extra calls: what each service's budget was and decided."""

from collections.abc import Callable

from cowsliploom.forwarding import BudgetReport, ServiceBudgets
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._line_log import LineLog

REPORT_MS = 1000.0
LINES_MAX = 6  # services a second; a fault of many shards looks alike at all


class BudgetLog:
    """Tell once a second which budgets were used, those that denied most first.

    Parameters
    ----------
    budgets : ServiceBudgets
        Budgets of all services.
    log : LineLog
        Log of lines.
    metrics : Metrics
        Counters, over all services.
    now_ms : callable
        Steady clock.
    """

    def __init__(
        self,
        budgets: ServiceBudgets,
        log: LineLog,
        metrics: Metrics,
        now_ms: Callable[[], float],
    ) -> None:
        self._budgets = budgets
        self._log = log
        self._metrics = metrics
        self._now_ms = now_ms
        self._told_ms = now_ms()

    def tell(self) -> None:
        """Write what was decided since the last second, if that is over."""
        now_ms = self._now_ms()
        if now_ms - self._told_ms < REPORT_MS:
            return
        self._told_ms = now_ms
        reports = sorted(self._budgets.reports(), key=_urgency)
        self._metrics.count('extra_calls', sum(one.sent for one in reports))
        self._metrics.count('extra_calls_denied', sum(one.denied for one in reports))
        for report in reports[:LINES_MAX]:
            self._write(report, len(reports))

    def _write(self, report: BudgetReport, services: int) -> None:
        self._log.write(
            'budget',
            'used',
            service=report.service,
            requests=report.requests,
            sent=report.sent,
            denied=report.denied,
            tokens=report.tokens,
            tokens_max=report.tokens_max,
            services=services,
        )


def _urgency(report: BudgetReport) -> tuple[int, float, str]:
    return -report.denied, -report.sent, report.service
