"""Baseline router without a routing policy, for comparison."""

import random
from collections import Counter
from dataclasses import dataclass, field

from cowsliploom.protocol import Ran, RunCall, SearchCall, SearchReply
from cowsliploom.routing._catalog import Catalog, build_catalog
from cowsliploom.routing._counters import RouterCounters
from cowsliploom.routing._coverage import measure_coverage, merge_hits
from cowsliploom.routing._messages import (
    AnswerQuery,
    AnswerRun,
    CallerLeft,
    CallFailed,
    CallRefused,
    Command,
    ConfigurationApplied,
    Event,
    HealthReported,
    QueryArrived,
    RefusalCause,
    RefuseCaller,
    RunArrived,
    RunReplied,
    SearchReplied,
    SendRun,
    SendSearch,
    Tick,
)
from cowsliploom.routing._runs import read_ran
from cowsliploom.routing._settings import RouterSettings
from cowsliploom.routing._snapshots import (
    Plan,
    SnapshotTable,
    apply_report,
    pin_snapshot,
)

ATTEMPTS_MAX = 2  # one retry
RETRY_AFTER_MS = 1000.0


@dataclass(slots=True)
class _Query:
    event: QueryArrived
    hits_max: int
    plan: Plan
    deadline_ms: float
    attempts: int = 0
    tries: Counter[str] = field(default_factory=Counter)
    replies: dict[str, SearchReply] = field(default_factory=dict)
    open_services: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Run:
    event: RunArrived
    attempts: int = 0


