"""What the servers of a fleet ask for, also while a registration has lapsed."""

import random
from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from cowsliploom.forwarding._report_order import ReportOrder, report_order
from cowsliploom.forwarding._server_notices import ServerNotice, StandingNotice
from cowsliploom.forwarding._servers import Server

NO_NOTICE = StandingNotice()
REMOVED_MAX = 1024  # removed servers whose notices are kept


@dataclass(frozen=True, slots=True)
class NoServer:
    """Why no server of a service may be called.

    Parameters
    ----------
    reason : str
        Reason for the log and for the caller.
    retry_after_ms : float or None
        Time until the first server may be called again; None if none is paused.
    """

    reason: str
    retry_after_ms: float | None = None


class NoticeBoard:
    """Apply the notices of servers, and keep them until these start anew.

    A registration may lapse while the store is away, and return unchanged: what the
    server asked for holds all the same.

    Parameters
    ----------
    generator : random.Random
        Spreads the return of the entry VMs after a pause.

    Attributes
    ----------
    counts : Counter
        Counts the notices by kind.
    """

    def __init__(self, generator: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._random = generator
        self._removed: OrderedDict[str, Server] = OrderedDict()

    def apply(self, server: Server, notice: ServerNotice, now_ms: float) -> bool:
        """Apply a notice; return whether the server is known to leave only now."""
        was_leaving = server.standing.is_leaving
        server.apply_notice(notice, now_ms, self._random.random())
        self.counts['leaving'] += notice.is_leaving
        self.counts['pauses'] += notice.pause_ms is not None
        self.counts['unreadable'] += bool(notice.problem)
        return server.standing.is_leaving and not was_leaving

    def keep(self, server: Server) -> None:
        """Keep the notices of a server whose registration was removed."""
        if server.standing == NO_NOTICE:
            return
        self._removed[server.name] = server
        if len(self._removed) > REMOVED_MAX:
            self._removed.popitem(last=False)

    def restore(self, server: Server) -> None:
        """Apply the kept notices to a server that is registered again."""
        kept = self._removed.pop(server.name, None)
        if kept is None:
            return
        order = report_order(kept.record, server.record)
        if order is not ReportOrder.NEW_START:
            server.standing = kept.standing


def why_no_server(
    serving: Sequence[Server], usable: Sequence[Server], now_ms: float
) -> NoServer:
    """Return why no server of a service may be called.

    Parameters
    ----------
    serving : sequence of Server
        All servers of the service.
    usable : sequence of Server
        Those that could be called if none were paused.
    now_ms : float
        Time of this entry VM's monotonic clock.
    """
    reason = 'no server'
    leaving = sum(server.standing.is_leaving for server in serving)
    if leaving:
        reason = f'{reason}, {leaving} leaving'
    paused_until_ms = [
        server.standing.paused_until_ms
        for server in usable
        if server.standing.is_paused(now_ms)
    ]
    if not paused_until_ms:
        return NoServer(reason)
    pause_ms = min(paused_until_ms) - now_ms
    reason = f'{reason}, {len(paused_until_ms)} paused for {pause_ms:.0f} ms'
    return NoServer(reason, pause_ms)
