"""Reports of one server take effect in the order in which it made them."""

import random
from dataclasses import dataclass, replace

import pytest

from cowsliploom.forwarding import ServerNotice, ServerState
from cowsliploom.forwarding._report_order import ReportOrder, report_order
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record

NAME = 'one-0'
LEAVING = ServerNotice(is_leaving=True)
STEPS = 60
FLEETS = 3
OLDER, FOLLOWS, NEW_START = ReportOrder


@pytest.mark.parametrize(
    ('known', 'reported', 'expected'),
    [
        ({'born_ms': 5, 'sequence': 3}, {'born_ms': 5, 'sequence': 3}, FOLLOWS),
        ({'born_ms': 5, 'sequence': 3}, {'born_ms': 5, 'sequence': 4}, FOLLOWS),
        ({'born_ms': 5, 'sequence': 3}, {'born_ms': 5, 'sequence': 2}, OLDER),
        ({'born_ms': 5, 'sequence': 3}, {'born_ms': 6, 'sequence': 1}, NEW_START),
        ({'born_ms': 5, 'sequence': 3}, {'born_ms': 4, 'sequence': 9}, OLDER),
        ({'sequence': 3}, {'sequence': 4}, FOLLOWS),
        ({'sequence': 3}, {'sequence': 2}, NEW_START),
        ({'sequence': 3}, {'born_ms': 6, 'sequence': 4}, NEW_START),
        ({'born_ms': 5, 'sequence': 3}, {'sequence': 4}, FOLLOWS),
        ({'born_ms': 5, 'sequence': 3}, {'sequence': 2}, NEW_START),
    ],
)
@pytest.mark.parametrize('moves', [False, True])
def test_start_and_sequence_order_reports(known, reported, expected, moves):
    """Guard against a late report that is taken for a new start."""
    first = record(NAME, 'one', **known)
    second = replace(record(NAME, 'one'), **{'born_ms': 0, **reported})
    if moves:
        second = replace(second, address='10.0.0.9:1')
        expected = NEW_START if expected is FOLLOWS else expected
    assert report_order(first, second) is expected


@pytest.mark.parametrize('is_removed', [False, True])
@pytest.mark.parametrize(
    'late',
    [{'sequence': 2}, {'sequence': 9, 'born_ms': 4}],
    ids=['same-start', 'earlier-start'],
)
def test_late_report_does_not_bring_back_a_server_that_leaves(late, is_removed):
    """Guard against calls to a leaving server after a late report of it."""
    fleet = make_dispatcher(servers=0).fleet
    known = record(NAME, 'one', sequence=3, born_ms=5)
    fleet.update([known], 0)
    fleet.apply_notice(fleet.get(NAME), LEAVING, 0)
    draining = replace(known, state=ServerState.DRAINING, sequence=4)
    fleet.update([draining], 10)
    if is_removed:
        fleet.update([], 20)
    fleet.update([replace(known, **late)], 30)
    assert not fleet.has_usable('one', (), 40)
    fleet.update([replace(known, sequence=1, born_ms=6)], 50)
    assert fleet.has_usable('one', (), 60)


@dataclass
class Truth:
    """The reports of a server in the order in which it made them, and its word."""

    random: random.Random
    born_ms: int = 1
    sequence: int = 0
    state: ServerState = ServerState.READY
    is_leaving: bool = False

    def report(self):
        """Return the next report."""
        self.sequence += 1
        return record(
            NAME,
            'one',
            sequence=self.sequence,
            born_ms=self.born_ms,
            state=self.state,
            slots=self.random.randint(1, 9),
            cold_ms=self.random.choice((0, 0, 500)),
        )

    def restart(self):
        """Start the server anew under its name."""
        self.born_ms += self.random.randint(1, 50)
        self.sequence = 0
        self.state = ServerState.READY
        self.is_leaving = False


class View:
    """A fleet, and what it should know by the order of the reports."""

    def __init__(self):
        self.fleet = make_dispatcher(servers=0).fleet
        self.latest = None
        self.is_registered = False
        self.left = set()  # starts that have said that they leave

    def receive(self, report, now_ms):
        """Let the store, or a peer, hand on a report."""
        key = (report.born_ms, report.sequence)
        known = self.latest and (self.latest.born_ms, self.latest.sequence)
        if known is None or key >= known:
            self.latest = report
            self.is_registered = True
        self.fleet.update([report], now_ms)

    def remove(self, now_ms):
        """Let the store remove the registration."""
        self.is_registered = False
        self.fleet.update([], now_ms)

    def hear(self, truth, now_ms):
        """Let the server answer that it leaves."""
        server = self.fleet.get(NAME)
        if server is not None and server.record.born_ms == truth.born_ms:
            self.left.add(truth.born_ms)
            self.fleet.apply_notice(server, LEAVING, now_ms)

    def check(self):
        """Compare the fleet with the latest report."""
        server = self.fleet.get(NAME)
        assert (server is not None) is self.is_registered
        if server is not None:
            assert server.record == self.latest
            assert server.standing.is_leaving is (self.latest.born_ms in self.left)
            ready = self.latest.state is ServerState.READY
            assert server.accepts_requests is (ready and not server.standing.is_leaving)


class History:
    """A server, its reports and the views of it."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.truth = Truth(self.random)
        self.views = [View() for _ in range(FLEETS)]
        self.reports = [self.truth.report()]

    def step(self, now_ms):
        """Let the server act, or a view receive something."""
        view = self.random.choice(self.views)
        match self.random.choice(
            ('report', 'new', 'new', 'late', 'remove', 'leave', 'drain', 'restart')
        ):
            case 'report':
                self.reports.append(self.truth.report())
            case 'new':
                view.receive(self.reports[-1], now_ms)
            case 'late':
                view.receive(self.random.choice(self.reports[-8:]), now_ms)
            case 'remove':
                view.remove(now_ms)
            case 'leave':
                view.hear(self.truth, now_ms)
            case 'drain':
                self.truth.state = ServerState.DRAINING
                self.reports.append(self.truth.report())
            case 'restart' if len(self.reports) % 3 == 0:
                self.truth.restart()
                self.reports.append(self.truth.report())


@pytest.mark.parametrize('seed', range(60))
def test_views_go_by_the_latest_report_in_any_order_of_arrival(seed):
    """Guard against any effect of a report that a later one has overtaken."""
    history = History(seed)
    for step in range(STEPS):
        history.step(step * 100)
        for view in history.views:
            view.check()
