"""State machine of the backend server stand-in: no sockets, threads or clocks."""

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from cowsliploom.protocol import (
    CallRefusal,
    Ran,
    RefusalReason,
    RunCall,
    SearchCall,
    ServerState,
    SnapshotInfo,
)
from cowsliploom.standins._cold_start import ColdStart
from cowsliploom.standins._connection_limit import ConnectionLimit
from cowsliploom.standins._server_log import ServerLog
from cowsliploom.standins._server_settings import ServerFaults, ServerSettings
from cowsliploom.standins._work import Work, plan_work

RUN_ROUTE = 'run'
ADMIN_CONNECTIONS = 2  # beyond the limit, so that faults can be set when it is reached

Call = SearchCall | RunCall


@dataclass(slots=True)
class Ticket:
    """Accepted call, from arrival to reply."""

    call: Call
    deadline_ms: float
    snapshot: SnapshotInfo | None
    work: Work | None = None
    cancelled: bool = False
    dropped: bool = False  # no result: cancelled or stopped at its deadline


class ServerModel:
    """Admission of calls and connections, and lifecycle, of one backend server.

    Parameters
    ----------
    settings : ServerSettings
        Identity, capacity and latency of the server.
    incarnation : str
        Unique id of this start of the server.
    """

    def __init__(self, settings: ServerSettings, incarnation: str) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.snapshots = settings.snapshots
        self.faults = ServerFaults()
        self.server_log = ServerLog(settings.server, settings.service)
        self.cold = _cold_start(settings) if settings.cold_start else None
        self._connections = ConnectionLimit(settings, self.server_log.counters)
        self._leaving_since_ms: float | None = None
        self._busy = 0
        self._randomness = Random(settings.seed)
        self._queue: deque[Ticket] = deque()
        self._tickets: dict[str, Ticket] = {}

    @property
    def state(self) -> ServerState:
        """Return the state that the server reports."""
        if self._leaving_since_ms is not None:
            return ServerState.LEAVING
        if self.cold and not self.faults.cold_hidden:
            return ServerState.COLD
        return ServerState.LIVE

    @property
    def busy(self) -> int:
        """Return the number of busy slots."""
        return self._busy

    @property
    def calls(self) -> int:
        """Return the number of running and queued calls."""
        return self._busy + len(self._queue)

    def admit(self, call: Call, now_ms: float) -> Ticket | CallRefusal:
        """Start or queue a call, or refuse it."""
        self._connections.reduce_cost(now_ms, self._busy)
        self.server_log.counters.received += 1
        reason = self._refusal_reason(call, now_ms)
        if reason:
            return self.refuse(call, reason)
        ticket = Ticket(call, now_ms + call.timeout_ms, self._snapshot_of(call))
        self._tickets[call.request_id] = ticket
        if self._busy < self.settings.slots:
            self._start(ticket, now_ms)
        else:
            self._queue.append(ticket)
        if self.cold:
            self.server_log.update_calls_cold_max(self.calls)
        return ticket

    def drop_queued(self, ticket: Ticket) -> CallRefusal:
        """Drop a call that was cancelled or expired before it got a slot."""
        if ticket in self._queue:
            self._queue.remove(ticket)
        self._log_end(ticket)
        self._tickets.pop(ticket.call.request_id, None)
        return self.refuse(ticket.call, RefusalReason.EXPIRED)

    def finish(self, ticket: Ticket, now_ms: float) -> Ticket | None:
        """Free the slot of a call; return the queued call that starts in it, if any."""
        self._connections.reduce_cost(now_ms, self._busy)
        self._busy -= 1
        self._tickets.pop(ticket.call.request_id, None)
        self._log_end(ticket)
        if not self._queue:
            return None
        next_ticket = self._queue.popleft()
        self._start(next_ticket, now_ms)
        return next_ticket

    def cancel(self, request_id: str) -> Ticket | None:
        """Mark a search as cancelled; runs are never cancelled."""
        ticket = self._tickets.get(request_id)
        if ticket is None or isinstance(ticket.call, RunCall):
            return None
        ticket.cancelled = True
        ticket.dropped = True
        self.server_log.counters.cancelled += 1
        return ticket

    def refuse(
        self, call: Call, reason: RefusalReason, ran: Ran = Ran.NO
    ) -> CallRefusal:
        """Count and build a refusal."""
        self.server_log.count_refusal(reason)
        return CallRefusal(
            request_id=call.request_id,
            reason=reason,
            ran=ran,
            incarnation=self.incarnation,
            version=self.settings.version,
            state=self.state,
        )

    def open_connection(self, now_ms: float) -> bool:
        """Accept a new connection and add its cost; false if the limit is reached."""
        self._connections.reduce_cost(now_ms, self._busy)
        return self._connections.open()

    def close_connection(self) -> None:
        """Stop counting an accepted connection."""
        self._connections.close()

    def begin_cold_start(self, incarnation: str) -> None:
        """Begin a cold start under an incarnation."""
        self.incarnation = incarnation
        self.cold = _cold_start(self.settings)

    def leave(self, now_ms: float) -> None:
        """Start leaving; further calls have no effect."""
        if self._leaving_since_ms is None:
            self._leaving_since_ms = now_ms

    def _refusal_reason(self, call: Call, now_ms: float) -> RefusalReason | None:
        if call.service != self.settings.service:
            return RefusalReason.WRONG_SERVICE
        if self._has_left(now_ms):
            return RefusalReason.LEAVING
        if call.timeout_ms <= 0:
            return RefusalReason.EXPIRED
        if isinstance(call, SearchCall) and self._snapshot_of(call) is None:
            return RefusalReason.SNAPSHOT_GONE
        if self._refuses_while_cold(now_ms):
            return RefusalReason.COLD
        if self.faults.shed or len(self._queue) >= self.settings.queue_max:
            return RefusalReason.SHED
        return None

    def _has_left(self, now_ms: float) -> bool:
        if self._leaving_since_ms is None:
            return False
        if now_ms < self._leaving_since_ms + self.settings.leaving_grace_ms:
            self.server_log.counters.calls_while_leaving += 1
            return False
        self.server_log.counters.calls_after_grace += 1
        return True

    def _refuses_while_cold(self, now_ms: float) -> bool:
        if self.cold is None:
            return False
        if now_ms < self.cold.refusing_until_ms:
            return True
        if self.calls < self.cold.allowance:
            return False
        self.server_log.counters.overruns += 1
        self.server_log.update_calls_cold_max(self.calls + 1)
        refusing_until_ms = now_ms + self.settings.fall_over_ms
        self.cold = replace(self.cold, served=0, refusing_until_ms=refusing_until_ms)
        return True

    def _snapshot_of(self, call: Call) -> SnapshotInfo | None:
        if isinstance(call, RunCall):
            return None
        found = (info for info in self.snapshots if info.snapshot == call.snapshot)
        return next(found, None)

    def _start(self, ticket: Ticket, now_ms: float) -> None:
        self._busy += 1
        self.server_log.update_busy_max(self._busy)
        call = ticket.call
        route = call.route if isinstance(call, SearchCall) else RUN_ROUTE
        work = plan_work(
            self.settings, self.faults, route, self._busy, self._randomness
        )
        factor = self.settings.cold_factor if self.cold else 1
        duration_ms = work.duration_ms * factor + self._connections.consume_cost_ms()
        ticket.work = replace(work, duration_ms=duration_ms)
        if isinstance(call, RunCall):
            self.server_log.log_run(call, now_ms)
        else:
            _stop_at_deadline(ticket, ticket.work, now_ms)

    def _log_end(self, ticket: Ticket) -> None:
        failed = ticket.work is not None and ticket.work.fails
        served = not (failed or ticket.dropped or ticket.work is None)
        if ticket.snapshot:
            self.server_log.log_search(
                ticket.call.request_id, ticket.snapshot, served=served
            )
        if served:
            self.server_log.counters.served += 1
            self._warm_up()
        elif failed:
            self.server_log.counters.failed += 1

    def _warm_up(self) -> None:
        if self.cold:
            self.cold = replace(self.cold, served=self.cold.served + 1)
            self.cold = None if self.cold.warm else self.cold


def _stop_at_deadline(ticket: Ticket, work: Work, now_ms: float) -> None:
    left_ms = max(0, ticket.deadline_ms - now_ms)
    if work.duration_ms > left_ms:
        ticket.work = replace(work, duration_ms=left_ms)
        ticket.dropped = True


def _cold_start(settings: ServerSettings) -> ColdStart:
    return ColdStart(settings.cold_allowance, settings.cold_step_calls, settings.slots)
