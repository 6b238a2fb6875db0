"""Fetches missing updates from members at a higher revision."""

from collections.abc import Callable, Coroutine
from contextlib import ExitStack

from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.members import StoreMirror

RETRY_AFTER_MS = 400.0  # a member that hasn't answered by then may be unreachable
FETCHES_MAX = 2  # concurrently; more would slow each other down

Fetch = Callable[[str], Coroutine[None, None, bool]]


class UpdateFetcher:
    """Fetch missing updates from one member at a time.

    A second fetch starts only if the first takes longer than ``RETRY_AFTER_MS``.

    Parameters
    ----------
    mirror : StoreMirror
        Local copy of the store.
    fetch : callable
        Requests the missing updates from the member at an address and applies them;
        returns whether it answered.
    now_ms : callable
        Monotonic clock.

    Notes
    -----
    Updates may be large and links slow: several copies at once would slow each other
    down until none arrives in time.
    """

    def __init__(
        self, mirror: StoreMirror, fetch: Fetch, now_ms: Callable[[], float]
    ) -> None:
        self.mirror = mirror
        self.fetch = fetch
        self.now_ms = now_ms
        self._open = 0
        self._started_ms = float('-inf')
        self._ahead_address = ''
        self._ahead_revision = 0
        self._background = BackgroundTasks()

    def note_revision(self, address: str, revision: int) -> None:
        """Record a revision that a member announced; fetch if it is higher."""
        if revision <= self.mirror.revision:
            return
        self._ahead_address = address
        self._ahead_revision = revision
        is_fresh = self.now_ms() - self._started_ms < RETRY_AFTER_MS
        if self._open < FETCHES_MAX and not (self._open and is_fresh):
            self._start(address)

    def _start(self, address: str) -> None:
        self._open += 1
        self._started_ms = self.now_ms()
        self._background.start(self._run_fetch(address))

    async def _run_fetch(self, address: str) -> bool:
        known_revision = self.mirror.revision
        with ExitStack() as stack:
            stack.callback(self._end)
            has_answered = await self.fetch(address)
        made_progress = self.mirror.revision > known_revision
        if made_progress and not self._open:
            self.note_revision(self._ahead_address, self._ahead_revision)
        return has_answered

    def _end(self) -> None:
        self._open -= 1
