"""The task that watches the store for configurations of a higher revision."""

import random
import threading
from collections.abc import Callable
from types import TracebackType

from cowsliploom.daemons._entry_messages import ConfigurationOffered, SamplesCounted
from cowsliploom.ports import Store, Unanswered, Unchanged
from cowsliploom.resources import HEAD_KEY, ConfigurationView, read_view

READ_TIMEOUT_MS = 1000  # the store answers in milliseconds when it is up
WATCH_WAIT_MS = 10000  # a waiting watch costs one call in this time
POLL_MIN_MS = 20000  # 2,600 daemons that poll at this pace make 130 reads a second
POLL_MAX_MS = 40000
BACKOFF_FIRST_MS = 50
BACKOFF_MAX_MS = 2000  # in force within 8 s holds also just after an outage
MS_PER_S = 1000

Offer = Callable[[ConfigurationOffered | SamplesCounted], None]


class ConfigurationWatch:
    """Read the configuration at the start, then watch or poll the store.

    Parameters
    ----------
    store : Store
        The platform's store; used by this task's thread only.
    offer : callable
        Takes each configuration read, on this task's thread.
    seed : int
        Seed of the jitter.

    Notes
    -----
    Two entry VMs of a data centre hold a watch; the rest hear from them by gossip
    and poll rarely, so that calls on the store stay nearly flat as the fleet grows.
    """

    def __init__(self, store: Store, offer: Offer, seed: int) -> None:
        self._store = store
        self._offer = offer
        self._random = random.Random(seed)
        self._view = ConfigurationView()
        self._watching = True
        self._stopped = False
        self._wake = threading.Event()
        self._backoff_ms = float(BACKOFF_FIRST_MS)

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
        self._stopped = True
        self._wake.set()

    def choose(self, *, watching: bool) -> None:
        """Take whether this entry VM is one of its data centre's watchers."""
        if watching != self._watching:
            self._watching = watching
            self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            self._read()
            self._wait()

    def _read(self) -> None:
        self._offer(SamplesCounted('store_reads'))
        view = read_view(self._store, self._view.chunks, READ_TIMEOUT_MS)
        if isinstance(view, Unanswered):
            self._offer(SamplesCounted('store_unanswered'))
            self._back_off()
            return
        self._backoff_ms = BACKOFF_FIRST_MS
        if view.stored.version >= self._view.stored.version:
            self._view = view
            self._offer(ConfigurationOffered(view.configuration, 'store'))

    def _wait(self) -> None:
        if not self._watching:
            self._wake.clear()
            pause_ms = self._random.uniform(POLL_MIN_MS, POLL_MAX_MS)
            self._wake.wait(pause_ms / MS_PER_S)
            return
        while self._watching and not self._stopped:
            if self._changed():
                return

    def _changed(self) -> bool:
        self._offer(SamplesCounted('store_watches'))
        answer = self._store.watch(HEAD_KEY, self._view.stored.version, WATCH_WAIT_MS)
        match answer:
            case Unanswered():
                self._offer(SamplesCounted('store_unanswered'))
                self._back_off()
                return False
            case Unchanged():
                return False
        return True

    def _back_off(self) -> None:
        pause_ms = self._random.uniform(0, self._backoff_ms)
        self._backoff_ms = min(self._backoff_ms * 2, BACKOFF_MAX_MS)
        self._wake.clear()
        self._wake.wait(pause_ms / MS_PER_S)
