"""Simulated entry VMs and backend servers that serve queries under faults."""

from collections import Counter
from dataclasses import replace

from cowsliploom.protocol import LoadReport, Ran, ServerState
from cowsliploom.routing import (
    AnswerQuery,
    ConfigurationApplied,
    LoadReported,
    RefuseCaller,
    Router,
    RouterSettings,
    SearchReplied,
    SendSearch,
)
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.loop import LOCAL_MS, TICK_MS, Loop
from tests.matrix.table import Case, Finding, collect_findings, inject_faults

SERVICES = 4
LIMIT_MS = 200
FREEZE_MS = 40
WITHDRAWN_DATA_CENTRE = 'canolbarth'


class QueryLoop(Loop):
    """Loop that delays the events of frozen entry VMs and records sent calls."""

    def __init__(self, router_type=Router, **options):
        self.frozen = set()
        self.held = []
        self.sent = {}
        self.in_flight = Counter()
        routers = [
            router_type(f'e{number}', place, RouterSettings(), number)
            for number, place in enumerate(samples.DATA_CENTRES[:2])
        ]
        super().__init__(routers, services=SERVICES, **options)

    def deliver(self, entry, event):
        if id(entry) in self.frozen:
            self.held.append((entry, event))
            return
        if isinstance(event, SearchReplied):
            event = replace(event, reply=sign(event.reply))
        super().deliver(entry, event)

    def freeze(self, entry):
        self.frozen.add(id(entry))
        self.at(self.now_ms + FREEZE_MS, self.wake, entry)

    def wake(self, entry):
        self.frozen.discard(id(entry))
        held = self.held
        self.held = []
        for holder, event in held:
            self.deliver(holder, replace(event, now_ms=self.now_ms))

    def server(self, position):
        return self.servers[samples.server_name(0, position)]

    def open_searches(self, entry):
        return [
            command
            for call_id, (sender, command) in self.sent.items()
            if sender is entry
            and call_id in self.open_calls
            and isinstance(command, SendSearch)
        ]

    def turn_cold(self, server):
        self.in_flight[server.name] += sum(
            command.server == server.name and call_id in self.open_calls
            for call_id, (_, command) in self.sent.items()
        )
        server.turn_cold(f'{server.incarnation}+')

    def _send(self, entry, command):
        self.sent[command.call_id] = (entry, command)
        super()._send(entry, command)


def sign(reply):
    """Set the score of every hit to the snapshot that it comes from."""
    score = float(reply.snapshot)
    return replace(reply, hits=tuple(replace(hit, score=score) for hit in reply.hits))


def slow_down(factor, loop, position):
    loop.server(position).slowdown = factor


def set_flag(name, loop, position):
    setattr(loop.server(position), name, True)


def lose_data_centre(loop, position):
    place = samples.DATA_CENTRES[position]
    for server in loop.servers.values():
        if samples.DATA_CENTRES[server.replica % 3] == place:
            server.is_dead = True


def repartition(loop, _position):
    for server in loop.servers.values():
        server.snapshots = (max(server.snapshots) + 1,)


def repartition_one(loop, position):
    loop.server(position).snapshots = (2,)


def turn_cold(loop, position):
    loop.turn_cold(loop.server(position))


def turn_cold_but_report_live(loop, position):
    loop.server(position).reports_live = True
    loop.turn_cold(loop.server(position))


def go_silent(loop, position):
    loop.server(position).silent_to = {id(entry) for entry in loop.entries}


def leave(loop, position):
    loop.server(position).state = ServerState.LEAVING


def leave_but_report_live(loop, position):
    loop.server(position).reports_live = True
    loop.server(position).state = ServerState.LEAVING


def partition(loop, position):
    entry = loop.entries[position]
    for server in loop.servers.values():
        if samples.DATA_CENTRES[server.replica % 3] != entry.data_centre:
            server.silent_to.add(id(entry))


def take_data_centre_out(loop, _position):
    configuration = samples.make_configuration(
        SERVICES, 2, revision=2, out=(WITHDRAWN_DATA_CENTRE,)
    )
    loop.deliver_all(lambda _entry: ConfigurationApplied(loop.now_ms, configuration))


def freeze_entry(loop, position):
    loop.freeze(loop.entries[position])


def cross_replies(loop, position):
    """Swap the replies of the first two open calls of an entry VM."""
    entry = loop.entries[position]
    opened = loop.open_searches(entry)[:2]
    for asked, other in zip(opened, reversed(opened)):
        reply = samples.make_reply(other.call)
        loop.deliver(
            entry, SearchReplied(loop.now_ms, asked.call_id, asked.server, reply)
        )


