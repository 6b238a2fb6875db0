"""The task that watches the store for configurations of a higher revision."""

import threading
from collections.abc import Callable
from types import TracebackType

from cowsliploom.coordination import Member, StoreWatchScheduler, WatchStore
from cowsliploom.daemons._entry_messages import ConfigurationOffered, SamplesCounted
from cowsliploom.ports import Clock, Store, Unanswered, Unchanged
from cowsliploom.resources import HEAD_KEY, ConfigurationView, read_view

READ_TIMEOUT_MS = 1000  # the store answers in milliseconds when it is up
STEP_MS = 100  # how often the plan is asked; a change may wait this long for it
MS_PER_S = 1000

Offer = Callable[[ConfigurationOffered | SamplesCounted], None]


class ConfigurationWatch:
    """Read the configuration at the start, then watch or poll the store.

    Parameters
    ----------
    store : Store
        The platform's store; used by this task's thread only.
    clock : Clock
        Clock of the plan.
    plan : StoreWatchScheduler
        Decides which call is due; used by this task's thread only.
    offer : callable
        Takes each configuration read, on this task's thread.

    Notes
    -----
    Two entry VMs of a data centre hold a watch; the rest hear from them by gossip
    and poll rarely, so that calls on the store stay nearly flat as the fleet grows.
    """

    def __init__(
        self, store: Store, clock: Clock, plan: StoreWatchScheduler, offer: Offer
    ) -> None:
        self._store = store
        self._clock = clock
        self._plan = plan
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
        """Ask the task to end; a waiting watch is left to its timeout."""
        self._stop.set()

    def members_changed(self, live: tuple[Member, ...]) -> None:
        """Take the live members; may be called on any thread."""
        self._live = live

    def _run(self) -> None:
        while not self._stop.is_set():
            self._take_members()
            now_ms = self._clock.now_ms()
            call = self._plan.next_call(now_ms, self._view.stored.version)
            if call is None:
                self._stop.wait(STEP_MS / MS_PER_S)
            else:
                self._perform(call)

    def _take_members(self) -> None:
        live = self._live
        if live is not None:
            self._live = None
            self._plan.members_changed(self._clock.now_ms(), live)

    def _perform(self, call: WatchStore) -> None:
        is_answered = self._read() if self._is_read(call) else self._watch(call)
        if is_answered:
            self._plan.answered(self._clock.now_ms())
            return
        self._offer(SamplesCounted('store_unanswered'))
        self._plan.unanswered(self._clock.now_ms())

    def _is_read(self, call: WatchStore) -> bool:
        """Tell whether to read at once: for a poll, and for the first call."""
        return not call.wait_ms or not self._has_read

    def _watch(self, call: WatchStore) -> bool:
        """Wait for a higher version and read it; return whether the store answered."""
        self._offer(SamplesCounted('store_watches'))
        answer = self._store.watch(HEAD_KEY, call.after_revision, call.wait_ms)
        match answer:
            case Unanswered():
                return False
            case Unchanged():
                return True
        return self._read()

    def _read(self) -> bool:
        """Read the configuration and offer it; return whether the store answered."""
        self._offer(SamplesCounted('store_reads'))
        view = read_view(self._store, self._view.chunks, READ_TIMEOUT_MS)
        if isinstance(view, Unanswered):
            return False
        self._has_read = True
        if view.stored.version >= self._view.stored.version:
            self._view = view
            self._offer(ConfigurationOffered(view.configuration, 'store'))
        return True
