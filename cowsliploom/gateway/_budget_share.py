"""Reads the share of the constant part of the budgets that this VM may use."""

from collections.abc import Callable

from cowsliploom.forwarding import ServiceBudgets
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.members import Acquaintances, FleetShare

LOOK_MS = 50.0  # between two looks at who is spoken of


class BudgetShare:
    """Tell the share of this VM, by the members that are spoken of.

    Parameters
    ----------
    known : Acquaintances
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
        known: Acquaintances,
        budgets: ServiceBudgets,
        log: LineLog,
        now_ms: Callable[[], float],
    ) -> None:
        self._known = known
        self._budgets = budgets
        self._log = log
        self._now_ms = now_ms
        self._share = FleetShare(known.own.name, now_ms())
        self._looked_ms = float('-inf')
        self._of_bound: float = 0

    def read(self) -> float:
        """Return the share by who is spoken of now, from 0 to 1."""
        now_ms = self._now_ms()
        if now_ms - self._looked_ms >= LOOK_MS:
            self._looked_ms = now_ms
            self._look(now_ms)
        return self._of_bound

    def _look(self, now_ms: float) -> None:
        known, share = self._known, self._share
        share.hear((member.name for member in known.remembered()), now_ms)
        others_min = len(set(known.seeds) - {known.own.address})
        memory_ms = self._budgets.rules.memory_ms
        of_bound = share.of_bound(now_ms, memory_ms, others_min)
        if of_bound == self._of_bound:
            return
        self._of_bound = of_bound
        self._log.write(
            'budget',
            'share changed',
            constant_share=round(of_bound, 4),
            counted=share.counted(others_min),
            live=len(known.live(now_ms)),
        )