def mix_snapshots(loop, position):
    """Answer the open calls of an entry VM from another snapshot."""
    entry = loop.entries[position]
    for asked in loop.open_searches(entry):
        reply = samples.make_reply(asked.call, snapshot=asked.call.snapshot + 1)
        loop.deliver(
            entry, SearchReplied(loop.now_ms, asked.call_id, asked.server, reply)
        )


def send_empty_replies(loop, position):
    """Answer the open calls of an entry VM with replies without ranges."""
    entry = loop.entries[position]
    for asked in loop.open_searches(entry):
        reply = samples.make_reply(asked.call, ranges=(), hits=())
        loop.deliver(
            entry, SearchReplied(loop.now_ms, asked.call_id, asked.server, reply)
        )


def repeat_replies(loop, position):
    """Answer the open calls of an entry VM now; the server answers them again."""
    entry = loop.entries[position]
    for asked in loop.open_searches(entry):
        reply = samples.make_reply(asked.call)
        loop.deliver(
            entry, SearchReplied(loop.now_ms, asked.call_id, asked.server, reply)
        )


def misreport_load(loop, position):
    name = loop.server(position).name
    report = LoadReport(name, 100, 0, 0, 1000, 100)
    loop.deliver_all(lambda _entry: LoadReported(loop.now_ms, name, report))


def schedule_traffic(loop, until_ms, per_second):
    loop.plan_arrivals(per_second, 20, until_ms, ('urgent', 'briefing'))


def check_invariants(loop) -> tuple[Finding, ...]:
    """Return the violated invariants of queries and runs."""
    return collect_findings(
        (
            ('exactly one response', not_ended_once(loop)),
            ('response in time', late_responses(loop)),
            (
                'coverage is correct',
                [
                    answer
                    for answer in query_answers(loop)
                    if has_wrong_coverage(answer)
                ],
            ),
            (
                'single snapshot',
                [answer for answer in query_answers(loop) if mixes_snapshots(answer)],
            ),
            ('runs at most once', repeated_runs(loop)),
            ('refused as not run did not run', refused_but_ran(loop)),
            ('cold servers are not overloaded', overloaded_cold_servers(loop)),
        )
    )


def query_answers(loop):
    answers = [answer for entry in loop.entries for _, answer in entry.answers.values()]
    return [answer for answer in answers if isinstance(answer, AnswerQuery)]


def not_ended_once(loop):
    ends = Counter()
    for entry in loop.entries:
        ends.update(list(entry.answers))
        ends.update(list(entry.refusals))
    return [name for name in loop.arrived if ends[name] != 1]


def late_responses(loop):
    return [
        (name, time_ms - loop.arrived[name][0])
        for entry in loop.entries
        for name, (time_ms, _) in (*entry.answers.items(), *entry.refusals.items())
        if time_ms - loop.arrived[name][0] > LIMIT_MS + TICK_MS + LOCAL_MS
    ]


def has_wrong_coverage(answer):
    hit_services = [
        samples.service_name(hit.doc // samples.DOCS) for hit in answer.hits
    ]
    missing = set(answer.coverage.missing_services)
    covered = samples.DOCS * (SERVICES - len(missing))
    counts = (answer.coverage.total_docs, answer.coverage.covered_docs)
    is_miscounted = counts != (SERVICES * samples.DOCS, covered)
    reported_services = sorted((*hit_services, *missing))
    return is_miscounted or reported_services != sorted(
        samples.service_name(index) for index in range(SERVICES)
    )


def mixes_snapshots(answer):
    return any(hit.score != answer.snapshot for hit in answer.hits)


def runs_of(loop):
    ran = Counter()
    for server in loop.servers.values():
        for call_id in server.run_log:
            _, command = loop.sent[call_id]
            ran[command.call.request_id.partition('.')[0]] += 1
    return ran


def repeated_runs(loop):
    return [name for name, count in runs_of(loop).items() if count > 1]


def refused_but_ran(loop):
    ran = runs_of(loop)
    return [
        name
        for entry in loop.entries
        for name, (_, answer) in entry.refusals.items()
        if isinstance(answer, RefuseCaller) and answer.ran is Ran.NO and ran[name]
    ]


def overloaded_cold_servers(loop):
    """Return cold servers that refused more calls than were in flight to them.

    Each entry VM may send one more call before it sees the first cold-start sign.
    """
    return [
        (server.name, server.cold_overloads, loop.in_flight[server.name])
        for server in loop.servers.values()
        if server.cold_overloads > loop.in_flight[server.name] + len(loop.entries)
    ]


def schedule_faults(loop, case: Case, times_ms: dict[str, float]) -> None:
    for step, time_ms in times_ms.items():
        loop.at(time_ms, inject_faults, loop, case, step)
