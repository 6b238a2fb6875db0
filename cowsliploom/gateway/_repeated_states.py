"""States of version moves that are written to the store once more."""

import asyncio
from collections.abc import Iterable
from contextlib import ExitStack

from cowsliploom.gateway._active_order import ActiveOrder
from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._controller_role import ControllerRole
from cowsliploom.gateway._move_states import MoveStates

MS_PER_S = 1000
PAUSE_MS = 1000  # until a write is visible here, or is retried
RANK_STEP_MS = 200.0  # between VMs that know a lost state; the first write suffices
CONFIRMED = 'confirmed'  # events of the log
RESTORED = 'restored'


class RepeatedStates:
    """Write states again, one write of a service at a time.

    Parameters
    ----------
    states : MoveStates
        Known states, and their writes.
    role : ControllerRole
        Rank of this VM among those that know a lost state.
    """

    def __init__(self, states: MoveStates, role: ControllerRole) -> None:
        self._states = states
        self._role = role
        self._open: set[str] = set()
        self._background = BackgroundTasks()

    def confirm(self, orders: Iterable[ActiveOrder]) -> None:
        """Answer repeated requests for ended moves."""
        for active in orders:
            self._start(active, CONFIRMED, delay_ms=0)

    def restore(self, orders: Iterable[ActiveOrder]) -> None:
        """Write the states again that the store has lost in a restore.

        VMs of a lower rank wait, and leave it at that if one before them has succeeded.
        """
        lost = [order for order in orders if self._states.is_lost(order)]
        if lost:
            delay_ms = self._role.rank() * RANK_STEP_MS
            for active in lost:
                self._start(active, RESTORED, delay_ms)

    def _start(self, active: ActiveOrder, event: str, delay_ms: float) -> None:
        service = active.order.service
        if service not in self._open:
            self._open.add(service)
            self._background.start(self._write(active, event, delay_ms))

    async def _write(self, active: ActiveOrder, event: str, delay_ms: float) -> None:
        with ExitStack() as stack:
            stack.callback(self._open.discard, active.order.service)
            await asyncio.sleep(delay_ms / MS_PER_S)
            if event == CONFIRMED or self._states.is_lost(active):
                await self._states.write_again(active, event)
                await asyncio.sleep(PAUSE_MS / MS_PER_S)
