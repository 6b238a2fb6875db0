"""The task that watches the platform's store."""

import asyncio
import random

from cowsliploom.members import Batch
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._peers import Peers
from cowsliploom.platform import HistoryGone, PlatformStore, StoreUnanswered

MS_PER_S = 1000
WATCH_WAIT_SHARE = 0.25  # of the time for a configuration; others wait for its end
WATCH_SLACK_MS = 700.0  # the store answers a wait this late at most
LIST_TIMEOUT_MS = 1500.0
BACKOFF_MIN_MS = 100.0
BACKOFF_MAX_MS = 800.0  # a version is to be in force within seconds of the return
IDLE_MS = 200.0  # between two looks whether this entry VM is to watch
PAUSE_MS = 300.0  # between two watches, so that events come in one answer


class StoreWatch:
    """Keep the mirror in step with the store.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    knowledge : Knowledge
        Where what is heard goes.
    log : LineLog
        Log of the lost and regained store.
    peers : Peers
        Tell whether this entry VM watches, and spread the news.
    seed : int
        Seed that spreads retries.
    """

    def __init__(
        self,
        store: PlatformStore,
        store_view: StoreView,
        log: LineLog,
        peers: Peers,
        seed: int,
    ) -> None:
        self.store = store
        self.store_view = store_view
        self.log = log
        self.peers = peers
        self._random = random.Random(seed)
        self._answers = False
        self._failures = 0
        self._lists_next = True

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            pause_ms = IDLE_MS
            if self.peers.watches_store():
                pause_ms = await self._once()
            await asyncio.sleep(pause_ms / MS_PER_S)

    async def _ask(self) -> Batch | HistoryGone | StoreUnanswered:
        if self._lists_next:
            return await self.store.list_prefix('', LIST_TIMEOUT_MS)
        wait_ms = round(WATCH_WAIT_SHARE * self.store_view.apply_ms)
        return await self.store.watch(
            '', self.store_view.mirror.revision, wait_ms, wait_ms + WATCH_SLACK_MS
        )

    async def _once(self) -> float:
        asked_ms = self.peers.now_ms()
        is_list = self._lists_next
        reply = await self._ask()
        match reply:
            case StoreUnanswered():
                return self._unanswered(reply)
            case HistoryGone():
                self.log.write('store', 'history gone', after=reply.after)
                self._lists_next = True
                return 0
        self._answered()
        self._lists_next = False
        known_revision = self.store_view.mirror.revision
        now_ms = self.peers.now_ms()
        age_ms = now_ms - asked_ms if is_list else 0
        if self.store_view.take(reply, Provenance('store', age_ms), now_ms):
            self.peers.news.spread(known_revision)
        return PAUSE_MS

    def _answered(self) -> None:
        self.peers.attendance.store_answered(self.peers.now_ms())
        if not self._answers:
            self._answers = True
            if self._failures:
                self.store_view.store_returned(self.peers.now_ms())
            self.log.write('store', 'answers', failures=self._failures)
        self._failures = 0

    def _unanswered(self, reply: StoreUnanswered) -> float:
        if self._answers or not self._failures:
            self.log.write('store', 'lost', step=reply.step, reason=reply.reason)
        self._answers = False
        self._lists_next = True
        bound_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self._random.uniform(bound_ms / 2, bound_ms)
