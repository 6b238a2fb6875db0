"""One log line and one latency sample for each completed request."""

from cowsliploom.dataplane import Rejection
from cowsliploom.forwarding import (
    CallerRequest,
    ErrorReply,
    Exchange,
    ForwardedAnswer,
    MergedAnswer,
    Outcome,
    Reply,
    SubRequest,
)
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.platform import read_request_id


class RequestLog:
    """Record how requests ended.

    Parameters
    ----------
    log : LineLog
        Receives one line per request.
    metrics : Metrics
        Receives counters and latencies.
    store_view : StoreView
        Gives the configuration in force, logged for requests without a route.
    """

    def __init__(self, log: LineLog, metrics: Metrics, store_view: StoreView) -> None:
        self.log = log
        self.metrics = metrics
        self.store_view = store_view

    def record_end(
        self,
        request: CallerRequest,
        exchange: Exchange | None,
        reply: Reply | None,
        status: int,
        elapsed_ms: float,
    ) -> None:
        """Record the end of a request; ``reply`` is None if its caller disconnected."""
        outcome = outcome_of(reply)
        if exchange is None:
            self.metrics.observe_request('', outcome, elapsed_ms)
            self._log_unrouted(request, outcome, reply, status)
            return
        self.metrics.observe_request(exchange.route.name, outcome, elapsed_ms)
        self.metrics.count('hedges', exchange.hedges)
        self.metrics.count('retries', exchange.retries)
        self.log.write(
            'request',
            outcome,
            request_id=request.request_id,
            status=status,
            route=exchange.route.name,
            workspace=exchange.workspace.name,
            elapsed_ms=round(elapsed_ms, 1),
            patience_ms=request.patience_ms,
            hedges=exchange.hedges,
            retries=exchange.retries,
            missing=_missing_services(exchange),
            reason=reply.reason if isinstance(reply, ErrorReply) else '',
        )

    def record_rejection(self, rejection: Rejection) -> None:
        """Record a request that was rejected before it was received completely."""
        self.metrics.count('unreadable_requests')
        self.log.write(
            'request',
            'unreadable',
            request_id=read_request_id(rejection.headers),
            status=rejection.status,
            reason=rejection.reason,
            peer=rejection.peer,
        )

    def _log_unrouted(
        self, request: CallerRequest, outcome: str, reply: Reply | None, status: int
    ) -> None:
        known = self.store_view.in_force(request.arrived_ms)
        self.log.write(
            'request',
            outcome,
            request_id=request.request_id,
            status=status,
            reason=reply.reason if isinstance(reply, ErrorReply) else '',
            host=request.host,
            path=request.target,
            version=known.version,
            revision=known.revision,
            heard_revision=known.heard_revision,
            confirmed_age_ms=round(known.confirmed_age_ms),
        )


def outcome_of(reply: Reply | None) -> Outcome:
    """Return the outcome that a reply stands for."""
    match reply:
        case ForwardedAnswer():
            return Outcome.FORWARDED
        case MergedAnswer():
            return Outcome.MERGED
        case ErrorReply(outcome):
            return outcome
    return Outcome.CALLER_LEFT


def _missing_services(exchange: Exchange) -> list[str]:
    """Describe each service without a part: servers tried, and why none answered."""
    return [
        _describe_missing(sub_request)
        for sub_request in exchange.sub_requests
        if sub_request.part is None
    ]


def _describe_missing(sub_request: SubRequest) -> str:
    tried = '+'.join(sorted(sub_request.tried)) or 'nobody'
    text = f'{sub_request.service} tried={tried} {sub_request.end_reason or "open"}'
    if sub_request.denial_reason:
        text = f'{text}, {sub_request.denial_reason}'
    return f'{text} ({sub_request.last_failure})' if sub_request.last_failure else text
