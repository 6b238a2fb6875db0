"""Router of one entry VM, a state machine from events to commands."""

import random

from cowsliploom.rollout import SharesChanged
from cowsliploom.routing._budget import TokenBudget
from cowsliploom.routing._choice import ReplicaChoice
from cowsliploom.routing._context import Context
from cowsliploom.routing._counters import RouterCounters
from cowsliploom.routing._dispatcher import Dispatcher
from cowsliploom.routing._fleet import Fleet
from cowsliploom.routing._hedging import Hedging
from cowsliploom.routing._messages import (
    CallerLeft,
    CallFailed,
    CallRefused,
    Command,
    ConfigurationApplied,
    EntryCountChanged,
    Event,
    HealthReported,
    LoadReported,
    OwnershipChanged,
    ProbeFailed,
    QueryArrived,
    RunArrived,
    RunReplied,
    SearchReplied,
    ServersLeaving,
    ServersWarm,
    Tick,
)
from cowsliploom.routing._outcomes import Outcomes
from cowsliploom.routing._planner import Planner
from cowsliploom.routing._queries import Queries
from cowsliploom.routing._query_calls import QueryCalls
from cowsliploom.routing._runs import Runs
from cowsliploom.routing._settings import RouterSettings
from cowsliploom.routing._tracks import Call, OpenQuery

CallEvent = SearchReplied | RunReplied | CallRefused | CallFailed


