"""The task that watches the platform's store for changes."""

import asyncio
import random

from cowsliploom.gateway._expiry_hold import StoreOutage
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._pauses import PauseDetector
from cowsliploom.gateway._peer_wire import UNKNOWN_AGE_MS
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._wake_gate import WakeGate
from cowsliploom.members import Batch
from cowsliploom.platform import HistoryGone, PlatformStore, StoreUnanswered

MS_PER_S = 1000
WATCH_WAIT_SHARE = 0.25  # of the apply time; other members wait for its end
WATCH_SLACK_MS = 700.0  # the store answers at most this long after the wait time
LIST_TIMEOUT_MS = 1500.0
BACKOFF_MIN_MS = 100.0
BACKOFF_MAX_MS = 800.0  # versions must be in force within seconds of the store's return
IDLE_MS = 200.0  # between checks whether this entry VM must watch
PAUSE_MS = 300.0  # between watches, so that one answer carries several events


class StoreWatch:
    """Keep the store view up to date from the store.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    store_view : StoreView
        View to which changes are applied.
    log : LineLog
        Log of lost and restored access to the store.
    peers : Peers
        Decide whether this entry VM watches, and propagate the updates.
    seed : int
        Seed of the jitter of retries.
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
        store.on_restored = store_view.note_restored
        self.store_view = store_view
        self.log = log
        self.peers = peers
        self.pauses = PauseDetector(peers.now_ms)
        self.wake_gate = WakeGate(self.pauses, peers, log)
        self._random = random.Random(seed)
        self._is_watching = False
        self._is_reachable = False
        self._failures = 0
        self._lost_ms = float('-inf')
        self._needs_list = True

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            pause_ms = IDLE_MS
            is_watching = self.peers.watches_store()
            if is_watching is not self._is_watching:
                self._is_watching = is_watching
                self._log_watch('watch begun' if is_watching else 'watch ended')
            if is_watching:
                pause_ms = await self._poll()
            await asyncio.sleep(pause_ms / MS_PER_S)

    def _log_watch(self, event: str) -> None:
        now_ms = self.peers.now_ms()
        watched_age_ms = self.peers.watcher_liveness.age_ms(now_ms)
        self.log.write(
            'store',
            event,
            revision=self.store_view.mirror.revision,
            confirmed_age_ms=round(self.store_view.confirmed_age_ms(now_ms)),
            watched_age_ms=round(min(watched_age_ms, UNKNOWN_AGE_MS)),
        )

    async def _request(self) -> Batch | HistoryGone | StoreUnanswered:
        if self._needs_list:
            return await self.store.list_prefix('', LIST_TIMEOUT_MS)
        wait_ms = round(WATCH_WAIT_SHARE * self.store_view.apply_ms)
        return await self.store.watch(
            '', self.store_view.mirror.revision, wait_ms, wait_ms + WATCH_SLACK_MS
        )

    async def _poll(self) -> float:
        asked_ms = self.peers.now_ms()
        is_list = self._needs_list
        reply = await self._request()
        match reply:
            case StoreUnanswered():
                return self._record_failure(reply)
            case HistoryGone():
                self.log.write(
                    'store', 'history gone', after=reply.after, era=reply.era
                )
                self._needs_list = True
                return 0
        self._record_answer()
        self._needs_list = False
        known_revision = self.store_view.mirror.revision
        now_ms = self.peers.now_ms()
        age_ms = now_ms - asked_ms if is_list else 0
        if self.store_view.apply(reply, Provenance('store', age_ms), now_ms):
            self.peers.updates.propagate(known_revision)
        return PAUSE_MS

    def _record_answer(self) -> None:
        self.peers.watcher_liveness.store_answered(self.peers.now_ms())
        if not self._is_reachable:
            self._is_reachable = True
            if self._failures:
                self._note_outage()
            self.log.write('store', 'answers', failures=self._failures)
        self._failures = 0

    def _note_outage(self) -> None:
        """Record the end of an outage, unless only this VM may have been away.

        It may have been if it was paused, or heard none of the other members.
        """
        running_since_ms = self.pauses.running_since_ms()
        lost_ms = max(self._lost_ms, running_since_ms)
        heard_ms = self.peers.known.heard_ms
        if self.peers.others() and heard_ms <= lost_ms:
            self.log.write(
                'store',
                'outage not counted',
                heard_age_ms=round(self.peers.now_ms() - heard_ms),
            )
            return
        outage = StoreOutage(lost_ms, self.peers.now_ms())
        self.store_view.note_outage(outage, 'store', running_since_ms)

    def _record_failure(self, reply: StoreUnanswered) -> float:
        if self._is_reachable or not self._failures:
            self.log.write('store', 'lost', step=reply.step, reason=reply.reason)
        if not self._failures:
            self._lost_ms = self.peers.now_ms()
        self._is_reachable = False
        self._needs_list = True
        bound_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self._random.uniform(bound_ms / 2, bound_ms)
