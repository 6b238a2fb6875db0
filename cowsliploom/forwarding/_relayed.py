"""Share of a query that one entry VM relays for another."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from cowsliploom.forwarding._exchange import Exchange
from cowsliploom.forwarding._exchange_context import ExchangeContext
from cowsliploom.forwarding._messages import (
    CallerRequest,
    Command,
    ErrorReply,
    ExchangeEvent,
    MergedAnswer,
    Outcome,
    Reply,
)
from cowsliploom.forwarding._records import merge_records
from cowsliploom.forwarding._routes import FanOut, Route
from cowsliploom.forwarding._sub_request import SubRequest


@dataclass(frozen=True, slots=True)
class RelayedPart:
    """Result of one shard: its signature, or that it has no answer.

    Parameters
    ----------
    shard : str
        Name of the shard.
    signature : str
        Signature of the server's answer; empty if there is no answer.
    may_have_run : bool
        Whether a server may have run the request.
    """

    shard: str
    signature: str = ''
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class RelayReport:
    """Results of some shards of a share.

    Parameters
    ----------
    parts : tuple of RelayedPart
        Shards that are in no earlier report.
    records : bytes
        Greatest records of their answers, greatest first. They are merged, so the
        report is valid only as a whole.
    leaving : tuple of str
        Servers called for these shards that have said that they leave.
    """

    parts: tuple[RelayedPart, ...]
    records: bytes
    leaving: tuple[str, ...] = ()


class _ShareReplyPolicy:
    """End a share once each of its shards has a result, or at the time limit."""

    def __init__(self, sub_requests: tuple[SubRequest, ...], limit_ms: float) -> None:
        self._sub_requests = sub_requests
        self._limit_ms = limit_ms

    def decide(self, now_ms: float) -> Reply | None:
        """Return a placeholder reply, which is not sent, once nothing is pending."""
        if not self._sub_requests[0].counts.pending:
            return MergedAnswer((), 0, b'')
        if now_ms >= self._limit_ms:
            return ErrorReply(Outcome.TIMED_OUT, 'no answer in time')
        return None


class RelayedShare:
    """Call each shard of a share once, and report the results.

    Parameters
    ----------
    context : ExchangeContext
        State that all exchanges share.
    request : CallerRequest
        The caller's request.
    route : Route
        Route of the share.
    sub_requests : tuple of SubRequest
        One for each shard of the share.
    report_ms : float
        When answers are first reported, unless all are known earlier; after that
        each one is reported as it arrives.

    Notes
    -----
    Failures are reported at once. Where many servers lose answers together, a call
    elsewhere is then still in time for the caller.

    A shard is called again only if the request certainly did not run. Hedges and
    retries are left to the requesting entry VM, so that a single one enforces the limit
    on attempts.
    """

    def __init__(
        self,
        context: ExchangeContext,
        request: CallerRequest,
        route: Route,
        sub_requests: tuple[SubRequest, ...],
        report_ms: float,
    ) -> None:
        self._fleet = context.fleet
        self._sub_requests = sub_requests
        self._report_ms = report_ms
        self._records_max = route.fan_out.records_max if route.fan_out else 0
        self._reported: set[str] = set()
        limit_ms = request.arrived_ms + request.patience_ms
        reply_policy = _ShareReplyPolicy(sub_requests, limit_ms)
        self.exchange = Exchange(
            context, request, route, sub_requests, reply_policy=reply_policy
        )

    @property
    def due_ms(self) -> float:
        """When the share is to be checked again."""
        due_ms = self.exchange.due_ms
        if self._unreported():
            return min(due_ms, self._report_ms)
        return due_ms

    @property
    def is_over(self) -> bool:
        """Whether the share is finished and has no open call."""
        return self.exchange.is_over

    def start(self, now_ms: float) -> list[Command]:
        """Send the calls."""
        return self.exchange.start(now_ms)

    def step(self, event: ExchangeEvent) -> list[Command]:
        """Handle one event and return the resulting commands, in order."""
        return self.exchange.step(event)

    def chosen_servers(self) -> tuple[str, ...]:
        """Return the server that was called for each shard; empty if none was."""
        return tuple(
            next(iter(sub_request.tried), '') for sub_request in self._sub_requests
        )

    def report(self, now_ms: float) -> RelayReport | None:
        """Return the report that is due now, or None."""
        unreported = self._unreported()
        is_due = now_ms >= self._report_ms or self.exchange.reply is not None
        if not is_due:
            unreported = [one for one in unreported if one.part is None]
        if not unreported:
            return None
        self._reported.update(sub_request.service for sub_request in unreported)
        bodies = (
            sub_request.part.body
            for sub_request in unreported
            if sub_request.part is not None
        )
        return RelayReport(
            tuple(_part_of(sub_request) for sub_request in unreported),
            merge_records(bodies, self._records_max),
            tuple(self._leaving_servers(unreported)),
        )

    def _leaving_servers(self, sub_requests: Iterable[SubRequest]) -> Iterator[str]:
        """Return the servers called that have said that they leave."""
        for sub_request in sub_requests:
            for name in sub_request.tried:
                server = self._fleet.get(name)
                if server is not None and server.standing.is_leaving:
                    yield name

    def _unreported(self) -> list[SubRequest]:
        return [
            sub_request
            for sub_request in self._sub_requests
            if not sub_request.is_open and sub_request.service not in self._reported
        ]


def share_route(name: str, fan_out: FanOut, timeout_ms: float) -> Route:
    """Return the route of a share: one attempt per shard, with one timeout."""
    return Route(name, '', '', False, 1, timeout_ms, timeout_ms, fan_out=fan_out)


def _part_of(sub_request: SubRequest) -> RelayedPart:
    signature = '' if sub_request.part is None else sub_request.part.signature
    return RelayedPart(sub_request.service, signature, sub_request.may_have_run)
