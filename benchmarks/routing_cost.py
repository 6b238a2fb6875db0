"""Measure the processor time of routing decisions per sub-request.

Run as ``python -m benchmarks.routing_cost`` (``--profile`` prints a profile
instead). Prints JSON.
"""

import cProfile
import json
import pstats
import sys
import time

from cowsliploom.routing import (
    NaiveRouter,
    QueryArrived,
    Router,
    RouterSettings,
    SearchReplied,
    SendSearch,
)
from cowsliploom.routing.tests import samples

FAN_OUTS = (20, 200, 1600)
SUB_REQUESTS = 16_000  # per round, after one warm-up round
ROUNDS = 6
US_PER_S = 1_000_000
PROFILE_LINES = 25


def run_queries(router: Router | NaiveRouter, queries: int, first: int) -> int:
    """Send queries and reply to their sub-requests; return the number sent."""
    sent = 0
    now_ms = first * 20
    for number in range(first, first + queries):
        now_ms += 20
        event = QueryArrived(
            now_ms, f'q{number}', 'briefing', 'tap', 'landlord', now_ms + 200
        )
        for command in router.step(event):
            if isinstance(command, SendSearch):
                sent += 1
                reply = samples.make_reply(command.call)
                answered = SearchReplied(
                    now_ms + 5, command.call_id, command.server, reply
                )
                router.step(answered)
    return sent


def measure_replies(queries: int, fan_out: int) -> float:
    """Return the processor time of building the replies alone, in seconds."""
    router = samples.start(make_router(NaiveRouter), fan_out)
    event = QueryArrived(0, 'q', 'briefing', 'tap', 'landlord', 200)
    sends = [send for send in router.step(event) if isinstance(send, SendSearch)]
    started = time.process_time()
    for _ in range(queries):
        for send in sends:
            samples.make_reply(send.call)
    return time.process_time() - started


def make_router(policy: type[Router] | type[NaiveRouter]) -> Router | NaiveRouter:
    """Return a router of a policy."""
    return policy('entry-1', 'gogledd', RouterSettings(), 1)


def measure(policy: type[Router] | type[NaiveRouter], fan_out: int) -> float:
    """Return the microseconds per sub-request, sent and answered.

    Notes
    -----
    Returns the minimum over the rounds, because other load on the machine only
    adds time.
    """
    router = samples.start(make_router(policy), fan_out)
    queries = SUB_REQUESTS // fan_out
    run_queries(router, queries, 0)
    rounds = [
        measure_round(router, queries, number * queries, fan_out)
        for number in range(1, ROUNDS + 1)
    ]
    return round(min(rounds), 2)


def measure_round(
    router: Router | NaiveRouter, queries: int, first: int, fan_out: int
) -> float:
    """Return the microseconds per sub-request in one round."""
    started = time.process_time()
    sent = run_queries(router, queries, first)
    processor_s = time.process_time() - started - measure_replies(queries, fan_out)
    return processor_s / sent * US_PER_S


def profile() -> None:
    """Print the functions of ``Router`` that take the most processor time."""
    router = samples.start(make_router(Router), 200)
    profiler = cProfile.Profile()
    profiler.runcall(run_queries, router, 200, 1)
    pstats.Stats(profiler).sort_stats('tottime').print_stats(PROFILE_LINES)


def main() -> None:
    """Print microseconds per sub-request by policy and fan-out."""
    if '--profile' in sys.argv:
        profile()
        return
    costs = {
        policy.__name__: {fan_out: measure(policy, fan_out) for fan_out in FAN_OUTS}
        for policy in (Router, NaiveRouter)
    }
    print(json.dumps({'us_per_sub_request': costs}, indent=1))


if __name__ == '__main__':
    main()
