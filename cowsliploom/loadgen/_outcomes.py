"""Outcomes of callers' requests."""

from collections.abc import Callable
from dataclasses import dataclass

from cowsliploom.loadgen._arrivals import Arrival
from cowsliploom.protocol import AnswerCoverage, Ran


@dataclass(frozen=True, slots=True)
class Answered:
    """Answered search."""

    snapshot: int
    coverage: AnswerCoverage


@dataclass(frozen=True, slots=True)
class Booked:
    """Completed booking; ``replayed`` if its outcome had already been recorded."""

    replayed: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """Refusal by the entry VM, as received."""

    status: int
    cause: str
    ran: Ran


@dataclass(frozen=True, slots=True)
class Failed:
    """Request without a readable answer."""

    reason: str


Outcome = Answered | Booked | Refused | Failed


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Finished request; times count from the start of the run.

    Parameters
    ----------
    arrival : Arrival
        Request and its due time.
    sent_ms : float
        Time when a worker began to send it.
    ended_ms : float
        Time when the outcome was known.
    attempts : int
        Number of times the request was sent.
    outcome : Outcome
        Outcome of the last attempt.
    """

    arrival: Arrival
    sent_ms: float
    ended_ms: float
    attempts: int
    outcome: Outcome

    @property
    def latency_ms(self) -> float:
        """Return the time from when the request was due to its outcome."""
        return self.ended_ms - self.arrival.at_ms


OnRecord = Callable[[CallRecord], None]


def ignore_record(_record: CallRecord) -> None:
    """Discard a record."""
