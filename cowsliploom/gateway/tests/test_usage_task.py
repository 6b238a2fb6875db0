"""The task acquires the duty, fixes each window and reports it once."""

import asyncio

import pytest

from cowsliploom import platform
from cowsliploom.forwarding import (
    BudgetRules,
    RequestDispatcher,
    RouteTable,
    Workspace,
    WorkspaceTable,
    key_digest,
)
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._usage_exchange import UsageExchange
from cowsliploom.gateway._usage_task import UsageTask
from cowsliploom.gateway.tests.test_store_view import RecordingLog
from cowsliploom.gateway.tests.test_stored_vetoes import ConditionalStore
from cowsliploom.gateway.tests.test_update_propagation import ManualClock
from cowsliploom.members import Member, MembershipTable
from cowsliploom.usage import UsageRules

RULES = UsageRules(window_ms=1000, late_ms=1000, lease_ms=3000)
STEP_MS = 200
WORKSPACES = WorkspaceTable({key_digest('k'): Workspace('ada')})


class LeasingStore(ConditionalStore):
    """A store that grants leases, and tells a mirror what is written."""

    era = 0

    async def grant_lease(self, ttl_ms, timeout_ms):
        """Grant a lease."""
        return platform.Lease(7, ttl_ms)

    async def keep_lease(self, lease_id, timeout_ms):
        """Renew a lease."""
        return True

    async def write(self, expected, writes, timeout_ms):
        """Write, and let the mirror hear of it at once."""
        reply = await super().write(expected, writes, timeout_ms)
        self.tell(self.mirror)
        return reply


class RecordingReports:
    """The platform's interface; it fails a few reports first."""

    def __init__(self, failures):
        self.failures = failures
        self.accepted = []

    async def send(self, report, timeout_ms):
        """Accept a report, or fail it."""
        if self.failures:
            self.failures -= 1
            return 'status 429'
        self.accepted.append(report)
        return ''


def make_task(clock, reports):
    """Return the task of a single VM, and its counts."""
    dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
    dispatcher.apply_table(RouteTable(1, workspaces=WORKSPACES))
    log = RecordingLog()
    store_view = StoreView(dispatcher, log, 3000)
    usage = UsageExchange('a#1', RULES)
    usage.true_ms = lambda now_ms: 50_000 + now_ms
    known = MembershipTable(Member('a', 'a:1', 'de'), (), 1)
    peers = Peers(known, store_view, log, Metrics(), clock.read, 3000, usage)
    store = LeasingStore(store_view.mirror)
    task = UsageTask(RULES, reports, usage, peers, store_view, store, log, Metrics())
    return task, usage


@pytest.mark.parametrize('failures', [0, 1, 4])
def test_each_window_is_reported_once_with_its_counts(failures):
    async def scenario():
        clock, reports = ManualClock(), RecordingReports(failures)
        task, usage = make_task(clock, reports)
        counted = {}
        for _ in range(100):
            clock.now_ms += STEP_MS
            window = usage.begin('ada', clock.now_ms)
            counted[window] = counted.get(window, 0) + 1
            await task._tick()
        windows = [report.window for report in reports.accepted]
        assert windows == list(range(windows[0], windows[0] + len(windows)))
        assert len(windows) >= 8
        for report in reports.accepted[1:]:
            assert report.counts == {'ada': counted[report.window]}
        assert {report.token for report in reports.accepted} == {1}

    asyncio.run(scenario())


def test_process_that_stops_reports_no_more():
    async def scenario():
        clock, reports = ManualClock(), RecordingReports(0)
        task, _ = make_task(clock, reports)
        for step in range(60):
            clock.now_ms += STEP_MS
            if step == 40:
                task.stop()
                reports.accepted.clear()
            await task._tick()
        assert not reports.accepted

    asyncio.run(scenario())
