"""Outgoing calls of a member that have not been answered yet."""

from dataclasses import dataclass
from enum import Enum, auto

from cowsliploom.members import Member


class CallPurpose(Enum):
    """Purpose of an outgoing call."""

    PROBE = auto()
    PROBE_REQUEST = auto()
    INDIRECT_PROBE = auto()
    SYNC = auto()
    SAMPLE = auto()
    CONTACT = auto()


@dataclass(frozen=True, slots=True)
class OpenCall:
    """Outgoing call that has not been answered.

    Parameters
    ----------
    purpose : CallPurpose
        What the call is for.
    target : Member
        Member that was called.
    sent_ms, deadline_ms : float
        When it was sent, and when it counts as failed.
    subject : str
        Member that a helper is asked to probe, or data centre whose sample is
        requested.
    request_id : int
        Incoming probe request that this helper's probe serves.
    """

    purpose: CallPurpose
    target: Member
    sent_ms: float
    deadline_ms: float
    subject: str = ''
    request_id: int = 0


class OpenCalls:
    """Assign ids to open calls and find those past their deadline."""

    def __init__(self) -> None:
        self._next_id = 1
        self._open: dict[int, OpenCall] = {}

    def open(self, call: OpenCall) -> int:
        """Register a call and return its id."""
        call_id = self._next_id
        self._next_id += 1
        self._open[call_id] = call
        return call_id

    def close(self, call_id: int) -> OpenCall | None:
        """Remove and return a call; None if it was already closed."""
        return self._open.pop(call_id, None)

    def close_expired(self, now_ms: float) -> tuple[OpenCall, ...]:
        """Remove and return the calls past their deadline."""
        expired = [
            call_id
            for call_id, call in self._open.items()
            if call.deadline_ms <= now_ms
        ]
        return tuple(self._open.pop(call_id) for call_id in expired)

    def close_all(self) -> None:
        """Drop all calls, so that late answers to them are ignored."""
        self._open.clear()

    def is_open(self, purpose: CallPurpose, subject: str = '') -> bool:
        """Return whether a call of this purpose is still unanswered."""
        return any(
            call.purpose is purpose and call.subject == subject
            for call in self._open.values()
        )
