"""Task that watches the store for newer configurations."""

import threading
from collections.abc import Callable
from types import TracebackType

from cowsliploom.coordination import Member, StoreWatchScheduler, WatchStore
from cowsliploom.daemons._entry_messages import ConfigurationOffered, CounterIncremented
from cowsliploom.ports import Clock, Store, Unanswered, Unchanged
from cowsliploom.resources import HEAD_KEY, ConfigurationView, read_view

READ_TIMEOUT_MS = 1000  # a healthy store answers within milliseconds
PLAN_POLL_MS = 100  # a call that falls due may start this much later
MS_PER_S = 1000

Offer = Callable[[ConfigurationOffered | CounterIncremented], None]


class ConfigurationWatch:
    """Read the configuration at startup, then watch or poll the store.

    Parameters
    ----------
    store : Store
        The platform's store; used only on this task's thread.
    clock : Clock
        Clock of the scheduler.
    scheduler : StoreWatchScheduler
        Decides which call is due; used only on this task's thread.
    offer : callable
        Called with each configuration read and each counter increment, on this
        task's thread.

    Notes
    -----
    Two entry VMs of each data centre watch the store. The others receive updates by
    gossip and poll rarely, so that the number of store calls barely grows with the
    fleet.
    """

    def __init__(
        self, store: Store, clock: Clock, scheduler: StoreWatchScheduler, offer: Offer
    ) -> None:
        self._store = store
        self._clock = clock
        self._scheduler = scheduler
        self._offer = offer
        self._view = ConfigurationView()
        self._has_read = False
        self._live: tuple[Member, ...] | None = None
        self._stop = threading.Event()

    def __enter__(self) -> 'ConfigurationWatch':
        """Start the task."""
        thread = threading.Thread(
            target=self._run, name='configuration-watch', daemon=True
        )
        thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ask the task to stop; a pending watch ends at its timeout."""
        self._stop.set()

    def update_members(self, live: tuple[Member, ...]) -> None:
        """Set the live members; may be called on any thread."""
        self._live = live

    def _run(self) -> None:
        while not self._stop.is_set():
            self._apply_members()
            now_ms = self._clock.now_ms()
            call = self._scheduler.next_call(now_ms, self._view.stored.version)
            if call is None:
                self._stop.wait(PLAN_POLL_MS / MS_PER_S)
            else:
                self._perform(call)

    def _apply_members(self) -> None:
        live = self._live
        if live is not None:
            self._live = None
            self._scheduler.members_changed(self._clock.now_ms(), live)

    def _perform(self, call: WatchStore) -> None:
        is_answered = self._read() if self._should_read(call) else self._watch(call)
        if is_answered:
            self._scheduler.answered(self._clock.now_ms())
            return
        self._offer(CounterIncremented('store_unanswered'))
        self._scheduler.unanswered(self._clock.now_ms())

    def _should_read(self, call: WatchStore) -> bool:
        """Return whether to read without waiting: for a poll, and the first call."""
        return not call.wait_ms or not self._has_read

    def _watch(self, call: WatchStore) -> bool:
        """Wait for a newer version and read it; return whether the store answered."""
        self._offer(CounterIncremented('store_watches'))
        answer = self._store.watch(HEAD_KEY, call.after_revision, call.wait_ms)
        match answer:
            case Unanswered():
                return False
            case Unchanged():
                return True
        return self._read()

    def _read(self) -> bool:
        """Read the configuration and offer it; return whether the store answered."""
        self._offer(CounterIncremented('store_reads'))
        view = read_view(self._store, self._view.chunks, READ_TIMEOUT_MS)
        if isinstance(view, Unanswered):
            return False
        self._has_read = True
        if view.stored.version >= self._view.stored.version:
            self._view = view
            self._offer(ConfigurationOffered(view.configuration, 'store'))
        return True
