"""Sub-request of one service: its calls and their results."""

from dataclasses import dataclass

from cowsliploom.forwarding._budget import ExtraBudget
from cowsliploom.forwarding._messages import BackendAnswer
from cowsliploom.forwarding._servers import Server

REASON_MAX = 80  # characters of a failure reason in the log
REJECTED_MAX = 4  # calls that servers reject before the sub-request ends


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call of a sub-request.

    Parameters
    ----------
    server : Server
        Server that was called.
    sent_ms : float
        When it was sent.
    """

    server: Server
    sent_ms: float


class SubRequestCounts:
    """Counts of a request's sub-requests by state."""

    def __init__(self) -> None:
        self.total = 0
        self.answered = 0
        self.failed = 0

    @property
    def pending(self) -> int:
        """Number of sub-requests that may still be answered."""
        return self.total - self.answered - self.failed


class SubRequest:
    """Track the calls of a request to one service.

    Parameters
    ----------
    service : str
        Service to call.
    budget : ExtraBudget
        Budget of the service for extra calls.
    calls_max : int
        Limit on open calls at one server.
    counts : SubRequestCounts
        Counts that the sub-requests of one request share.
    sharers : int
        Entry VMs that may call the same servers. Default 1.
    """

    def __init__(
        self,
        service: str,
        budget: ExtraBudget,
        calls_max: int,
        counts: SubRequestCounts,
        sharers: int = 1,
    ) -> None:
        counts.total += 1
        self.sharers = sharers
        self.counts = counts
        self.is_open = True
        self.service = service
        self.budget = budget
        self.calls_max = calls_max
        self.open_attempts: dict[int, Attempt] = {}
        self.tried: set[str] = set()
        self.sends = 0
        self.possible_runs = 0
        self.rejections = 0
        self.next_send_ms: float | None = None
        self.part: BackendAnswer | None = None
        self.failure: BackendAnswer | None = None
        self.end_reason = ''
        self.retry_after_ms: float | None = None
        self.last_failure = ''
        self.denial_reason = ''

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run a call."""
        return self.possible_runs > 0

    def add_attempt(self, call_id: int, attempt: Attempt) -> None:
        """Record a call, here and at its server."""
        attempt.server.add_call(call_id, attempt.sent_ms)
        self.open_attempts[call_id] = attempt
        self.tried.add(attempt.server.name)
        self.sends += 1
        self.possible_runs += 1
        self.next_send_ms = None

    def record_failure(self, attempt: Attempt, now_ms: float, reason: str) -> None:
        """Record the latest failed call for the log."""
        elapsed_ms = now_ms - attempt.sent_ms
        name = attempt.server.name
        self.last_failure = f'{name} after {elapsed_ms:.0f} ms: {reason[:REASON_MAX]}'

    def discount_attempt(self, attempt: Attempt, rejected: bool) -> None:
        """Discount a call that certainly did not run; it counts as sent if rejected."""
        self.possible_runs -= 1
        self.tried.discard(attempt.server.name)
        self.rejections += 1
        if not rejected:
            self.sends -= 1

    def deny(self) -> None:
        """Record that the budget denied an extra call, once per sub-request."""
        if not self.denial_reason:
            self.denial_reason = self.budget.deny()

    def may_send_again(self, attempts_max: int) -> bool:
        """Return whether the limits on attempts allow one more call."""
        return self.possible_runs < attempts_max and self.rejections < REJECTED_MAX

    @property
    def newest_ms(self) -> float:
        """When the newest open call was sent."""
        return max(
            (attempt.sent_ms for attempt in self.open_attempts.values()), default=0
        )

    def end_unless_open(self, reason: str) -> None:
        """End the sub-request without an answer if no call is open."""
        if not self.open_attempts:
            self.end(reason)

    def end(self, reason: str, retry_after_ms: float | None = None) -> None:
        """End the sub-request without an answer.

        Parameters
        ----------
        reason : str
            Why there is none.
        retry_after_ms : float or None
            Time after which a server may be called again, if that is known.
        """
        if self.is_open:
            self.retry_after_ms = retry_after_ms
            self.is_open = False
            self.end_reason = reason
            self.counts.failed += 1

    def accept_merged_part(self, part: BackendAnswer) -> None:
        """Accept an answer merged with others; it replaces any earlier result."""
        if self.end_reason:
            self.end_reason = ''
            self.counts.failed -= 1
            self.counts.answered += 1
        elif self.is_open:
            self.counts.answered += 1
        self.is_open = False
        self.part = part

    def accept_part(self, part: BackendAnswer) -> None:
        """Accept the service's answer if the sub-request is still open."""
        if self.is_open:
            self.is_open = False
            self.part = part
            self.counts.answered += 1
