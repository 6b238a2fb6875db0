"""State of one backend server, as one entry VM tracks it."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.forwarding._server_notices import ServerNotice, StandingNotice

LOAD_FRESH_MS = 250.0  # older load reports are ignored
USUAL_PERCENT = 100
SPEED_LIFE_MS = 100.0  # in which a report of the machine's speed loses its weight
SLOWDOWN_MAX = 8.0  # of a machine's speed, as far as it is believed
LATENCY_SHARE = 0.1  # weight of the newest sample in the mean
STALL_RATIO = 3.0  # of the mean; a call open for longer suggests a paused server
STALL_MIN_MS = 15.0
EJECTION_MIN_MS = 400.0  # doubles with each further failure, up to the maximum
EJECTION_MAX_MS = 3000.0
LATENCY_RETENTION_MS = 3000.0  # without a response, measurements lose all weight
SHED_PAUSE_MIN_MS = 8.0  # before a server that shed a call is called again
SILENCE_MIN_MS = 200.0  # longer than a pause
SILENCE_RATIO = 4.0
SAME_CAUSE_MS = 2.0  # failures within this time count as one
ERROR_SHARE = 0.2  # weight of the newest outcome in the failure and shed rates


class ServerState(StrEnum):
    """State that a backend server registers."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Latest registration of a backend server.

    Parameters
    ----------
    name : str
        Name of this incarnation.
    service, address, data_centre, version : str
        Service, location and software version.
    slots : int
        Requests that it processes concurrently.
    state : ServerState
        Whether it accepts new requests.
    cold_ms : float
        Remaining warm-up time, counted from the registration.
    sequence : int
        Count of its registrations.
    born_ms : float
        Wall-clock time of its start; 0 if not stated.
    """

    name: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    state: ServerState
    cold_ms: float
    sequence: int
    born_ms: float = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a backend server reported with an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that it runs, requests in its queue, and its slots.
    work_percent : int
        How long work takes on its machine at this moment; 100 is usual.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = USUAL_PERCENT


@dataclass(frozen=True, slots=True)
class ServerHealthChange:
    """Change in the tracked health of a server, and its cause.

    Parameters
    ----------
    server, service : str
        Name and service of the server.
    health : str
        New health, as written to the log.
    failures : int
        Consecutive failed calls.
    mean_ms : float
        Mean response time.
    for_ms : float
        Time after which the state expires; 0 if it does not.
    reason : str
        Latest failure; empty after a success.
    """

    server: str
    service: str
    health: str
    failures: int = 0
    mean_ms: float = 0
    for_ms: float = 0
    reason: str = ''


def ignore_health_change(change: ServerHealthChange) -> None:
    """Default listener that discards health changes."""


class Server:
    """Track the calls, latency and health of one incarnation of a backend server.

    Parameters
    ----------
    record : ServerRecord
        Latest registration.
    now_ms : float
        When the registration was received.
    on_health_change : callable
        Called with each ``ServerHealthChange``.
    """

    def __init__(
        self,
        record: ServerRecord,
        now_ms: float,
        on_health_change: Callable[[ServerHealthChange], None] = ignore_health_change,
    ) -> None:
        self.record = record
        self._notify = on_health_change
        self.cold_until_ms = now_ms + record.cold_ms
        self.open_calls: dict[int, float] = {}
        self.mean_ms: float = 0
        self.load = LoadReport(0, 0, record.slots)
        self.load_ms = -LOAD_FRESH_MS
        self.ejected_until_ms: float = 0
        self.failures = 0
        self.failure = ''
        self.error_share: float = 0
        self.shed_share: float = 0
        self.standing = StandingNotice()
        self.is_replaced = False
        self.is_gone = False
        self._problem = ''
        self.last_received_ms = float('-inf')
        self._failed_ms = float('-inf')
        self.full_until_ms = float('-inf')

    @property
    def name(self) -> str:
        """Name of the incarnation."""
        return self.record.name

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent to the server, unless it asked for a pause.

        Not to one that is draining, has said that it leaves, is gone, or whose address
        answers for another server.
        """
        ready = self.record.state is ServerState.READY
        unusable = self.standing.is_leaving or self.is_replaced or self.is_gone
        return ready and not unusable

    def update_record(self, record: ServerRecord, now_ms: float) -> None:
        """Apply a newer registration of the same incarnation.

        Its warm-up time replaces the known one, whichever ends later: a server may
        become cold again at any moment.
        """
        self.cold_until_ms = now_ms + record.cold_ms
        self.record = record

    def update_load(self, load: LoadReport, now_ms: float) -> None:
        """Apply a load report."""
        self.load = load
        self.load_ms = now_ms

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the server is still warming up."""
        return now_ms < self.cold_until_ms

    def is_full(self, now_ms: float) -> bool:
        """Return whether the server has just rejected a call for lack of capacity."""
        return now_ms < self.full_until_ms

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the server is ejected after failures, or silent."""
        return now_ms < self.ejected_until_ms or self.is_silent(now_ms)

    def is_silent(self, now_ms: float) -> bool:
        """Return whether nothing was received for far longer than a response takes."""
        timeout_ms = max(SILENCE_MIN_MS, SILENCE_RATIO * self.mean_ms)
        return self.lacks_response(now_ms, timeout_ms)

    def lacks_response(self, now_ms: float, for_ms: float) -> bool:
        """Return whether nothing was received since the oldest open call was sent.

        Always False until that call has been open for longer than ``for_ms``.
        """
        if not self.open_calls:
            return False
        sent_ms = next(iter(self.open_calls.values()))
        return self.last_received_ms < sent_ms and now_ms - sent_ms > for_ms

    def apply_notice(self, notice: ServerNotice, now_ms: float, spread: float) -> None:
        """Apply a notice that the server sent with an answer.

        Parameters
        ----------
        notice : ServerNotice
            The notice.
        now_ms : float
            When it was received.
        spread : float
            Random position from 0 to 1, which spreads the return of the entry VMs.
        """
        known = self.standing
        self.standing = known.updated(notice, now_ms, spread)
        if self.standing.is_leaving and not known.is_leaving:
            self._notify(self._health_change('leaving', 0))
        if self.standing.is_paused(now_ms) and not known.is_paused(now_ms):
            pause_ms = round(self.standing.paused_until_ms - now_ms)
            self._notify(self._health_change('paused', pause_ms))
        if notice.problem != self._problem:
            self._problem = notice.problem
            if notice.problem:
                self._notify(
                    self._health_change('notice unreadable', 0, notice.problem)
                )

    def add_call(self, call_id: int, now_ms: float) -> None:
        """Add an open call."""
        self.open_calls[call_id] = now_ms

    def remove_call(self, call_id: int) -> None:
        """Remove an open call."""
        self.open_calls.pop(call_id, None)

    def record_success(self, elapsed_ms: float) -> None:
        """Update health and latency after a good answer."""
        self.failure = ''
        if self.ejected_until_ms:
            self.ejected_until_ms = 0
            self._notify(self._health_change('answers again', 0))
        self.failures = 0
        self.error_share *= 1 - ERROR_SHARE
        self.shed_share *= 1 - ERROR_SHARE
        if self.mean_ms:
            self.mean_ms += (elapsed_ms - self.mean_ms) * LATENCY_SHARE
        else:
            self.mean_ms = elapsed_ms

    def record_shed(self, now_ms: float) -> None:
        """Pause calls after a rejection for lack of capacity, until a slot may free."""
        self.shed_share += (1 - self.shed_share) * ERROR_SHARE
        free_ms = self.mean_ms / max(1, self.record.slots)
        self.full_until_ms = now_ms + max(SHED_PAUSE_MIN_MS, free_ms)

    def record_failure(self, now_ms: float, reason: str = '') -> None:
        """Record a failed call; eject the server from the second one in a row on."""
        self.failure = reason
        if self._is_new_failure(now_ms) and self.failures > 1:
            self.eject(now_ms)

    def record_unreachable(self, now_ms: float, reason: str = '') -> None:
        """Record a refused or silent connection and eject the server immediately."""
        self.failure = reason
        if self._is_new_failure(now_ms):
            self.eject(now_ms)

    def eject(self, now_ms: float) -> None:
        """Eject the server; the time doubles with each failure, up to a maximum."""
        was_ejected = now_ms < self.ejected_until_ms
        ejection_ms = EJECTION_MIN_MS * 2 ** min(self.failures - 1, 8)
        ejection_ms = min(ejection_ms, EJECTION_MAX_MS)
        self.ejected_until_ms = now_ms + ejection_ms
        if not was_ejected:
            self._notify(self._health_change('rests', ejection_ms))

    def oldest_wait_ms(self, now_ms: float) -> float:
        """Return how long the oldest open call has been waiting."""
        if not self.open_calls:
            return 0
        return now_ms - next(iter(self.open_calls.values()))

    def typical_ms(self, now_ms: float, median_ms: float) -> float:
        """Return the server's mean latency, drawn towards the median as it gets old."""
        if not self.mean_ms:
            return median_ms
        fresh = self._freshness(now_ms)
        return self.mean_ms * fresh + median_ms * (1 - fresh)

    def has_free_slot(self, now_ms: float) -> bool:
        """Return whether the server has just reported a slot that nobody uses."""
        is_fresh = now_ms - self.load_ms < LOAD_FRESH_MS
        busy = self.load.running + self.load.waiting + len(self.open_calls)
        return is_fresh and busy < self.load.slots

    def slowdown(self, now_ms: float) -> float:
        """Return how much longer than usual work takes on the server's machine.

        Others share the machine, so the speed changes many times a second: a report
        counts for the next calls and is forgotten linearly.
        """
        weight = 1 - (now_ms - self.load_ms) / SPEED_LIFE_MS
        if weight <= 0:
            return 1
        reported = min(self.load.work_percent / USUAL_PERCENT, SLOWDOWN_MAX)
        return 1 + (reported - 1) * weight

    def expected_ms(self, now_ms: float, median_ms: float) -> float:
        """Return the expected latency of one more call.

        Parameters
        ----------
        now_ms : float
            Time of this entry VM's monotonic clock.
        median_ms : float
            Median latency of calls of this kind, over all servers.
        """
        mean_ms = self.typical_ms(now_ms, median_ms) * self.slowdown(now_ms)
        slots = max(1, self.record.slots)
        ahead = len(self.open_calls)
        if now_ms - self.load_ms < LOAD_FRESH_MS:
            ahead = max(ahead, self.load.running + self.load.waiting)
        queue = max(0, ahead + 1 - slots) / slots
        expected_ms = mean_ms * (1 + queue) + ahead * mean_ms / slots / 4
        waited_ms = self.oldest_wait_ms(now_ms)
        if waited_ms > max(STALL_MIN_MS, STALL_RATIO * mean_ms):
            expected_ms += waited_ms
        failure_rate = (self.error_share + self.shed_share) * self._freshness(now_ms)
        return expected_ms * (1 + 4 * failure_rate)

    def _is_new_failure(self, now_ms: float) -> bool:
        """Count a failure; simultaneous failures have one cause and count once."""
        if now_ms - self._failed_ms < SAME_CAUSE_MS:
            return False
        self._failed_ms = now_ms
        self.failures += 1
        self.error_share += (1 - self.error_share) * ERROR_SHARE
        return True

    def _health_change(
        self, health: str, for_ms: float, reason: str = ''
    ) -> ServerHealthChange:
        return ServerHealthChange(
            self.name,
            self.record.service,
            health,
            self.failures,
            round(self.mean_ms, 1),
            for_ms,
            reason or self.failure,
        )

    def _freshness(self, now_ms: float) -> float:
        """Return the weight of past measurements, from 1 (new) to 0 (expired)."""
        return max(0, 1 - (now_ms - self.last_received_ms) / LATENCY_RETENTION_MS)
