"""When to ask a member that knows more, so that news are fetched once."""

from collections.abc import Callable, Coroutine
from contextlib import ExitStack

from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.members import StoreMirror

AGAIN_MS = 400.0  # a member that hasn't answered by then may be out of reach
PULLS_MAX = 2  # at once; more would hold each other up

Ask = Callable[[str], Coroutine[None, None, bool]]


class Pulls:
    """Fetch what is missing here, from one member at a time.

    Parameters
    ----------
    mirror : StoreMirror
        What is known here.
    ask : callable
        Asks the member at an address for what is missing and takes the answer;
        returns whether there was one.
    now_ms : callable
        Steady clock.

    Notes
    -----
    News may be large and links weak: the same news from several members at once
    would hold each other up until none arrives in time.
    """

    def __init__(
        self, mirror: StoreMirror, ask: Ask, now_ms: Callable[[], float]
    ) -> None:
        self.mirror = mirror
        self.ask = ask
        self.now_ms = now_ms
        self._open = 0
        self._started_ms = float('-inf')
        self._ahead = ''
        self._ahead_revision = 0
        self._background = BackgroundTasks()

    def heard(self, address: str, revision: int) -> None:
        """Take the word of a member that it knows everything up to a revision."""
        if revision <= self.mirror.revision:
            return
        self._ahead = address
        self._ahead_revision = revision
        is_fresh = self.now_ms() - self._started_ms < AGAIN_MS
        if self._open < PULLS_MAX and not (self._open and is_fresh):
            self._start(address)

    def _start(self, address: str) -> None:
        self._open += 1
        self._started_ms = self.now_ms()
        self._background.start(self._pull(address))

    async def _pull(self, address: str) -> bool:
        known_revision = self.mirror.revision
        with ExitStack() as stack:
            stack.callback(self._end)
            has_answered = await self.ask(address)
        has_gained = self.mirror.revision > known_revision
        if has_gained and not self._open:
            self.heard(self._ahead, self._ahead_revision)
        return has_answered

    def _end(self) -> None:
        self._open -= 1
