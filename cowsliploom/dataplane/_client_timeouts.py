"""Decisions on clients that take too long; sans-IO."""

from dataclasses import dataclass
from enum import Enum

from cowsliploom.dataplane._pace import ReadingPace
from cowsliploom.forwarding import CallerLimits

REJECTED_LINGER_MS = 500  # for which a rejected caller may go on sending
END_MAX_MS = 500  # from the end of a connection until it is reset


class Phase(Enum):
    """What a connection waits for."""

    IDLE = 'a request'
    READING = 'the rest of a request'
    ANSWERING = 'an answer, or its caller to read it'
    REJECTED = 'its rejected caller to close it'


class Verdict(Enum):
    """What is to be done with a connection."""

    KEEP = 'keep'
    REJECT = 'reject the request'
    CLOSE = 'close'
    RESET = 'reset'


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """State of a connection when its timeouts are checked.

    Parameters
    ----------
    phase : Phase
        What it waits for.
    unsent_bytes : int
        What its client has not read yet.
    """

    phase: Phase
    unsent_bytes: int


class ClientTimeouts:
    """Bound the time for which a client may hold a connection.

    Attributes
    ----------
    phase_start_ms : float
        When the phase of the connection began.
    """

    def __init__(self) -> None:
        self.phase_start_ms: float = 0
        self._end_ms = float('inf')
        self._pace = ReadingPace()

    @property
    def is_ending(self) -> bool:
        """Whether the connection was ended."""
        return self._end_ms < float('inf')

    def end(self, now_ms: float) -> None:
        """Let a connection that is ended be reset if its client keeps it open."""
        self._end_ms = min(self._end_ms, now_ms + END_MAX_MS)

    def check(
        self, now_ms: float, state: ConnectionState, limits: CallerLimits
    ) -> Verdict:
        """Return what is to be done with a connection now."""
        is_too_slow = self._pace.is_too_slow(
            state.unsent_bytes, now_ms, limits.idle_timeout_ms
        )
        if is_too_slow or now_ms > self._end_ms:
            return Verdict.RESET
        elapsed_ms = now_ms - self.phase_start_ms
        match state.phase:
            case Phase.REJECTED if elapsed_ms > REJECTED_LINGER_MS:
                return Verdict.CLOSE
            case Phase.READING if elapsed_ms > limits.header_timeout_ms:
                return Verdict.REJECT
            case Phase.IDLE if elapsed_ms > limits.idle_timeout_ms:
                return Verdict.CLOSE
        return Verdict.KEEP
