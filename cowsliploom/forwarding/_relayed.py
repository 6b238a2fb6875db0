"""The part of a query that one entry VM carries out for another."""

from dataclasses import dataclass

from cowsliploom.forwarding._exchange import Desk, Exchange
from cowsliploom.forwarding._messages import (
    CallerRequest,
    Command,
    ExchangeEvent,
    MergedAnswer,
    Outcome,
    Reply,
    ErrorReply,
)
from cowsliploom.forwarding._records import merge_records
from cowsliploom.forwarding._routes import FanOut, Route
from cowsliploom.forwarding._work import SubRequest


@dataclass(frozen=True, slots=True)
class RelayedPart:
    """Hold what one shard came to: its signature, or that there is none.

    Parameters
    ----------
    shard : str
        Which shard.
    signature : str
        The server's mark on its part; empty where there is no part.
    may_have_run : bool
        Whether a server may have worked on the request.
    """

    shard: str
    signature: str = ''
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class RelayReport:
    """Tell what some shards of a share came to.

    Parameters
    ----------
    parts : tuple of RelayedPart
        Shards that no earlier report names.
    records : bytes
        Greatest records of the parts among them, greatest first. They can't be told
        apart any more, so the report is taken whole or not at all.
    """

    parts: tuple[RelayedPart, ...]
    records: bytes


class _ShareVerdict:
    """End a share when each of its shards has come to something."""

    def __init__(self, works: tuple[SubRequest, ...], limit_ms: float) -> None:
        self._works = works
        self._limit_ms = limit_ms

    def conclude(self, now_ms: float) -> Reply | None:
        """Return a reply, which goes nowhere, once nothing is open."""
        if not self._works[0].progress.open:
            return MergedAnswer((), 0, b'')
        if now_ms >= self._limit_ms:
            return ErrorReply(Outcome.TIMED_OUT, 'no answer in time')
        return None


class RelayedShare:
    """Ask the shards of a share once each, and report what they came to.

    Parameters
    ----------
    desk : Desk
        What exchanges share.
    request : CallerRequest
        The caller's request.
    route : Route
        Route of the share.
    works : tuple of Work
        One for each shard of the share.
    report_ms : float
        From then on each part is reported as it comes; before, all together.

    Notes
    -----
    A shard is asked once more only where the request has certainly not run. Hedges
    and retries are the asking entry VM's, so that the bound on attempts has one
    owner.
    """

    def __init__(
        self,
        desk: Desk,
        request: CallerRequest,
        route: Route,
        works: tuple[SubRequest, ...],
        report_ms: float,
    ) -> None:
        self._works = works
        self._report_ms = report_ms
        self._records_max = route.fan_out.records_max if route.fan_out else 0
        self._told: set[str] = set()
        limit_ms = request.arrived_ms + request.patience_ms
        verdict = _ShareVerdict(works, limit_ms)
        self.exchange = Exchange(desk, request, route, works, verdict=verdict)

    @property
    def due_ms(self) -> float:
        """Return when to look again."""
        due_ms = self.exchange.due_ms
        if self._untold():
            return min(due_ms, self._report_ms)
        return due_ms

    @property
    def is_over(self) -> bool:
        """Tell whether nothing more is to be done."""
        return self.exchange.is_over

    def start(self, now_ms: float) -> list[Command]:
        """Send the calls."""
        return self.exchange.start(now_ms)

    def step(self, event: ExchangeEvent) -> list[Command]:
        """Take one event and return what is to be done, in order."""
        return self.exchange.step(event)

    def chosen_servers(self) -> tuple[str, ...]:
        """Return which server was asked for each shard; empty where none was."""
        return tuple(next(iter(work.tried), '') for work in self._works)

    def report(self, now_ms: float) -> RelayReport | None:
        """Return what is to be told now."""
        untold = self._untold()
        is_due = now_ms >= self._report_ms or self.exchange.reply is not None
        if not (untold and is_due):
            return None
        self._told.update(work.service for work in untold)
        bodies = (work.part.body for work in untold if work.part is not None)
        return RelayReport(
            tuple(_part_of(work) for work in untold),
            merge_records(bodies, self._records_max),
        )

    def _untold(self) -> list[SubRequest]:
        return [
            work
            for work in self._works
            if not work.is_open and work.service not in self._told
        ]


def share_route(name: str, gather: FanOut, patience_ms: float) -> Route:
    """Return the route of a share: each shard is asked once, for so long."""
    return Route(name, '', '', False, 1, patience_ms, patience_ms, fan_out=gather)


def _part_of(work: SubRequest) -> RelayedPart:
    signature = '' if work.part is None else work.part.signature
    return RelayedPart(work.service, signature, work.may_have_run)
