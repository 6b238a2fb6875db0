"""What one entry VM knows of one backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

LOAD_FRESH_MS = 250.0  # an older report of load says little
LATENCY_SHARE = 0.1  # weight of the newest sample in the mean
PAUSED_RATIO = 3.0  # a call open for longer than this many means hints at a pause
PAUSED_MIN_MS = 15.0
RESTED_MIN_MS = 400.0  # first rest after failures; doubles up to the most
RESTED_MAX_MS = 3000.0
MEMORY_MS = 3000.0  # silence after which what was learnt of a latency is void
FULL_MIN_MS = 8.0  # before a server that shed is asked again
SILENCE_MIN_MS = 200.0  # a pause is shorter
SILENCE_RATIO = 4.0
SAME_CAUSE_MS = 2.0  # calls that fail within this time failed together
ERROR_SHARE = 0.2  # weight of the newest outcome in the share of failures


class ServerState(StrEnum):
    """Name what a backend server says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Hold what a backend server last registered.

    Parameters
    ----------
    name : str
        Name of this incarnation.
    service, address, data_centre, version : str
        What it serves, where, and in which software version.
    slots : int
        Requests that it works on at once.
    state : ServerState
        Whether it takes new requests.
    cold_ms : float
        How much longer it stays cold, counted from the registration.
    sequence : int
        Count of its registrations.
    born_ms : float
        Wall time of its start; 0 where it doesn't say.
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
    """Hold what a backend server said of its load with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ServerHealthChange:
    """Tell that what is believed of a server has changed, and from what.

    Parameters
    ----------
    server, service : str
        Which server, and what it serves.
    belief : str
        What is believed now.
    failures : int
        Calls in a row that failed.
    mean_ms : float
        Mean time of its answers.
    for_ms : float
        How long the belief holds without news; 0 for as long as there is none.
    reason : str
        What the latest failure was; empty after a success.
    """

    server: str
    service: str
    health: str
    failures: int = 0
    mean_ms: float = 0
    for_ms: float = 0
    reason: str = ''


def keep_silent(belief: ServerHealthChange) -> None:
    """Tell nobody of a changed belief."""


class Server:
    """Track one incarnation of a backend server: its calls and how they went.

    Parameters
    ----------
    record : ServerRecord
        Latest registration.
    now_ms : float
        When it was heard.
    tell : callable
        Hears of changed beliefs.
    """

    def __init__(
        self,
        record: ServerRecord,
        now_ms: float,
        tell: Callable[[ServerHealthChange], None] = keep_silent,
    ) -> None:
        self.record = record
        self._tell = tell
        self.cold_until_ms = now_ms + record.cold_ms
        self.open_calls: dict[int, float] = {}
        self.mean_ms: float = 0
        self.load = LoadReport(0, 0, record.slots)
        self.load_ms = -LOAD_FRESH_MS
        self.rests_until_ms: float = 0
        self.failures = 0
        self.failure = ''
        self.error_share: float = 0
        self.shed_share: float = 0
        self.is_leaving = False
        self.is_gone = False
        self.last_received_ms = float('-inf')
        self._failed_ms = float('-inf')
        self.full_until_ms = float('-inf')

    @property
    def name(self) -> str:
        """Return the incarnation's name."""
        return self.record.name

    @property
    def takes_requests(self) -> bool:
        """Tell whether new requests may be sent at all."""
        ready = self.record.state is ServerState.READY
        return ready and not self.is_leaving and not self.is_gone

    def take_record(self, record: ServerRecord, now_ms: float) -> None:
        """Take a newer registration of the same incarnation."""
        if record.cold_ms > 0:
            heard_ms = now_ms + record.cold_ms
            was_cold = self.is_cold(now_ms)
            self.cold_until_ms = (
                min(self.cold_until_ms, heard_ms) if was_cold else heard_ms
            )
        self.record = record

    def take_load(self, load: LoadReport, now_ms: float) -> None:
        """Take a report of load."""
        self.load = load
        self.load_ms = now_ms

    def is_cold(self, now_ms: float) -> bool:
        """Tell whether the server is cold."""
        return now_ms < self.cold_until_ms

    def is_resting(self, now_ms: float) -> bool:
        """Tell whether failures keep requests off the server for now."""
        return now_ms < self.rests_until_ms or self.is_silent(now_ms)

    def is_silent(self, now_ms: float) -> bool:
        """Tell whether nothing came for far longer than an answer takes."""
        patience_ms = max(SILENCE_MIN_MS, SILENCE_RATIO * self.mean_ms)
        return self.is_unheard(now_ms, patience_ms)

    def is_unheard(self, now_ms: float, for_ms: float) -> bool:
        """Tell whether nothing came since the oldest open call, sent so long ago."""
        if not self.open_calls:
            return False
        sent_ms = next(iter(self.open_calls.values()))
        return self.last_received_ms < sent_ms and now_ms - sent_ms > for_ms

    def sent(self, call_id: int, now_ms: float) -> None:
        """Count a call."""
        self.open_calls[call_id] = now_ms

    def ended(self, call_id: int) -> None:
        """Take a call off the count."""
        self.open_calls.pop(call_id, None)

    def succeeded(self, elapsed_ms: float) -> None:
        """Learn from a good answer."""
        self.failure = ''
        if self.rests_until_ms:
            self.rests_until_ms = 0
            self._tell(self._belief('answers again', 0))
        self.failures = 0
        self.error_share *= 1 - ERROR_SHARE
        self.shed_share *= 1 - ERROR_SHARE
        if self.mean_ms:
            self.mean_ms += (elapsed_ms - self.mean_ms) * LATENCY_SHARE
        else:
            self.mean_ms = elapsed_ms

    def shed(self, now_ms: float) -> None:
        """Learn from a refusal for want of room; one slot may be free by then."""
        self.shed_share += (1 - self.shed_share) * ERROR_SHARE
        free_ms = self.mean_ms / max(1, self.record.slots)
        self.full_until_ms = now_ms + max(FULL_MIN_MS, free_ms)

    def failed(self, now_ms: float, reason: str = '') -> None:
        """Learn from a failure, and rest the longer the more there were."""
        self.failure = reason
        if self._is_news(now_ms) and self.failures > 1:
            self.rest(now_ms)

    def unreachable(self, now_ms: float, reason: str = '') -> None:
        """Learn from a refused or silent connection; rest at once."""
        self.failure = reason
        if self._is_news(now_ms):
            self.rest(now_ms)

    def rest(self, now_ms: float) -> None:
        """Keep requests off for a while."""
        rested_before = now_ms < self.rests_until_ms
        rest_ms = RESTED_MIN_MS * 2 ** min(self.failures - 1, 8)
        rest_ms = min(rest_ms, RESTED_MAX_MS)
        self.rests_until_ms = now_ms + rest_ms
        if not rested_before:
            self._tell(self._belief('rests', rest_ms))

    def oldest_wait_ms(self, now_ms: float) -> float:
        """Return how long the oldest open call has been waiting."""
        if not self.open_calls:
            return 0
        return now_ms - next(iter(self.open_calls.values()))

    def typical_ms(self, now_ms: float, usual_ms: float) -> float:
        """Return the server's mean, the nearer to the usual the older it is."""
        if not self.mean_ms:
            return usual_ms
        fresh = self._freshness(now_ms)
        return self.mean_ms * fresh + usual_ms * (1 - fresh)

    def expected_ms(self, now_ms: float, usual_ms: float) -> float:
        """Return the time that one more call is likely to take.

        Parameters
        ----------
        now_ms : float
            Time by the own steady clock.
        usual_ms : float
            What calls of this kind usually take, at any server.
        """
        mean_ms = self.typical_ms(now_ms, usual_ms)
        slots = max(1, self.record.slots)
        ahead = len(self.open_calls)
        if now_ms - self.load_ms < LOAD_FRESH_MS:
            ahead = max(ahead, self.load.running + self.load.waiting)
        queue = max(0, ahead + 1 - slots) / slots
        expected_ms = mean_ms * (1 + queue) + ahead * mean_ms / slots / 4
        waited_ms = self.oldest_wait_ms(now_ms)
        if waited_ms > max(PAUSED_MIN_MS, PAUSED_RATIO * mean_ms):
            expected_ms += waited_ms
        trouble = (self.error_share + self.shed_share) * self._freshness(now_ms)
        return expected_ms * (1 + 4 * trouble)

    def _is_news(self, now_ms: float) -> bool:
        """Note a failure; several at once have one cause and count once."""
        if now_ms - self._failed_ms < SAME_CAUSE_MS:
            return False
        self._failed_ms = now_ms
        self.failures += 1
        self.error_share += (1 - self.error_share) * ERROR_SHARE
        return True

    def _belief(self, belief: str, for_ms: float) -> ServerHealthChange:
        return ServerHealthChange(
            self.name,
            self.record.service,
            belief,
            self.failures,
            round(self.mean_ms, 1),
            for_ms,
            self.failure,
        )

    def _freshness(self, now_ms: float) -> float:
        """Return how much what was learnt still counts, from 1 to 0."""
        return max(0, 1 - (now_ms - self.last_received_ms) / MEMORY_MS)
