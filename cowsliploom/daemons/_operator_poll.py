"""Task that reads status for the watch streams while any is open."""

import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as AnswerTimeout
from dataclasses import replace

from cowsliploom.daemons._inbox import InboxTask
from cowsliploom.daemons._operator_feed import ConfigurationFeed, FeedState
from cowsliploom.daemons._operator_fleet import StatusRequested
from cowsliploom.daemons._operator_status import MoveStatus
from cowsliploom.resources import Kind

MS_PER_S = 1000
MOVES_MAX = 100  # version moves read in one round; above it, rounds alternate
ANSWER_TIMEOUT_S = 30.0


class StatusPoller:
    """Read status periodically while a watch stream is open.

    Parameters
    ----------
    feed : ConfigurationFeed
        Receives the status; knows whether a watch stream is open.
    reader : InboxTask
        Task that reads status.
    period_ms : float
        Time between two reads, in milliseconds.
    """

    def __init__(
        self,
        feed: ConfigurationFeed,
        reader: InboxTask[StatusRequested],
        period_ms: float,
    ) -> None:
        self.feed = feed
        self.reader = reader
        self.period_ms = period_ms
        self._next_index = 0
        self._moves: dict[str, MoveStatus] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name='status', daemon=True)

    def __enter__(self) -> 'StatusPoller':
        """Start the task."""
        self._thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """Ask the task to stop."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            state = self.feed.wait_for_watch()
            if not state.closing:
                self._poll(state)
            self._stopped.wait(self.period_ms / MS_PER_S)

    def _poll(self, state: FeedState) -> None:
        message = StatusRequested(self._next_moves(state), Future())
        if not self.reader.offer(message):
            return
        try:
            snapshot = message.answer.result(ANSWER_TIMEOUT_S)
        except AnswerTimeout:
            return
        names = _move_names(state)
        known = {**self._moves, **snapshot.moves}
        self._moves = {name: known[name] for name in names if name in known}
        self.feed.offer_status(replace(snapshot, moves=self._moves))

    def _next_moves(self, state: FeedState) -> tuple[str, ...]:
        names = _move_names(state)
        if len(names) <= MOVES_MAX:
            return tuple(names)
        begin = self._next_index % len(names)
        self._next_index = begin + MOVES_MAX
        return tuple((names[begin:] + names[:begin])[:MOVES_MAX])


def _move_names(state: FeedState) -> list[str]:
    if state.view is None:
        return []
    return [
        resource.name
        for resource in state.view.configuration.resources
        if resource.kind is Kind.VERSION_MOVE
    ]
