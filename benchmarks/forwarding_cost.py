"""Processor time of forwarding decisions for each sub-request, without sockets."""

import json
import time

from cowsliploom.forwarding import (
    BackendAnswer,
    BudgetRules,
    CallAnswered,
    CallerRequest,
    Exchange,
    RequestDispatcher,
    FanOut,
    Route,
    RouteTable,
    SendCall,
    ServerRecord,
    ServerState,
    ServiceRules,
)

SHARDS = 20
QUERIES = 500
WORK_MS = 10.0
US_PER_S = 1_000_000


def make_desk() -> RequestDispatcher:
    """Return a desk with two servers for each shard."""
    names = tuple(f's{number}' for number in range(SHARDS))
    route = Route('r', 'h', '/', True, 2, 1500, 100, fan_out=FanOut(names, 50, 0.9))
    desk = RequestDispatcher(BudgetRules(0.2, 56, 10_000), 1, 'de', bool)
    rules = {name: ServiceRules(name, connections_max=26) for name in names}
    desk.apply_table(RouteTable(1, (route,), rules))
    records = [
        ServerRecord(
            f'{name}-{place}',
            name,
            f'10.0.0.{place}:{number}',
            place,
            'v1',
            2,
            ServerState.READY,
            0,
            1,
        )
        for number, name in enumerate(names)
        for place in ('de', 'gogledd')
    ]
    desk.fleet.update(records, 0)
    return desk


def play_query(desk: RequestDispatcher, now_ms: float) -> None:
    """Send a query and answer all its calls."""
    request = CallerRequest('r', 'GET', 'h', '/', (), b'', now_ms, 1500)
    exchange = desk.open(request)
    if not isinstance(exchange, Exchange):
        raise TypeError(f'expected an exchange, got {exchange!r}')
    commands = exchange.start(now_ms)
    answer = BackendAnswer(200, body=bytes(1000), signature='s')
    for command in commands:
        if isinstance(command, SendCall):
            exchange.step(CallAnswered(now_ms + WORK_MS, command.call_id, answer))


def main() -> None:
    """Print microseconds a sub-request."""
    desk = make_desk()
    started = time.process_time()
    for number in range(QUERIES):
        play_query(desk, number * 20.0)
    spent_s = time.process_time() - started
    figure = spent_s * US_PER_S / (QUERIES * SHARDS)
    print(json.dumps({'decision_us_per_sub_request': round(figure, 1)}))


if __name__ == '__main__':
    main()
