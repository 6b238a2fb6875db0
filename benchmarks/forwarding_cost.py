"""Processor time of forwarding decisions per sub-request, without sockets."""

import json
import time

from cowsliploom.forwarding import (
    BackendAnswer,
    BudgetRules,
    CallAnswered,
    CallerRequest,
    Exchange,
    FanOut,
    RequestDispatcher,
    Route,
    RouteTable,
    SendCall,
    ServerRecord,
    ServerState,
    ServiceRules,
)

SHARDS = 20
QUERIES = 500
BACKEND_LATENCY_MS = 10.0
US_PER_S = 1_000_000


def make_dispatcher() -> RequestDispatcher:
    """Return a request dispatcher with two servers per shard."""
    names = tuple(f's{number}' for number in range(SHARDS))
    route = Route('r', 'h', '/', True, 2, 1500, 100, fan_out=FanOut(names, 50, 0.9))
    dispatcher = RequestDispatcher(BudgetRules(0.2, 56, 10_000), 1, 'de', bool)
    rules = {name: ServiceRules(name, connections_max=26) for name in names}
    dispatcher.apply_table(RouteTable(1, (route,), rules))
    records = [
        ServerRecord(
            f'{name}-{data_centre}',
            name,
            f'10.0.0.{data_centre}:{number}',
            data_centre,
            'v1',
            2,
            ServerState.READY,
            0,
            1,
        )
        for number, name in enumerate(names)
        for data_centre in ('de', 'gogledd')
    ]
    dispatcher.fleet.update(records, 0)
    return dispatcher


def run_query(dispatcher: RequestDispatcher, now_ms: float) -> None:
    """Open an exchange for a query and answer all its calls."""
    request = CallerRequest('r', 'GET', 'h', '/', (), b'', now_ms, 1500)
    exchange = dispatcher.open(request)
    if not isinstance(exchange, Exchange):
        raise TypeError(f'expected an exchange, got {exchange!r}')
    commands = exchange.start(now_ms)
    answer = BackendAnswer(200, body=bytes(1000), signature='s')
    for command in commands:
        if isinstance(command, SendCall):
            exchange.step(
                CallAnswered(now_ms + BACKEND_LATENCY_MS, command.call_id, answer)
            )


def main() -> None:
    """Measure and print the microseconds per sub-request."""
    dispatcher = make_dispatcher()
    started = time.process_time()
    for number in range(QUERIES):
        run_query(dispatcher, number * 20.0)
    spent_s = time.process_time() - started
    cost_us = spent_s * US_PER_S / (QUERIES * SHARDS)
    print(json.dumps({'decision_us_per_sub_request': round(cost_us, 1)}))


if __name__ == '__main__':
    main()
