"""Tasks of the operator daemon that call the store."""

import random
import threading
from concurrent.futures import Future
from dataclasses import dataclass

from cowsliploom.adapters import ComponentLog
from cowsliploom.daemons._operator_feed import ConfigurationFeed, FeedState, with_view
from cowsliploom.ports import Unanswered, Unchanged
from cowsliploom.resources import (
    Accepted,
    Change,
    ConfigurationLog,
    ConfigurationView,
    NotAccepted,
    Outcome,
)

MS_PER_S = 1000
BACKOFF_FIRST_MS = 50.0
BACKOFF_MAX_MS = 2000.0  # watches resume within seconds of the end of an outage

WATCH_MIN_MS = 200.0  # bounds the call rate when watches return immediately


@dataclass(frozen=True, slots=True)
class ApplyRequested:
    """Request a change, with a deadline on the daemon's clock."""

    change: Change
    deadline_ms: float
    answer: 'Future[AppliedChange]'


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """Outcome of a change, and the configuration read after it if available."""

    outcome: Outcome
    view: ConfigurationView | None = None


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """Request a configuration whose read begins at ``requested_ms`` or later."""

    requested_ms: float
    answer: 'Future[ConfigurationView | Unanswered]'


class StoreWriter:
    """Message handler that applies changes one at a time.

    Parameters
    ----------
    log : ConfigurationLog
        Owned by this task.
    feed : ConfigurationFeed
        Receives the configuration after each accepted change.
    component_log : ComponentLog
        Logs each change.
    """

    def __init__(
        self,
        log: ConfigurationLog,
        feed: ConfigurationFeed,
        component_log: ComponentLog,
    ) -> None:
        self.log = log
        self.feed = feed
        self.component_log = component_log

    def __call__(self, message: ApplyRequested) -> None:
        """Apply one change and set its outcome."""
        if self.log.clock.now_ms() >= message.deadline_ms:
            reason = 'the change was queued until its deadline'
            outcome = NotAccepted('operator.queue', 'operator', reason, maybe=False)
            message.answer.set_result(AppliedChange(outcome))
            return
        if self.feed.state.view is not None:
            self.log.adopt(self.feed.state.view)
        message.answer.set_result(self._apply(message))

    def _apply(self, message: ApplyRequested) -> AppliedChange:
        outcome = self.log.apply(message.change, message.deadline_ms)
        if not isinstance(outcome, Accepted):
            kind = type(outcome).__name__
            self.component_log.write(
                'Change not accepted.', change_id=message.change.change_id, outcome=kind
            )
            return AppliedChange(outcome)
        self.component_log.write(
            'Change accepted.',
            change_id=message.change.change_id,
            revision=outcome.revision,
        )
        view = self.log.read()
        if isinstance(view, Unanswered):
            return AppliedChange(outcome)
        self.feed.offer_view(view)
        return AppliedChange(outcome, view)


class StoreReader:
    """Message handler that reads the configuration.

    Parameters
    ----------
    log : ConfigurationLog
        Owned by this task.
    feed : ConfigurationFeed
        Learns of what is read.

    Notes
    -----
    A read serves all requests made before it began, so that many concurrent readers
    cost the store little more than one.
    """

    def __init__(self, log: ConfigurationLog, feed: ConfigurationFeed) -> None:
        self.log = log
        self.feed = feed
        self._began_ms: float | None = None
        self._last: ConfigurationView | Unanswered | None = None

    def __call__(self, message: ReadRequested) -> None:
        """Answer one read request."""
        began_ms = self._began_ms
        if self._last is None or began_ms is None or began_ms < message.requested_ms:
            self._last = self._read()
        message.answer.set_result(self._last)

    def _read(self) -> ConfigurationView | Unanswered:
        self._began_ms = self.log.clock.now_ms()
        if self.feed.state.view is not None:
            self.log.adopt(self.feed.state.view)
        view = self.log.read()
        if isinstance(view, Unanswered):
            self.feed.offer_failure(f'{view.step}: {view.reason}')
        else:
            self.feed.offer_view(view)
        return view


class StoreWatcher:
    """Watch the store only while a watch stream is open.

    Parameters
    ----------
    log : ConfigurationLog
        Owned by this task.
    feed : ConfigurationFeed
        Learns of what is read.
    component_log : ComponentLog
        Logs when the store stops answering, and when it answers again.
    wait_ms : float
        Longest wait of one call, in milliseconds.
    """

    def __init__(
        self,
        log: ConfigurationLog,
        feed: ConfigurationFeed,
        component_log: ComponentLog,
        wait_ms: float,
    ) -> None:
        self.log = log
        self.feed = feed
        self.component_log = component_log
        self.wait_ms = wait_ms
        self._backoff_ms = BACKOFF_FIRST_MS
        self._random = random.Random()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name='watcher', daemon=True)

    def __enter__(self) -> 'StoreWatcher':
        """Start the task."""
        self._thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """Ask the task to stop; a pending call ends at its timeout."""
        self._stopped.set()
        self.feed.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            state = self.feed.wait_for_watch()
            if not state.closing:
                self._follow(state)

    def _follow(self, state: FeedState) -> None:
        if state.view is not None:
            self.log.adopt(state.view)
        began_ms = self.log.clock.now_ms()
        answer = self.log.wait(self.wait_ms)
        if isinstance(answer, Unchanged):
            self._pause_after(began_ms)
        match answer:
            case Unanswered(step=step, reason=reason):
                if self.feed.offer_failure(f'{step}: {reason}'):
                    self.component_log.write('Store does not answer.', reason=reason)
                self._back_off()
            case Unchanged():
                self._record_answer()
                self.feed.update(_without_failure)
            case ConfigurationView() as view:
                self._record_answer()
                self.feed.offer_view(view)

    def _pause_after(self, began_ms: float) -> None:
        """Pause if the store returned immediately, as it does for a missing key."""
        if self.log.clock.now_ms() - began_ms < WATCH_MIN_MS:
            self._stopped.wait(WATCH_MIN_MS / MS_PER_S)

    def _record_answer(self) -> None:
        self._backoff_ms = BACKOFF_FIRST_MS
        if self.feed.state.store_failure:
            self.component_log.write('Store answers again.')

    def _back_off(self) -> None:
        self._stopped.wait(self._random.uniform(0, self._backoff_ms) / MS_PER_S)
        self._backoff_ms = min(self._backoff_ms * 2, BACKOFF_MAX_MS)


def _without_failure(state: FeedState) -> FeedState:
    return state if state.view is None else with_view(state, state.view)
