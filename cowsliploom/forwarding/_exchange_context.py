"""What an exchange needs of its surroundings."""

from typing import Protocol

from cowsliploom.forwarding._call_history import CallHistory
from cowsliploom.forwarding._fleet import Fleet
from cowsliploom.forwarding._latency import RecentLatency
from cowsliploom.forwarding._messages import Reply
from cowsliploom.forwarding._relay_plan import RelayShare
from cowsliploom.forwarding._routes import Route
from cowsliploom.forwarding._servers import Server


class ExchangeContext(Protocol):
    """State that all exchanges share."""

    fleet: Fleet
    calls: CallHistory

    @property
    def loop_lag_ms(self) -> float:
        """Typical delay between a timer's due time and its handling."""
        ...

    @property
    def report_lag_ms(self) -> float:
        """Typical delay between a report's due time at the relay and its arrival."""
        ...

    def record_report_lag(self, lag_ms: float) -> None:
        """Record by how much a relay's first report arrived after it was due."""
        ...

    def next_call_id(self) -> int:
        """Return an unused call id."""
        ...

    def latency(self, route: Route) -> RecentLatency:
        """Return the recent latency of a route's calls."""
        ...

    def relay(self, share: RelayShare, now_ms: float) -> Server:
        """Return the relay of a share, tracked like a backend server."""
        ...

    def retry_after_ms(self, base_ms: float) -> float:
        """Return a randomised retry delay, so that callers do not retry together."""
        ...


class ReplyPolicy(Protocol):
    """Decides when and how a request is replied to."""

    def decide(self, now_ms: float) -> Reply | None:
        """Return the reply, or None if the request goes on waiting."""
        ...
