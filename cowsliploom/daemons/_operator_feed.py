"""Newest configuration and status, shared with all watch streams."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cowsliploom.daemons._operator_status import StatusSnapshot
from cowsliploom.resources import ConfigurationView, EventLog, derive_batch


@dataclass(frozen=True, slots=True)
class FeedState:
    """Latest known state of the daemon.

    Parameters
    ----------
    view : ConfigurationView or None
        Newest configuration read; None before the first.
    log : EventLog
        Recent events, without gaps.
    status : StatusSnapshot
        Status as last read for the watches.
    store_failure : str
        Why the last store call failed; empty if it succeeded.
    watches : int
        Number of open watch streams.
    closing : bool
        Whether the daemon drains.
    """

    view: ConfigurationView | None = None
    log: EventLog = field(default=EventLog())
    status: StatusSnapshot = field(default=StatusSnapshot())
    store_failure: str = ''
    watches: int = 0
    closing: bool = False

    @property
    def revision(self) -> int:
        """Newest known revision; 0 before the first read."""
        return 0 if self.view is None else self.view.configuration.revision


def with_view(state: FeedState, view: ConfigurationView) -> FeedState:
    """Return the state with a newer view; an older view is ignored."""
    if state.view is None:
        revision = view.configuration.revision
        return replace(state, view=view, log=EventLog(revision), store_failure='')
    if view.configuration.revision <= state.revision:
        return replace(state, store_failure='')
    batch = derive_batch(state.view.configuration, view.configuration)
    return replace(state, view=view, log=state.log.append(batch), store_failure='')


class ConfigurationFeed:
    """Publish immutable states of the reading tasks to many waiting threads."""

    def __init__(self) -> None:
        self.state = FeedState()
        self._changed = threading.Condition()

    def update(self, change: Callable[[FeedState], FeedState]) -> FeedState:
        """Replace the state by the result of a function, and wake all waiters.

        Parameters
        ----------
        change : callable
            Takes the state and returns the next one; waiters are not woken if it
            equals the current one.

        Returns
        -------
        FeedState
            The previous state.
        """
        with self._changed:
            before = self.state
            after = change(before)
            if after != before:
                self.state = after
                self._changed.notify_all()
            return before

    def offer_view(self, view: ConfigurationView) -> None:
        """Publish a view read from the store, if it is newer."""
        self.update(lambda state: with_view(state, view))

    def offer_failure(self, reason: str) -> bool:
        """Record a failed read; return whether the call before it succeeded."""
        before = self.update(lambda state: replace(state, store_failure=reason))
        return not before.store_failure

    def offer_status(self, status: StatusSnapshot) -> None:
        """Publish the status read for the watches."""
        self.update(lambda state: replace(state, status=status))

    def open_watch(self, watches_max: int) -> bool:
        """Reserve a watch stream; return whether one was available."""
        before = self.update(lambda state: _with_watch(state, watches_max))
        return before.watches < watches_max and not before.closing

    def close_watch(self) -> None:
        """Release a watch stream."""
        self.update(lambda state: replace(state, watches=state.watches - 1))

    def close(self) -> None:
        """End all watch streams."""
        self.update(lambda state: replace(state, closing=True))

    def wait(self, seen: FeedState, timeout_s: float) -> FeedState:
        """Wait for a state other than ``seen``; return the current one."""
        with self._changed:
            self._changed.wait_for(lambda: self.state is not seen, timeout_s)
            return self.state

    def wait_for_watch(self) -> FeedState:
        """Wait until a watch stream is open or the daemon drains."""
        with self._changed:
            self._changed.wait_for(self._is_watched)
            return self.state

    def _is_watched(self) -> bool:
        return self.state.closing or self.state.watches > 0


def _with_watch(state: FeedState, watches_max: int) -> FeedState:
    if state.watches >= watches_max or state.closing:
        return state
    return replace(state, watches=state.watches + 1)
