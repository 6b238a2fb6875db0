"""Log lines and metrics of extra calls (hedges and retries), per service budget."""

from collections.abc import Callable

from cowsliploom.forwarding import BudgetReport, ServiceBudgets
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics

REPORT_INTERVAL_MS = 1000.0
LINES_MAX = 6  # services per report; a fault of many shards looks the same on all


class BudgetLog:
    """Log once a second which budgets were used, those with most denials first.

    Parameters
    ----------
    budgets : ServiceBudgets
        Budgets of all services.
    log : LineLog
        Receives one line per reported service.
    metrics : Metrics
        Receives the counters, summed over all services.
    now_ms : callable
        Monotonic clock.
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
        self._reported_ms = now_ms()

    def report(self) -> None:
        """Report decisions since the last report, if the interval has elapsed."""
        now_ms = self._now_ms()
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = now_ms
        reports = sorted(self._budgets.reports(), key=_sort_key)
        self._metrics.count('extra_calls', sum(each.sent for each in reports))
        self._metrics.count('extra_calls_denied', sum(each.denied for each in reports))
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


def _sort_key(report: BudgetReport) -> tuple[int, float, str]:
    return -report.denied, -report.sent, report.service
