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
BACKOFF_MAX_MS = 2000.0  # watches go on within seconds of an outage's end

WATCH_MIN_MS = 200.0  # bounds the calls a second where watches don't wait


@dataclass(frozen=True, slots=True)
class ApplyAsked:
    """Ask for a change, to be answered by a deadline on the daemon's clock."""

    change: Change
    deadline_ms: float
    answer: 'Future[AppliedChange]'


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """Answer a change, with the configuration read after it when there is one."""

    outcome: Outcome
    view: ConfigurationView | None = None


@dataclass(frozen=True, slots=True)
class ReadAsked:
    """Ask for a configuration read no earlier than ``asked_ms``."""

    asked_ms: float
    answer: 'Future[ConfigurationView | Unanswered]'


class StoreWriter:
    """Apply changes one after the other; a task's act.

    Parameters
    ----------
    log : ConfigurationLog
        Owned by this task.
    feed : ConfigurationFeed
        Learns of each accepted change at once.
    part_log : ComponentLog
        Takes a line for each change.
    """

    def __init__(
        self, log: ConfigurationLog, feed: ConfigurationFeed, part_log: ComponentLog
    ) -> None:
        self.log = log
        self.feed = feed
        self.part_log = part_log

    def __call__(self, asked: ApplyAsked) -> None:
        """Apply one change and answer it."""
        if self.log.clock.now_ms() >= asked.deadline_ms:
            reason = 'the change waited too long behind others'
            outcome = NotAccepted('operator.queue', 'operator', reason, maybe=False)
            asked.answer.set_result(AppliedChange(outcome))
            return
        if self.feed.state.view is not None:
            self.log.adopt(self.feed.state.view)
        asked.answer.set_result(self._apply(asked))

    def _apply(self, asked: ApplyAsked) -> AppliedChange:
        outcome = self.log.apply(asked.change, asked.deadline_ms)
        if not isinstance(outcome, Accepted):
            kind = type(outcome).__name__
            self.part_log.write(
                'Change not accepted.', change_id=asked.change.change_id, outcome=kind
            )
            return AppliedChange(outcome)
        self.part_log.write(
            'Change accepted.',
            change_id=asked.change.change_id,
            revision=outcome.revision,
        )
        view = self.log.read()
        if isinstance(view, Unanswered):
            return AppliedChange(outcome)
        self.feed.offer_view(view)
        return AppliedChange(outcome, view)


class StoreReader:
    """Read the configuration for all who ask; a task's act.

    Parameters
    ----------
    log : ConfigurationLog
        Owned by this task.
    feed : ConfigurationFeed
        Learns of what is read.

    Notes
    -----
    A reading serves all who asked before it began, so that many readers at once
    cost the store little more than one.
    """

    def __init__(self, log: ConfigurationLog, feed: ConfigurationFeed) -> None:
        self.log = log
        self.feed = feed
        self._began_ms: float | None = None
        self._last: ConfigurationView | Unanswered | None = None

    def __call__(self, asked: ReadAsked) -> None:
        """Answer one reader."""
        began_ms = self._began_ms
        if self._last is None or began_ms is None or began_ms < asked.asked_ms:
            self._last = self._read()
        asked.answer.set_result(self._last)

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
    """Watch the store while a watch stream is open, and only then.

    Parameters
    ----------
    log : ConfigurationLog
        Owned by this task.
    feed : ConfigurationFeed
        Learns of what is read.
    part_log : ComponentLog
        Takes a line when the store stops answering, and when it answers again.
    wait_ms : float
        Longest wait of one call, in milliseconds.
    """

    def __init__(
        self,
        log: ConfigurationLog,
        feed: ConfigurationFeed,
        part_log: ComponentLog,
        wait_ms: float,
    ) -> None:
        self.log = log
        self.feed = feed
        self.part_log = part_log
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
        """Ask the task to end; a waiting call is left to its timeout."""
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
                    self.part_log.write('Store does not answer.', reason=reason)
                self._back_off()
            case Unchanged():
                self._note_answer()
                self.feed.update(_without_failure)
            case ConfigurationView() as view:
                self._note_answer()
                self.feed.offer_view(view)

    def _pause_after(self, began_ms: float) -> None:
        """Pause where the store doesn't wait, as for a key that it doesn't have."""
        if self.log.clock.now_ms() - began_ms < WATCH_MIN_MS:
            self._stopped.wait(WATCH_MIN_MS / MS_PER_S)

    def _note_answer(self) -> None:
        self._backoff_ms = BACKOFF_FIRST_MS
        if self.feed.state.store_failure:
            self.part_log.write('Store answers again.')

    def _back_off(self) -> None:
        self._stopped.wait(self._random.uniform(0, self._backoff_ms) / MS_PER_S)
        self._backoff_ms = min(self._backoff_ms * 2, BACKOFF_MAX_MS)


def _without_failure(state: FeedState) -> FeedState:
    return state if state.view is None else with_view(state, state.view)