class NaiveRouter:
    """Query one random replica of each service and wait for all replies.

    Parameters
    ----------
    name : str
        Name of the entry VM.
    data_centre : str
        Data centre of the entry VM; not used by this policy.
    settings : RouterSettings
        Settings shared with the full router.
    seed : int
        Seed of the random choices.

    Notes
    -----
    Retries once after any failure; no hedging, no limits, no handling of cold
    servers. A run is resent only if it certainly did not run, since this guarantee
    holds for every policy.
    """

    def __init__(
        self, name: str, data_centre: str, settings: RouterSettings, seed: int
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.settings = settings
        self._random = random.Random(seed)
        self._catalog = Catalog()
        self._table = SnapshotTable()
        self._queries: dict[str, _Query] = {}
        self._runs: dict[str, _Run] = {}
        self._calls: dict[str, tuple[str, str]] = {}
        self._counts: Counter[str] = Counter()

    @property
    def counters(self) -> RouterCounters:
        """Return the current counters."""
        return RouterCounters(**self._counts)

    @property
    def idle(self) -> bool:
        """Return whether no query and no run is open."""
        return not self._queries and not self._runs

    @property
    def warm_owned(self) -> frozenset[str]:
        """Return no servers, as this policy does not track cold starts."""
        return frozenset()

    @property
    def due_ms(self) -> float | None:
        """Return the next deadline, in milliseconds; None without queries."""
        times = [query.deadline_ms for query in self._queries.values()]
        return min(times, default=None)

    def connection_allowance(self, server: str) -> int:
        """Return the connections that the server accepts, without sharing them."""
        known = self._catalog.servers.get(server)
        return max(1, known.connections_max) if known else 1

    def step(self, event: Event) -> tuple[Command, ...]:
        """Handle one event and return the resulting commands.

        Parameters
        ----------
        event : Event
            Event to handle.

        Returns
        -------
        tuple of Command
            Commands to execute, in order.
        """
        match event:
            case ConfigurationApplied():
                self._catalog = build_catalog(event.configuration)
            case HealthReported():
                self._table = apply_report(self._table, event.report)
            case QueryArrived():
                return self._start_query(event)
            case RunArrived():
                return self._start_run(event)
            case SearchReplied() | RunReplied():
                return self._handle_reply(event)
            case CallRefused() | CallFailed():
                return self._handle_failure(event)
            case CallerLeft():
                self._queries.pop(event.query_id, None)
                self._runs.pop(event.query_id, None)
            case Tick():
                return self._expire(event.now_ms)
            case _:
                return ()
        return ()

    def _start_query(self, event: QueryArrived) -> tuple[Command, ...]:
        search = self._catalog.searches.get(event.search)
        if search is None:
            return (_refuse(event.query_id, RefusalCause.UNKNOWN_SEARCH),)
        plan = pin_snapshot(self._table, search.services, self._has_holder)
        if plan is None:
            return (_refuse(event.query_id, RefusalCause.NO_SNAPSHOT),)
        deadline_ms = event.deadline_ms - self.settings.answer_margin_ms
        query = _Query(event, search.hits_max, plan, deadline_ms)
        self._queries[event.query_id] = query
        commands: list[Command] = []
        for service, _ in plan.shards:
            query.open_services.add(service)
            commands.extend(self._send_search(query, service, event.now_ms))
        commands.extend(self._finish_if_done(query))
        return tuple(commands)

    def _has_holder(self, service: str, snapshot: int) -> bool:
        servers = self._catalog.services.get(service, ())
        return any(self._table.holds(server, snapshot) for server in servers)

    def _send_search(
        self, query: _Query, service: str, now_ms: float
    ) -> tuple[Command, ...]:
        servers = [
            server
            for server in self._catalog.services.get(service, ())
            if self._table.holds(server, query.plan.snapshot)
        ]
        if not servers or query.tries[service] >= ATTEMPTS_MAX:
            query.open_services.discard(service)
            return ()
        server = self._random.choice(servers)
        call_id = f'{query.event.query_id}.{query.attempts}'
        query.attempts += 1
        self._counts['retries' if query.tries[service] else 'sub_requests'] += 1
        query.tries[service] += 1
        self._calls[call_id] = (query.event.query_id, service)
        call = SearchCall(
            call_id,
            service,
            query.event.search,
            query.plan.snapshot,
            query.event.text,
            query.hits_max,
            query.deadline_ms - now_ms,
        )
        return (SendSearch(call_id, server, call, query.deadline_ms),)

    def _start_run(self, event: RunArrived) -> tuple[Command, ...]:
        if event.service not in self._catalog.services:
            return (_refuse(event.run_id, RefusalCause.UNKNOWN_SERVICE),)
        run = _Run(event)
        self._runs[event.run_id] = run
        return self._send_run(run, event.now_ms)

    def _send_run(self, run: _Run, now_ms: float) -> tuple[Command, ...]:
        event = run.event
        server = self._random.choice(self._catalog.services[event.service])
        call_id = f'{event.run_id}.{run.attempts}'
        run.attempts += 1
        self._calls[call_id] = (event.run_id, event.service)
        left_ms = event.deadline_ms - now_ms
        call = RunCall(call_id, event.service, event.payload, left_ms)
        return (SendRun(call_id, server, call, event.deadline_ms),)

    def _handle_reply(self, event: SearchReplied | RunReplied) -> tuple[Command, ...]:
        query_id, service = self._calls.pop(event.call_id, ('', ''))
        run = self._runs.pop(query_id, None)
        if run is not None and isinstance(event, RunReplied):
            if event.reply.request_id != event.call_id:
                return (_refuse(query_id, RefusalCause.BACKEND, Ran.UNKNOWN),)
            return (AnswerRun(query_id, event.reply.outcome),)
        query = self._queries.get(query_id)
        if query is None or not isinstance(event, SearchReplied):
            self._counts['late_replies'] += 1
            return ()
        reply = event.reply
        if reply.request_id != event.call_id or reply.service != service:
            self._counts['crossed_replies'] += 1
            return self._send_again(query, service, event.now_ms)
        if reply.snapshot != query.plan.snapshot:
            self._counts['snapshot_mismatches'] += 1
            return self._send_again(query, service, event.now_ms)
        query.replies[service] = reply
        query.open_services.discard(service)
        return self._finish_if_done(query)

    def _handle_failure(self, event: CallRefused | CallFailed) -> tuple[Command, ...]:
        query_id, service = self._calls.pop(event.call_id, ('', ''))
        run = self._runs.get(query_id)
        if run is not None:
            return self._handle_run_failure(run, event)
        query = self._queries.get(query_id)
        if query is None:
            return ()
        return self._send_again(query, service, event.now_ms)

    def _handle_run_failure(
        self, run: _Run, event: CallRefused | CallFailed
    ) -> tuple[Command, ...]:
        ran = read_ran(event)
        if ran is Ran.NO and run.attempts < ATTEMPTS_MAX:
            return self._send_run(run, event.now_ms)
        self._runs.pop(run.event.run_id)
        return (_refuse(run.event.run_id, RefusalCause.BACKEND, ran, event.server),)

    def _send_again(
        self, query: _Query, service: str, now_ms: float
    ) -> tuple[Command, ...]:
        sent = self._send_search(query, service, now_ms)
        return sent or self._finish_if_done(query)

    def _finish_if_done(self, query: _Query) -> tuple[Command, ...]:
        return () if query.open_services else self._finish(query)

    def _finish(self, query: _Query) -> tuple[Command, ...]:
        query_id = query.event.query_id
        self._queries.pop(query_id, None)
        coverage = measure_coverage(query.plan, query.replies)
        if coverage.missing_services:
            self._counts['partial_answers'] += 1
        hits = merge_hits(query.replies.values(), query.hits_max)
        return (AnswerQuery(query_id, query.plan.snapshot, coverage, hits),)

    def _expire(self, now_ms: float) -> tuple[Command, ...]:
        commands: list[Command] = []
        for query in tuple(self._queries.values()):
            if now_ms >= query.deadline_ms:
                commands.extend(self._finish(query))
        for run_id, run in tuple(self._runs.items()):
            if now_ms >= run.event.deadline_ms:
                self._runs.pop(run_id)
                commands.append(_refuse(run_id, RefusalCause.DEADLINE, Ran.UNKNOWN))
        return tuple(commands)


def _refuse(
    query_id: str, cause: RefusalCause, ran: Ran = Ran.NO, peer: str = ''
) -> RefuseCaller:
    step = 'receive' if peer else 'admit'
    return RefuseCaller(query_id, cause, step, peer, ran, RETRY_AFTER_MS)
