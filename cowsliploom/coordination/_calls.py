"""Calls of a member that wait for an answer."""

from dataclasses import dataclass
from enum import Enum, auto

from cowsliploom.members import Member


class CallPurpose(Enum):
    """Say what a call is for."""

    PROBE = auto()
    PROBE_REQUEST = auto()
    INDIRECT_PROBE = auto()
    SYNC = auto()
    SAMPLE = auto()
    CONTACT = auto()


@dataclass(frozen=True, slots=True)
class OpenCall:
    """Hold a call that has not been answered.

    Parameters
    ----------
    purpose : CallPurpose
        What the call is for.
    target : Member
        Who was called.
    sent_ms, deadline_ms : float
        When it was sent, and when it counts as failed.
    about : str
        Member that a helper is asked about, or data centre asked for.
    request_id : int
        Request that waits for this call, for a helper.
    """

    purpose: CallPurpose
    target: Member
    sent_ms: float
    deadline_ms: float
    about: str = ''
    request_id: int = 0


class OpenCalls:
    """Number the open calls and find those past their deadline."""

    def __init__(self) -> None:
        self._next_id = 1
        self._open: dict[int, OpenCall] = {}

    def open(self, call: OpenCall) -> int:
        """Keep a call and return its number."""
        call_id = self._next_id
        self._next_id += 1
        self._open[call_id] = call
        return call_id

    def close(self, call_id: int) -> OpenCall | None:
        """Return a call and forget it; None when it was closed before."""
        return self._open.pop(call_id, None)

    def close_expired(self, now_ms: float) -> tuple[OpenCall, ...]:
        """Return the calls past their deadline and forget them."""
        expired = [
            call_id
            for call_id, call in self._open.items()
            if call.deadline_ms <= now_ms
        ]
        return tuple(self._open.pop(call_id) for call_id in expired)

    def close_all(self) -> None:
        """Forget all calls."""
        self._open.clear()

    def is_open(self, purpose: CallPurpose, about: str = '') -> bool:
        """Tell whether a call of this purpose waits for its answer."""
        return any(
            call.purpose is purpose and call.about == about
            for call in self._open.values()
        )
