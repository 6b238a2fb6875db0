"""Test driver that steps one router event by event."""

from cowsliploom.protocol import CallRefusal, Ran, ServerState
from cowsliploom.routing import (
    AnswerQuery,
    CallFailed,
    CallRefused,
    FailureStep,
    QueryArrived,
    RefuseCaller,
    Router,
    RouterSettings,
    RunArrived,
    SearchReplied,
    SendRun,
    SendSearch,
    Tick,
)
from cowsliploom.routing.tests import samples


class Driver:
    """Pass events to a router and keep the resulting commands."""

    def __init__(self, router=None, now_ms=10.0, **options):
        settings = options.pop('settings', RouterSettings())
        self.router = router or Router('entry-1', 'gogledd', settings, 7)
        samples.start(self.router, **options)
        self.now_ms = now_ms
        self.commands = []

    def step(self, event):
        commands = self.router.step(event)
        self.commands.extend(commands)
        return commands

    def all(self, kind):
        return [command for command in self.commands if isinstance(command, kind)]

    def ask(self, query_id='q', search='briefing', limit_ms=200.0):
        """Start a query and return its sub-requests by service."""
        deadline_ms = self.now_ms + limit_ms
        event = QueryArrived(self.now_ms, query_id, search, 'tap', 'c', deadline_ms)
        sent = _only(self.step(event), SendSearch)
        return {send.call.service: send for send in sent}

    def run(self, run_id='r', service='s0', limit_ms=200.0):
        deadline_ms = self.now_ms + limit_ms
        event = RunArrived(self.now_ms, run_id, service, 'van', 'c', deadline_ms)
        return _only(self.step(event), SendRun)

    def reply(self, send, after_ms=2.0, server=None, **fields):
        self.now_ms += after_ms
        reply = samples.make_reply(send.call, **fields)
        server = server or send.server
        return self.step(SearchReplied(self.now_ms, send.call_id, server, reply))

    def refuse(self, send, reason, ran=Ran.NO, after_ms=1.0, **fields):
        self.now_ms += after_ms
        state = fields.pop('state', ServerState.LIVE)
        request_id = fields.pop('request_id', send.call_id)
        version = fields.pop('version', 'v1')
        refusal = CallRefusal(request_id, reason, ran, 'i1', version, state)
        return self.step(CallRefused(self.now_ms, send.call_id, send.server, refusal))

    def fail(
        self,
        send,
        step=FailureStep.CONNECT,
        ran=Ran.NO,
        timed_out=False,
        after_ms=1.0,
    ):
        self.now_ms += after_ms
        return self.step(
            CallFailed(self.now_ms, send.call_id, send.server, step, ran, timed_out)
        )

    def tick(self, after_ms):
        self.now_ms += after_ms
        return self.step(Tick(self.now_ms))

    def warm_up(self, queries=30, after_ms=2.0):
        """Answer complete queries, so that the router has latency samples."""
        for number in range(queries):
            for send in self.ask(f'w{number}').values():
                self.reply(send, after_ms / 10)
            self.now_ms += after_ms
        self.commands.clear()

    @property
    def answer(self):
        answers = self.all(AnswerQuery)
        return answers[-1] if answers else None

    @property
    def refusal(self):
        refusals = self.all(RefuseCaller)
        return refusals[-1] if refusals else None


def _only(commands, kind):
    return [command for command in commands if isinstance(command, kind)]


only = _only
