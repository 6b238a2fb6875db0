"""Subjects: query and run at two entry VMs, and withdrawal of backend servers."""

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
WORK_STOPS_MS = 1000.0  # new calls end within this time after a withdrawal
TRAFFIC_END_MS = 2500.0

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
    'announced': WITHDRAWN_MS + 1,
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
    Fault('cold-reports-live', world.turn_cold_but_report_live),
    Fault('silent', world.go_silent),
    Fault('leaving', world.leave),
    Fault('leaving-reports-live', world.leave_but_report_live),
    Fault('partition', world.partition),
    Fault('wrong-load-report', world.misreport_load),
    Fault('freeze-entry', world.freeze_entry),
)
REPLY_FAULTS = (
    Fault('crossed-replies', world.cross_replies),
    Fault('mixed-snapshots', world.mix_snapshots),
    Fault('empty-replies', world.send_empty_replies),
    Fault('duplicate-replies', world.repeat_replies),
)


def run_query(case: Case, router_type=Router) -> tuple[Finding, ...]:
    loop = world.QueryLoop(router_type)
    world.schedule_traffic(loop, START_MS - 30, 60)
    world.schedule_faults(loop, case, QUERY_TIMES_MS)
    first, other = loop.entries
    for time_ms, entry, name in ((START_MS, first, 'a'), (NEXT_MS, other, 'b')):
        loop.at(time_ms, loop.arrive, entry, f'query-{name}')
        loop.at(time_ms, loop.arrive_run, entry, f'run-{name}')
    loop.run(END_MS)
    return world.check_invariants(loop)


def run_withdrawal(case: Case, router_type=Router) -> tuple[Finding, ...]:
    loop = world.QueryLoop(router_type)
    world.schedule_traffic(loop, TRAFFIC_END_MS, 30)
    world.schedule_faults(loop, case, WITHDRAWAL_TIMES_MS)
    loop.at(WITHDRAWN_MS, world.take_data_centre_out, loop, 0)
    loop.at(WITHDRAWN_MS, withdraw_one_server, loop)
    loop.run(WITHDRAWN_MS + WORK_STOPS_MS)
    before = withdrawn_work(loop)
    loop.run(TRAFFIC_END_MS + 400)
    findings = [
        Finding('withdrawn servers get no new calls', name)
        for name, received in withdrawn_work(loop).items()
        if received > before[name]
    ]
    return (*findings, *world.check_invariants(loop))


def withdraw_one_server(loop) -> None:
    loop.servers['s1r0'].state = ServerState.LEAVING


def withdrawn_work(loop):
    """Return the number of calls received by each withdrawn server."""
    return {
        name: server.received
        for name, server in loop.servers.items()
        if name == 's1r0'
        or samples.DATA_CENTRES[server.replica] == world.WITHDRAWN_DATA_CENTRE
    }


QUERY = Subject(
    'query',
    tuple(QUERY_TIMES_MS),
    (
        *SERVER_FAULTS,
        *REPLY_FAULTS,
        Fault('data-centre-out', world.take_data_centre_out),
    ),
    run_query,
    pairs_max=150,
    repeats_max=150,
    excluded={
        (fault.name, step): 'no call is open'
        for fault in REPLY_FAULTS
        for step in ('arrive', 'deadline')
    },
)
WITHDRAWAL = Subject(
    'withdrawal',
    tuple(WITHDRAWAL_TIMES_MS),
    SERVER_FAULTS,
    run_withdrawal,
    pairs_max=30,
    repeats_max=60,
)
