"""This VM's share of the constant part of the retry budgets."""

from collections.abc import Callable

from cowsliploom.forwarding import ConstantShare, ServiceBudgets
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.members import FleetShare, MembershipTable

REFRESH_INTERVAL_MS = 50.0  # between two reads of the membership


class BudgetShare:
    """Compute this VM's share from the members named in gossip.

    Parameters
    ----------
    known : MembershipTable
        Members named in gossip.
    budgets : ServiceBudgets
        Budgets whose rules are in force.
    log : LineLog
        Receives changes of the share.
    now_ms : callable
        Monotonic clock.
    """

    def __init__(
        self,
        known: MembershipTable,
        budgets: ServiceBudgets,
        log: LineLog,
        now_ms: Callable[[], float],
    ) -> None:
        self._known = known
        self._budgets = budgets
        self._log = log
        self._now_ms = now_ms
        self._started_ms = now_ms()
        self._fleet_share = FleetShare(known.own)
        self._refreshed_ms = float('-inf')
        self._constant = ConstantShare()

    def read(self) -> ConstantShare:
        """Return the share, recomputed at most once per refresh interval."""
        now_ms = self._now_ms()
        if now_ms - self._refreshed_ms >= REFRESH_INTERVAL_MS:
            self._refreshed_ms = now_ms
            self._refresh(now_ms)
        return self._constant

    def _refresh(self, now_ms: float) -> None:
        seeds = self._known.seeds
        self._fleet_share.record(self._known.tracked_peers(), now_ms)
        constant = ConstantShare(
            self._fleet_share.bound_fraction(seeds),
            is_settled=now_ms - self._started_ms >= self._budgets.rules.memory_ms,
        )
        if constant == self._constant:
            return
        self._constant = constant
        self._log.write(
            'budget',
            'share changed',
            constant_share=round(constant.share, 4),
            settled=constant.is_settled,
            counted=self._fleet_share.counted(seeds),
            seeds_met=round(self._fleet_share.seed_coverage(seeds), 2),
            live=len(self._known.live(now_ms)),
        )
