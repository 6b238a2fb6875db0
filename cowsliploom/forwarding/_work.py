"""One service's part of a request: its calls and what came of them."""

from dataclasses import dataclass

from cowsliploom.forwarding._budget import ExtraBudget
from cowsliploom.forwarding._messages import BackendAnswer
from cowsliploom.forwarding._servers import Server

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


class Work:
    """Own what one service has to do for a request.

    Parameters
    ----------
    service : str
        Service that is asked.
    budget : ExtraBudget
        Budget of the service for calls beyond the first.
    calls_max : int
        Calls that may be open at one server.
    """

    def __init__(self, service: str, budget: ExtraBudget, calls_max: int) -> None:
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
        self.ended_by = ''

    @property
    def is_open(self) -> bool:
        """Tell whether a part may still come."""
        return self.part is None and not self.ended_by

    @property
    def may_have_run(self) -> bool:
        """Tell whether a server may have worked on a call."""
        return self.runs > 0

    def sent(self, call_id: int, attempt: Attempt) -> None:
        """Note a call."""
        self.open[call_id] = attempt
        self.tried.add(attempt.server.name)
        self.sends += 1
        self.runs += 1
        self.waits_until_ms = None

    def did_not_run(self, attempt: Attempt, rejected: bool) -> None:
        """Take back a call that has certainly not run."""
        self.runs -= 1
        self.tried.discard(attempt.server.name)
        self.rejections += 1
        if not rejected:
            self.sends -= 1

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
            self.ended_by = reason
