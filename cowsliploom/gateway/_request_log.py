"""One line and one sample for each request that has ended."""

from cowsliploom.dataplane import Rejection
from cowsliploom.forwarding import (
    CallerRequest,
    Exchange,
    MergedAnswer,
    Outcome,
    ForwardedAnswer,
    Reply,
    ErrorReply,
    SubRequest,
)
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.platform import read_request_id


class RequestLog:
    """Tell how requests ended.

    Parameters
    ----------
    log : LineLog
        Log of lines.
    metrics : Metrics
        Counters and histograms.
    store_view : StoreView
        Tells which configuration a request met.
    """

    def __init__(self, log: LineLog, metrics: Metrics, store_view: StoreView) -> None:
        self.log = log
        self.metrics = metrics
        self.store_view = store_view

    def ended(
        self,
        request: CallerRequest,
        exchange: Exchange | None,
        reply: Reply | None,
        status: int,
        elapsed_ms: float,
    ) -> None:
        """Note the end of a request; ``reply`` is None when its caller left."""
        outcome = outcome_of(reply)
        if exchange is None:
            self.metrics.request('', outcome, elapsed_ms)
            self._without_route(request, outcome, reply, status)
            return
        self.metrics.request(exchange.route.name, outcome, elapsed_ms)
        self.metrics.count('hedges', exchange.hedges)
        self.metrics.count('retries', exchange.retries)
        self.log.write(
            'request',
            outcome,
            request_id=request.request_id,
            status=status,
            route=exchange.route.name,
            elapsed_ms=round(elapsed_ms, 1),
            patience_ms=request.patience_ms,
            hedges=exchange.hedges,
            retries=exchange.retries,
            missing=_missing(exchange),
            reason=reply.reason if isinstance(reply, ErrorReply) else '',
        )

    def rejected(self, rejection: Rejection) -> None:
        """Note a request that was refused before it was whole."""
        self.metrics.count('unreadable_requests')
        self.log.write(
            'request',
            'unreadable',
            request_id=read_request_id(rejection.headers),
            status=rejection.status,
            reason=rejection.reason,
            peer=rejection.peer,
        )

    def _without_route(
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
    """Return how a request ended."""
    match reply:
        case ForwardedAnswer():
            return Outcome.FORWARDED
        case MergedAnswer():
            return Outcome.MERGED
        case ErrorReply(outcome):
            return outcome
    return Outcome.CALLER_LEFT


def _missing(exchange: Exchange) -> list[str]:
    """Return which services are missing, whom they were sent to, and why."""
    return [_missed(work) for work in exchange.sub_requests if work.part is None]


def _missed(work: SubRequest) -> str:
    tried = '+'.join(sorted(work.tried)) or 'nobody'
    text = f'{work.service} tried={tried} {work.end_reason or "open"}'
    if work.denial_reason:
        text = f'{text}, {work.denial_reason}'
    return f'{text} ({work.last_failure})' if work.last_failure else text
