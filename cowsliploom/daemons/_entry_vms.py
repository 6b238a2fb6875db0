"""Task that reads the platform's list of VMs."""

import random
import threading
from collections.abc import Callable
from types import TracebackType

from cowsliploom.ports import Store
from cowsliploom.protocol import VmList

LIST_TIMEOUT_MS = 1000  # a healthy platform answers within milliseconds
WATCHER_INTERVAL_MS = 1000  # a leaving server must be known within 3 s
OTHER_INTERVAL_MIN_MS = 20000  # a fallback, as the watchers gossip what they read
OTHER_INTERVAL_MAX_MS = 40000
RETRY_MS = 500  # until the first list has been read
MS_PER_S = 1000


class VmListReader:
    """Read the list of VMs often on a watcher, and rarely on other entry VMs.

    Parameters
    ----------
    store : Store
        The platform's store; used only on this task's thread.
    on_list : callable
        Called with each list, on this task's thread.
    seed : int
        Seed of the jitter.
    """

    def __init__(
        self, store: Store, on_list: Callable[[VmList], object], seed: int
    ) -> None:
        self._store = store
        self._on_list = on_list
        self._random = random.Random(seed)
        self._is_watcher = True
        self._listed = False
        self._stopped = False
        self._wake = threading.Event()

    def __enter__(self) -> 'VmListReader':
        """Start the task."""
        threading.Thread(target=self._run, name='vm-list', daemon=True).start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ask the task to stop."""
        self._stopped = True
        self._wake.set()

    def set_watcher(self, *, is_watcher: bool) -> None:
        """Set whether this entry VM reads the list for its data centre."""
        if is_watcher != self._is_watcher:
            self._is_watcher = is_watcher
            self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            self._wake.clear()
            self._read()
            self._wake.wait(self._pause_ms() / MS_PER_S)

    def _read(self) -> None:
        answer = self._store.list_vms(LIST_TIMEOUT_MS)
        if isinstance(answer, VmList):
            self._listed = True
            self._on_list(answer)

    def _pause_ms(self) -> float:
        if not self._listed:
            return self._random.uniform(0, RETRY_MS)
        if self._is_watcher:
            return WATCHER_INTERVAL_MS
        return self._random.uniform(OTHER_INTERVAL_MIN_MS, OTHER_INTERVAL_MAX_MS)
