"""Fake backend server that records what reaches it after it asked for no requests."""

import time
from collections import Counter
from dataclasses import dataclass

from cowsliploom.dataplane import HttpRequest
from cowsliploom.standins._fake_backend import FakeBackendServer

REQUEST_ID = 'request-id'


@dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of a request of one gateway.

    Parameters
    ----------
    gateway : str
        Gateway that sent it: the part of its request id before the first ``-``.
    at_s : float
        Monotonic time in seconds.
    """

    gateway: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Pause that one gateway was asked for, in seconds of the monotonic clock."""

    gateway: str
    since_s: float
    until_s: float


class NoticeRecorder(FakeBackendServer):
    """Record arrivals, and what each gateway was told.

    Parameters
    ----------
    name, service : str
        Instance name and the service it belongs to.

    Attributes
    ----------
    arrivals : list of Arrival
        All requests.
    told_s : dict
        When each gateway was first told that the server leaves.
    pauses : list of Pause
        Pauses that the gateways were asked for.
    """

    def __init__(self, name: str, service: str) -> None:
        super().__init__(name, service, b'x')
        self.arrivals: list[Arrival] = []
        self.told_s: dict[str, float] = {}
        self.pauses: list[Pause] = []

    def forget(self, gateway: str) -> None:
        """Forget what a gateway was told, as it has been restarted."""
        self.told_s.pop(gateway, None)
        self.pauses = [pause for pause in self.pauses if pause.gateway != gateway]

    def late_after_leaving(self, slack_s: float) -> Counter[str]:
        """Return the requests that came after a gateway was told, by gateway."""
        return Counter(
            arrival.gateway
            for arrival in self.arrivals
            if arrival.at_s > self.told_s.get(arrival.gateway, float('inf')) + slack_s
        )

    def most_in_a_pause(self, slack_s: float) -> int:
        """Return the most requests of a gateway in the later part of a pause."""
        return max((self._count_in(pause, slack_s) for pause in self.pauses), default=0)

    def _count_in(self, pause: Pause, slack_s: float) -> int:
        return sum(
            arrival.gateway == pause.gateway
            and pause.since_s + slack_s < arrival.at_s < pause.until_s
            for arrival in self.arrivals
        )

    def _dispatch(self, request: HttpRequest) -> None:
        headers = {name.lower(): text for name, text in request.headers}
        gateway = headers.get(REQUEST_ID, '').partition('-')[0]
        now_s = time.monotonic()
        self.arrivals.append(Arrival(gateway, now_s))
        if self.faults.sheds and self.faults.pause_text:
            until_s = now_s + float(self.faults.pause_text)
            self.pauses.append(Pause(gateway, now_s, until_s))
        super()._dispatch(request)

    async def _answer(self, request: HttpRequest, request_id: str) -> None:
        await super()._answer(request, request_id)
        if self.faults.is_leaving:
            self.told_s.setdefault(request_id.partition('-')[0], time.monotonic())
