"""Decisions of the backend server stand-in, without sockets, threads or clocks."""

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
from cowsliploom.standins._server_log import Journal
from cowsliploom.standins._server_settings import ServerFaults, ServerSettings
from cowsliploom.standins._work import Work, plan_work

ROUTE_OF_RUNS = 'run'
ADMIN_CONNECTIONS = 2  # over the limit, so that faults can be switched when it is full

Call = SearchCall | RunCall


@dataclass(slots=True)
class Ticket:
    """Hold one call that was accepted, from arrival to reply."""

    call: Call
    deadline_ms: float
    snapshot: SnapshotInfo | None
    work: Work | None = None
    cancelled: bool = False
    dropped: bool = False  # without a result: cancelled, or stopped at its deadline


class ServerModel:
    """Decide on calls, connections and states of one backend server.

    Parameters
    ----------
    settings : ServerSettings
        What the server is.
    incarnation : str
        Identity of this start of the server.
    """

    def __init__(self, settings: ServerSettings, incarnation: str) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.snapshots = settings.snapshots
        self.faults = ServerFaults()
        self.journal = Journal(settings.server, settings.service)
        self.cold = _cold_start(settings) if settings.cold_start else None
        self._connections = ConnectionLimit(settings, self.journal.counters)
        self._leaving_since_ms: float | None = None
        self._busy = 0
        self._randomness = Random(settings.seed)
        self._queue: deque[Ticket] = deque()
        self._tickets: dict[str, Ticket] = {}

    @property
    def state(self) -> ServerState:
        """Return the state that the server says it is in."""
        if self._leaving_since_ms is not None:
            return ServerState.LEAVING
        if self.cold and not self.faults.cold_hidden:
            return ServerState.COLD
        return ServerState.LIVE

    @property
    def busy(self) -> int:
        """Return the slots in use."""
        return self._busy

    @property
    def calls(self) -> int:
        """Return the calls accepted and not yet finished."""
        return self._busy + len(self._queue)

    def admit(self, call: Call, now_ms: float) -> Ticket | CallRefusal:
        """Accept a call, to run now or to wait for a slot, or refuse it."""
        self._connections.pass_time(now_ms, self._busy)
        self.journal.counters.received += 1
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
            self.journal.calls_cold(self.calls)
        return ticket

    def give_up(self, ticket: Ticket) -> CallRefusal:
        """Drop a call that was cancelled or expired before it got a slot."""
        if ticket in self._queue:
            self._queue.remove(ticket)
        self._log_end(ticket)
        self._tickets.pop(ticket.call.request_id, None)
        return self.refuse(ticket.call, RefusalReason.EXPIRED)

    def finish(self, ticket: Ticket, now_ms: float) -> Ticket | None:
        """Free the slot of a call; return the call that now has it, if any."""
        self._connections.pass_time(now_ms, self._busy)
        self._busy -= 1
        self._tickets.pop(ticket.call.request_id, None)
        self._log_end(ticket)
        if not self._queue:
            return None
        following = self._queue.popleft()
        self._start(following, now_ms)
        return following

    def cancel(self, request_id: str) -> Ticket | None:
        """Mark a search as cancelled; runs are never cancelled."""
        ticket = self._tickets.get(request_id)
        if ticket is None or isinstance(ticket.call, RunCall):
            return None
        ticket.cancelled = True
        ticket.dropped = True
        self.journal.counters.cancelled += 1
        return ticket

    def refuse(
        self, call: Call, reason: RefusalReason, ran: Ran = Ran.NO
    ) -> CallRefusal:
        """Count and build a refusal."""
        self.journal.refused(reason)
        return CallRefusal(
            request_id=call.request_id,
            reason=reason,
            ran=ran,
            incarnation=self.incarnation,
            version=self.settings.version,
            state=self.state,
        )

    def open_connection(self, now_ms: float) -> bool:
        """Take a new connection, at its cost; false when the limit is reached."""
        self._connections.pass_time(now_ms, self._busy)
        return self._connections.open()

    def close_connection(self) -> None:
        """Forget a connection that was taken."""
        self._connections.close()

    def turn_cold(self, incarnation: str) -> None:
        """Begin a cold start."""
        self.incarnation = incarnation
        self.cold = _cold_start(self.settings)

    def leave(self, now_ms: float) -> None:
        """Begin to leave; a later word changes nothing."""
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
        if self._falls_over(now_ms):
            return RefusalReason.COLD
        if self.faults.shed or len(self._queue) >= self.settings.queue_max:
            return RefusalReason.SHED
        return None

    def _has_left(self, now_ms: float) -> bool:
        if self._leaving_since_ms is None:
            return False
        if now_ms < self._leaving_since_ms + self.settings.leaving_grace_ms:
            self.journal.counters.calls_while_leaving += 1
            return False
        self.journal.counters.calls_after_grace += 1
        return True

    def _falls_over(self, now_ms: float) -> bool:
        if self.cold is None:
            return False
        if now_ms < self.cold.fallen_until_ms:
            return True
        if self.calls < self.cold.allowance:
            return False
        self.journal.counters.overruns += 1
        self.journal.calls_cold(self.calls + 1)
        fallen_until_ms = now_ms + self.settings.fall_over_ms
        self.cold = replace(self.cold, served=0, fallen_until_ms=fallen_until_ms)
        return True

    def _snapshot_of(self, call: Call) -> SnapshotInfo | None:
        if isinstance(call, RunCall):
            return None
        found = (info for info in self.snapshots if info.snapshot == call.snapshot)
        return next(found, None)

    def _start(self, ticket: Ticket, now_ms: float) -> None:
        self._busy += 1
        self.journal.calls_busy(self._busy)
        call = ticket.call
        route = call.route if isinstance(call, SearchCall) else ROUTE_OF_RUNS
        work = plan_work(
            self.settings, self.faults, route, self._busy, self._randomness
        )
        factor = self.settings.cold_factor if self.cold else 1
        duration_ms = work.duration_ms * factor + self._connections.take_debt_ms()
        ticket.work = replace(work, duration_ms=duration_ms)
        if isinstance(call, RunCall):
            self.journal.run_started(call, now_ms)
        else:
            _stop_at_deadline(ticket, ticket.work, now_ms)

    def _log_end(self, ticket: Ticket) -> None:
        failed = ticket.work is not None and ticket.work.fails
        served = not (failed or ticket.dropped or ticket.work is None)
        if ticket.snapshot:
            self.journal.search_ended(
                ticket.call.request_id, ticket.snapshot, served=served
            )
        if served:
            self.journal.counters.served += 1
            self._warm_up()
        elif failed:
            self.journal.counters.failed += 1

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
