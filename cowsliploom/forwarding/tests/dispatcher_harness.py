"""A dispatcher with servers, and a driver that steps requests through it."""

from dataclasses import dataclass, field

from cowsliploom.forwarding import (
    BackendAnswer,
    BudgetRules,
    CallAnswered,
    CallerRequest,
    CallFailed,
    CallStep,
    ConstantShare,
    Exchange,
    FanOut,
    RequestDispatcher,
    Route,
    RouteTable,
    SendCall,
    ServerRecord,
    ServerState,
    ServiceRules,
    Ticked,
    WeightedService,
)

WHOLE_CONSTANT = ConstantShare(1, is_settled=True)
RULES = BudgetRules(ratio=0.2, extra=56, window_ms=10_000)
SHARDS = tuple(f's{number}' for number in range(10))
SAFE = Route(
    'safe', 'h', '/safe/', True, 2, 5000, 500, services=(WeightedService('one', 1),)
)
ONCE = Route(
    'once', 'h', '/once/', False, 2, 5000, 500, services=(WeightedService('one', 1),)
)
WIDE = Route('wide', 'h', '/wide/', True, 2, 1500, 100, fan_out=FanOut(SHARDS, 4, 0.8))


def record(name, service, data_centre='de', **changes):
    """Return a ready server's registration."""
    fields = {
        'version': 'v1',
        'slots': 2,
        'state': ServerState.READY,
        'cold_ms': 0,
        'sequence': 1,
    }
    fields.update(changes)
    return ServerRecord(
        name, service, f'10.0.0.1:{hash(name) % 9000}', data_centre, **fields
    )


def make_dispatcher(owns=bool, servers=2):
    """Return a dispatcher with a route table and some servers for each service."""
    dispatcher = RequestDispatcher(RULES, 7, 'de', owns)
    dispatcher.budgets.read_share = lambda: WHOLE_CONSTANT
    names = ('one', *SHARDS)
    dispatcher.apply_table(
        RouteTable(
            3,
            (SAFE, ONCE, WIDE),
            {name: ServiceRules(name, connections_max=26) for name in names},
        )
    )
    dispatcher.fleet.update(
        [
            record(f'{name}-{number}', name)
            for name in names
            for number in range(servers)
        ],
        0,
    )
    return dispatcher


def request(path, patience_ms=6000, now_ms=0):
    """Return a caller's request that has just arrived."""
    return CallerRequest('r1', 'GET', 'h', path, (), b'', now_ms, patience_ms)


def good(body=b'', signature='sig'):
    """Return a signed success."""
    return BackendAnswer(200, body=body, signature=signature)


@dataclass
class RequestDriver:
    """Drives one request and records its calls and reply."""

    exchange: Exchange
    calls: dict[int, SendCall] = field(default_factory=dict)
    commands: list[object] = field(default_factory=list)

    @classmethod
    def start(cls, dispatcher, path, patience_ms=6000, now_ms=0):
        """Open a request and send its first calls."""
        driver = cls(dispatcher.open(request(path, patience_ms, now_ms)))
        driver.collect(driver.exchange.start(now_ms))
        return driver

    def collect(self, commands):
        """Record commands and the calls they send."""
        self.commands.extend(commands)
        for command in commands:
            if isinstance(command, SendCall):
                self.calls[command.call_id] = command

    def step(self, event):
        """Handle one event."""
        self.collect(self.exchange.step(event))

    def tick(self, now_ms):
        """Fire the timer."""
        self.step(Ticked(now_ms))

    def answer(self, call_id, now_ms, answer):
        """Answer a call."""
        self.calls.pop(call_id)
        self.step(CallAnswered(now_ms, call_id, answer))

    def fail(self, call_id, now_ms, step=CallStep.RECEIVE, may_have_run=True):
        """Fail a call."""
        self.calls.pop(call_id)
        self.step(CallFailed(now_ms, call_id, step, 'test', may_have_run))

    @property
    def reply(self):
        """Return the reply, if there is one."""
        return self.exchange.reply

    @property
    def open_ids(self):
        """Return the ids of open calls."""
        return list(self.calls)
