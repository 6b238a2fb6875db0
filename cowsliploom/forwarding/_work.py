"""One service's part of a request: its calls and what came of them."""

from dataclasses import dataclass

from cowsliploom.forwarding._budget import ExtraBudget
from cowsliploom.forwarding._messages import BackendAnswer
from cowsliploom.forwarding._servers import Server

REASON_MAX = 80  # characters of a failure's reason that are logged
REJECTED_MAX = 4  # sends that servers refuse, before the work gives up


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one call of a work.

    Parameters
    ----------
    server : Server
        Whom it went to.
    sent_ms : float
        When it was sent.
    """

    server: Server
    sent_ms: float


class Progress:
    """Count what the works of one request have come to."""

    def __init__(self) -> None:
        self.total = 0
        self.parts = 0
        self.ended = 0

    @property
    def open(self) -> int:
        """Return how many parts may still come."""
        return self.total - self.parts - self.ended


class SubRequest:
    """Own what one service has to do for a request.

    Parameters
    ----------
    service : str
        Service that is asked.
    budget : ExtraBudget
        Budget of the service for calls beyond the first.
    calls_max : int
        Calls that may be open at one server.
    progress : Progress
        Count that the works of one request share.
    """

    def __init__(
        self,
        service: str,
        budget: ExtraBudget,
        calls_max: int,
        progress: Progress,
    ) -> None:
        progress.total += 1
        self.progress = progress
        self.is_open = True
        self.service = service
        self.budget = budget
        self.calls_max = calls_max
        self.open: dict[int, Attempt] = {}
        self.tried: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.rejections = 0
        self.waits_until_ms: float | None = None
        self.part: BackendAnswer | None = None
        self.failure: BackendAnswer | None = None
        self.end_reason = ''
        self.last_failure = ''
        self.denial_reason = ''

    @property
    def may_have_run(self) -> bool:
        """Tell whether a server may have worked on a call."""
        return self.runs > 0

    def sent(self, call_id: int, attempt: Attempt) -> None:
        """Note a call, here and at its server."""
        attempt.server.sent(call_id, attempt.sent_ms)
        self.open[call_id] = attempt
        self.tried.add(attempt.server.name)
        self.sends += 1
        self.runs += 1
        self.waits_until_ms = None

    def note_failure(self, attempt: Attempt, now_ms: float, reason: str) -> None:
        """Remember what the latest call that failed came to."""
        elapsed_ms = now_ms - attempt.sent_ms
        name = attempt.server.name
        self.last_failure = f'{name} after {elapsed_ms:.0f} ms: {reason[:REASON_MAX]}'

    def did_not_run(self, attempt: Attempt, rejected: bool) -> None:
        """Take back a call that has certainly not run."""
        self.runs -= 1
        self.tried.discard(attempt.server.name)
        self.rejections += 1
        if not rejected:
            self.sends -= 1

    def deny(self) -> None:
        """Note that the budget denies an extra call, once for the request."""
        if not self.denial_reason:
            self.denial_reason = self.budget.deny()

    def may_send_again(self, attempts_max: int) -> bool:
        """Tell whether the bounds on attempts allow one more call."""
        return self.runs < attempts_max and self.rejections < REJECTED_MAX

    @property
    def newest_ms(self) -> float:
        """Return when the newest open call was sent."""
        return max((attempt.sent_ms for attempt in self.open.values()), default=0)

    def end_unless_open(self, reason: str) -> None:
        """Give the work up if no call is open."""
        if not self.open:
            self.end(reason)

    def end(self, reason: str) -> None:
        """Give the work up."""
        if self.is_open:
            self.is_open = False
            self.end_reason = reason
            self.progress.ended += 1

    def put_part(self, part: BackendAnswer) -> None:
        """Take a part that was merged with others, whatever there was before."""
        if self.end_reason:
            self.end_reason = ''
            self.progress.ended -= 1
            self.progress.parts += 1
        elif self.is_open:
            self.progress.parts += 1
        self.is_open = False
        self.part = part

    def take_part(self, part: BackendAnswer) -> None:
        """Take the service's answer, unless there is one or it came too late."""
        if self.is_open:
            self.is_open = False
            self.part = part
            self.progress.parts += 1
