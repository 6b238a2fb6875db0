"""Query and run at two entry VMs, and the withdrawal of backend servers."""

from functools import partial

from cowsliploom.protocol import ServerState
from cowsliploom.routing import Router
from cowsliploom.routing.tests import samples
from tests.matrix import query_world as world
from tests.matrix.table import Case, Fault, Finding, Subject

START_MS = 500.0
NEXT_MS = 560.0
END_MS = 900.0
WITHDRAWN_MS = 500.0
WORK_STOPS_MS = 1000.0  # new work ends within this time after a withdrawal
LAST_MS = 2500.0

QUERY_TIMES_MS = {
    'arrive': START_MS - 0.1,
    'sent': START_MS + 0.1,
    'work': START_MS + 2.5,
    'reply': START_MS + 4.5,
    'hedge': START_MS + 14,
    'deadline': START_MS + 150,
}
WITHDRAWAL_TIMES_MS = {
    'before': WITHDRAWN_MS - 50,
    'told': WITHDRAWN_MS + 1,
    'drain': WITHDRAWN_MS + 60,
    'withdrawn': WITHDRAWN_MS + 500,
}

SERVER_FAULTS = (
    Fault('straggler', partial(world.slow_down, 30)),
    Fault('freeze-server', partial(world.slow_down, 1e6)),
    Fault('lost-replica', partial(world.set_flag, 'is_dead')),
    Fault('lost-data-centre', world.lose_data_centre),
    Fault('bad-version-fails', partial(world.set_flag, 'is_failing')),
    Fault('bad-version-slow', partial(world.slow_down, 4)),
    Fault('reset', partial(world.set_flag, 'is_resetting')),
    Fault('repartition', world.repartition),
    Fault('repartition-one', world.repartition_one),
    Fault('cold', world.turn_cold),
    Fault('cold-lying', world.turn_cold_and_lie),
    Fault('silent', world.go_silent),
    Fault('leaving', world.leave),
    Fault('leaving-lying', world.leave_and_lie),
    Fault('partition', world.partition),
    Fault('lying-load', world.lie_about_load),
    Fault('freeze-entry', world.freeze_entry),
)
REPLY_FAULTS = (
    Fault('crossed-replies', world.cross_replies),
    Fault('mixed-snapshots', world.mix_snapshots),
    Fault('short-replies', world.cut_short),
    Fault('repeated-replies', world.repeat_replies),
)


def play_query(case: Case, router_type=Router) -> tuple[Finding, ...]:
    loop = world.QueryLoop(router_type)
    world.begin_traffic(loop, START_MS - 30, 60)
    world.play_steps(loop, case, QUERY_TIMES_MS)
    first, other = loop.entries
    for time_ms, entry, name in ((START_MS, first, 'a'), (NEXT_MS, other, 'b')):
        loop.at(time_ms, loop.arrive, entry, f'query-{name}')
        loop.at(time_ms, loop.arrive_run, entry, f'run-{name}')
    loop.run(END_MS)
    return world.judge(loop)


def play_withdrawal(case: Case, router_type=Router) -> tuple[Finding, ...]:
    loop = world.QueryLoop(router_type)
    world.begin_traffic(loop, LAST_MS, 30)
    world.play_steps(loop, case, WITHDRAWAL_TIMES_MS)
    loop.at(WITHDRAWN_MS, world.take_out, loop, 0)
    loop.at(WITHDRAWN_MS, leave_one, loop)
    loop.run(WITHDRAWN_MS + WORK_STOPS_MS)
    before = withdrawn_work(loop)
    loop.run(LAST_MS + 400)
    found = [
        Finding('withdrawn gets no new work', name)
        for name, received in withdrawn_work(loop).items()
        if received > before[name]
    ]
    return (*found, *world.judge(loop))


def leave_one(loop) -> None:
    loop.servers['s1r0'].state = ServerState.LEAVING


def withdrawn_work(loop):
    """Return the calls that have reached each withdrawn server."""
    return {
        name: server.received
        for name, server in loop.servers.items()
        if name == 's1r0' or samples.DATA_CENTRES[server.replica] == world.OUT
    }


QUERY = Subject(
    'query',
    tuple(QUERY_TIMES_MS),
    (*SERVER_FAULTS, *REPLY_FAULTS, Fault('data-centre-out', world.take_out)),
    play_query,
    pairs_max=150,
    twice_max=150,
    left_out={
        (fault.name, step): 'no call is open'
        for fault in REPLY_FAULTS
        for step in ('arrive', 'deadline')
    },
)
WITHDRAWAL = Subject(
    'withdrawal',
    tuple(WITHDRAWAL_TIMES_MS),
    SERVER_FAULTS,
    play_withdrawal,
    pairs_max=30,
    twice_max=60,
)
