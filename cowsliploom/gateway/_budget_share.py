"""Reads the share of the constant part of the budgets that this VM may have saved."""

from collections.abc import Callable

from cowsliploom.forwarding import ConstantShare, ServiceBudgets
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.members import MembershipTable, FleetShare

LOOK_MS = 50.0  # between two looks at who is spoken of


class BudgetShare:
    """Tell the share of this VM, by the members that are spoken of.

    Parameters
    ----------
    known : MembershipTable
        Members that are spoken of.
    budgets : ServiceBudgets
        Budgets whose rules hold.
    log : LineLog
        Log of changes of the share.
    now_ms : callable
        Steady clock.
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
        self._looked_ms = float('-inf')
        self._constant = ConstantShare()

    def read(self) -> ConstantShare:
        """Return the share by who is spoken of now."""
        now_ms = self._now_ms()
        if now_ms - self._looked_ms >= LOOK_MS:
            self._looked_ms = now_ms
            self._look(now_ms)
        return self._constant

    def _look(self, now_ms: float) -> None:
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
