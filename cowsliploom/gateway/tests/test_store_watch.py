"""A watcher notices in time that its open watch no longer receives events."""

import asyncio
import time

from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._store_watch import StoreWatch
from cowsliploom.gateway.tests.test_store_view import RecordingLog, configuration
from cowsliploom.members import Batch, Member, MembershipTable
from cowsliploom.platform import StoreUnanswered

APPLY_MS = 3000


def monotonic_ms():
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


class SilentStore:
    """A store that answers lists but never a watch."""

    def __init__(self):
        self.version = 1

    async def list_prefix(self, prefix, timeout_ms):
        """Return the configuration."""
        item = configuration(self.version, self.version)
        return Batch(self.version, (item,), is_whole=True)

    async def watch(self, prefix, after, wait_ms, timeout_ms):
        """Write a version just after the watch starts, and time out."""
        self.version += 1
        await asyncio.sleep(timeout_ms / 1000)
        return StoreUnanswered('store.watch', 'store', 'no answer in time')


def test_version_written_during_a_silent_watch_is_in_force_in_time():
    """Watches timed out only after 4.7 s, but a version is due after 3 s."""

    async def scenario():
        loop = asyncio.get_running_loop()
        dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
        store_view = StoreView(dispatcher, RecordingLog(), APPLY_MS)
        known = MembershipTable(Member('own', 'own:1', 'de'), (), 1)
        peers = Peers(
            known, store_view, RecordingLog(), Metrics(), monotonic_ms, APPLY_MS
        )
        watch = StoreWatch(SilentStore(), store_view, RecordingLog(), peers, 1)
        running = loop.create_task(watch.run())
        await asyncio.sleep(0.1)
        assert dispatcher.table.version == 1
        await asyncio.sleep(APPLY_MS / 1000 - 0.1)
        running.cancel()
        assert dispatcher.table.version >= 2

    asyncio.run(scenario())
