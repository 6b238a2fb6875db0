"""Outcomes of callers' requests."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.loadgen._arrivals import Arrival
from cowsliploom.protocol import AnswerCoverage, Ran


@dataclass(frozen=True, slots=True)
class Answered:
    """Report a search that was answered."""

    snapshot: int
    coverage: AnswerCoverage


@dataclass(frozen=True, slots=True)
class Booked:
    """Report a booking that ran; ``replayed`` when its outcome was recorded."""

    replayed: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """Report a refusal as the entry VM gave it."""

    status: int
    cause: str
    ran: Ran


@dataclass(frozen=True, slots=True)
class Failed:
    """Report a request that got no readable answer."""

    reason: str


Outcome = Answered | Booked | Refused | Failed


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Hold one finished request; times are from the start of the run.

    Parameters
    ----------
    arrival : Arrival
        What was due, and when.
    sent_ms : float
        When the first byte could be sent.
    ended_ms : float
        When the answer was read.
    attempts : int
        Times that it was sent.
    outcome : Outcome
        How it ended.
    """

    arrival: Arrival
    sent_ms: float
    ended_ms: float
    attempts: int
    outcome: Outcome

    @property
    def latency_ms(self) -> float:
        """Return the time from when the request was due."""
        return self.ended_ms - self.arrival.at_ms


OnRecord = Callable[[CallRecord], None]


def ignore_record(_record: CallRecord) -> None:
    """Take a record and do nothing."""