class Router:
    """Decide which servers get queries and runs, and when they are answered.

    Parameters
    ----------
    name : str
        Name of the entry VM.
    data_centre : str
        Data centre of the entry VM.
    settings : RouterSettings
        Settings of the router.
    seed : int
        Seed of the random choices.

    Notes
    -----
    The router is owned by one task and uses no clock, socket or thread. Each query
    and each run ends in exactly one ``AnswerQuery``, ``AnswerRun`` or
    ``RefuseCaller``, unless its caller disconnected.

    Examples
    --------
    >>> router = Router('entry-1', 'gogledd', RouterSettings(), seed=1)
    >>> event = QueryArrived(0, 'q1', 'unknown', 'tap', 'landlord', 200)
    >>> router.step(event)[0].cause.value
    'unknown_search'
    """

    def __init__(
        self, name: str, data_centre: str, settings: RouterSettings, seed: int
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.settings = settings
        generator = random.Random(seed)
        budget = TokenBudget(settings.extra_load_ratio)
        context = Context(name, data_centre, settings, generator, budget)
        choice = ReplicaChoice(context)
        fleet = Fleet(context, choice)
        outcomes = Outcomes(context, fleet)
        dispatcher = Dispatcher(context, choice, outcomes)
        self._context = context
        self._fleet = fleet
        self._outcomes = outcomes
        self._dispatcher = dispatcher
        planner = Planner(context, fleet, choice, dispatcher)
        self._queries = Queries(context, fleet, planner, dispatcher, outcomes)
        self._query_calls = QueryCalls(
            context, self._queries, planner, dispatcher, outcomes
        )
        self._runs = Runs(context, fleet, dispatcher, outcomes)
        self._hedging = Hedging(context, dispatcher)

    @property
    def counters(self) -> RouterCounters:
        """Return the current counters."""
        return RouterCounters(**self._context.counts)

    @property
    def idle(self) -> bool:
        """Return whether no query and no run is open."""
        return self._queries.idle and not self._runs.open

    @property
    def due_ms(self) -> float | None:
        """Return the latest time for the next ``Tick``, in milliseconds, or None."""
        owners = (self._queries, self._runs, self._hedging)
        times = [owner.due_ms for owner in owners]
        return min((due_ms for due_ms in times if due_ms is not None), default=None)

    @property
    def warm_owned(self) -> frozenset[str]:
        """Return the owned servers that are warm, to report them to peers."""
        return frozenset(
            server.name
            for server in self._fleet.servers.values()
            if server.is_owned and server.is_known and not server.is_cold
        )

    def connection_allowance(self, server: str) -> int:
        """Return how many connections this entry VM may open to a server."""
        return self._fleet.connection_allowance(server)

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
            case SearchReplied() | RunReplied() | CallRefused() | CallFailed():
                self._handle_call_event(event)
            case QueryArrived():
                self._start_query(event)
            case RunArrived():
                self._runs.start(event)
            case CallerLeft():
                self._queries.handle_caller_left(event.query_id, event.now_ms)
                self._runs.handle_caller_left(event.query_id)
            case Tick():
                self._dispatcher.drain_all(event.now_ms)
            case _:
                self._apply_report(event)
        self._run_timers(event.now_ms)
        commands = tuple(self._context.commands)
        self._context.commands.clear()
        return commands

    def _start_query(self, event: QueryArrived) -> None:
        self._queries.start(event)
        self._watch(event.query_id)

    def _resume(self, now_ms: float) -> None:
        for query_id in self._queries.resume(now_ms):
            self._watch(query_id)

    def _watch(self, query_id: str) -> None:
        query = self._queries.open.get(query_id)
        if query is not None:
            self._hedging.watch(query)

    def _apply_report(self, event: Event) -> None:
        fleet = self._fleet
        match event:
            case ConfigurationApplied():
                fleet.configure(event.configuration, event.now_ms)
            case EntryCountChanged():
                fleet.update_entry_count(event.entries)
            case OwnershipChanged():
                fleet.update_owned(event.servers)
            case ServersLeaving():
                fleet.update_leaving(event.servers)
            case SharesChanged():
                fleet.update_shares(event.shares)
            case ServersWarm():
                fleet.apply_warm_servers(event.servers)
            case HealthReported():
                fleet.apply_health_report(event.report, event.now_ms)
                self._resume(event.now_ms)
            case LoadReported():
                fleet.apply_load_report(event.report, event.now_ms)
            case ProbeFailed():
                fleet.record_failed_probe(event.server, event.now_ms)

    def _handle_call_event(self, event: CallEvent) -> None:
        call = self._dispatcher.calls.get(event.call_id)
        if call is None:
            self._handle_late_event(event)
            return
        if event.server != call.server.name:
            self._context.count('foreign_replies')
            return
        query = call.work.parent
        if isinstance(query, OpenQuery):
            self._handle_query_event(event, call)
            self._hedging.watch(query)
        else:
            self._handle_run_event(event, call)
        service = call.work.service
        if len(service.queue):
            self._dispatcher.drain(service, event.now_ms)

    def _handle_query_event(self, event: CallEvent, call: Call) -> None:
        match event:
            case SearchReplied():
                self._query_calls.handle_reply(call, event.reply, event.now_ms)
            case CallRefused():
                self._query_calls.handle_refusal(call, event.refusal, event.now_ms)
            case CallFailed():
                self._query_calls.handle_failure(call, event)
            case _:
                self._context.count('crossed_replies')

    def _handle_run_event(self, event: CallEvent, call: Call) -> None:
        match event:
            case RunReplied():
                self._runs.handle_reply(call, event.reply, event.server, event.now_ms)
            case CallRefused():
                self._runs.handle_refusal(call, event)
            case CallFailed():
                self._runs.handle_failure(call, event)
            case _:
                self._context.count('crossed_replies')

    def _handle_late_event(self, event: CallEvent) -> None:
        """Count a late reply; record a late timeout of an ended call."""
        if isinstance(event, (SearchReplied, RunReplied)):
            self._context.count('late_replies')
            return
        ended = self._dispatcher.pop_ended(event.call_id)
        if ended and isinstance(event, CallFailed) and event.timed_out:
            self._outcomes.record_timeout(ended, event.now_ms)

    def _run_timers(self, now_ms: float) -> None:
        """Run the timers that are due and fail the work that cannot be served."""
        self._queries.expire(now_ms)
        self._runs.expire(now_ms)
        self._hedging.run(now_ms)
        unserved = self._context.unserved_items
        while unserved:
            work = unserved.pop()
            if isinstance(work.parent, OpenQuery):
                self._queries.fail_work(work, now_ms)
            else:
                self._runs.fail_work(work, now_ms)
