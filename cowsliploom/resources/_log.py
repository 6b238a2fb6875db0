"""Reads, watches and transactional changes of the configuration in the store."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from cowsliploom.ports import (
    Absent,
    Clock,
    Conflict,
    Store,
    Swapped,
    Unanswered,
    Unchanged,
)
from cowsliploom.protocol import StoredValue
from cowsliploom.resources._changes import (
    Accepted,
    Change,
    Invalid,
    Missing,
    NotAccepted,
    Outcome,
    Plan,
    Raced,
    plan_change,
)
from cowsliploom.resources._layout import (
    CHANGES_KEPT,
    HEAD_KEY,
    EncodedChunk,
    chunk_key,
    due_chunks,
    encode_head,
)
from cowsliploom.resources._reading import (
    ConfigurationView,
    StoredHead,
    build_view,
    decode_stored_head,
    fetch_chunks,
    read_view,
)

BACKOFF_FIRST_MS = 20.0  # a few times the store's typical response time
BACKOFF_MAX_MS = 1000.0  # detects the end of an outage within a second
COLLECTED_TEXT = ''  # value of a collected chunk; the store has no delete


@dataclass(frozen=True, slots=True)
class _Retry:
    """State that an unsuccessful attempt hands to the next one.

    Parameters
    ----------
    failure : Unanswered or None
        Store call that ended the attempt, if any.
    base : StoredHead or None
        Head on which the attempt's writes are based.
    written : tuple of str
        Digests of chunks that may have been written for the successor of ``base``.
    maybe : bool
        A swap of ``base`` got no response and may still take effect.
    """

    failure: Unanswered | None = None
    base: StoredHead | None = None
    written: tuple[str, ...] = ()
    maybe: bool = False


class ConfigurationLog:
    """Read, watch and change the configuration in the platform's store.

    A log is owned by one task. It caches the chunks that it has read, so a change by
    another writer costs one read of the head and one of each changed chunk.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Clock for deadlines.
    pause : callable
        Sleeps for the given time between attempts, in milliseconds.
    rng : random.Random
        Random generator for back-off jitter.
    call_timeout_ms : float
        Timeout of one store call, in milliseconds.

    Notes
    -----
    A change is reported as accepted only when the store confirmed the swap of the
    head, or when the head read back contains the change id. A swap without response
    may still take effect while the head stays at its base version, so the swap is
    retried until the head has a newer version, which decides the outcome.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        pause: Callable[[float], None],
        rng: random.Random,
        call_timeout_ms: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.pause = pause
        self.rng = rng
        self.call_timeout_ms = call_timeout_ms
        self.view = ConfigurationView()

    def adopt(self, view: ConfigurationView) -> None:
        """Replace the cached view by one from another log of this process, if newer."""
        if view.configuration.revision > self.view.configuration.revision:
            self.view = view

    def read(self) -> ConfigurationView | Unanswered:
        """Read the current configuration.

        Returns
        -------
        ConfigurationView or Unanswered
            The view, also stored in ``view``. A revision lower than one already
            read is reported as ``Unanswered``.
        """
        return self._accept_view(
            read_view(self.store, self.view.chunks, self.call_timeout_ms)
        )

    def wait(self, wait_ms: float) -> ConfigurationView | Unchanged | Unanswered:
        """Block until a configuration newer than ``view`` is in the store.

        Parameters
        ----------
        wait_ms : float
            Timeout, in milliseconds.

        Returns
        -------
        ConfigurationView, Unchanged or Unanswered
            The newer view, also stored in ``view``.
        """
        found = self.store.watch(HEAD_KEY, self.view.stored.version, wait_ms)
        if not isinstance(found, StoredValue):
            return found
        stored = decode_stored_head(found)
        if isinstance(stored, Unanswered):
            return stored
        chunks = fetch_chunks(
            self.store, stored.head, self.view.chunks, self.call_timeout_ms
        )
        if isinstance(chunks, dict):
            return self._accept_view(build_view(stored, chunks))
        return self.read()

    def apply(self, change: Change, deadline_ms: float) -> Outcome:
        """Apply a change atomically and at most once, with retries.

        Parameters
        ----------
        change : Change
            Resources to put and delete.
        deadline_ms : float
            Clock reading after which no further attempt starts, in milliseconds.

        Returns
        -------
        Accepted, Raced, Missing, Invalid or NotAccepted
            ``Accepted`` only for a change that is in the store; ``NotAccepted`` with
            ``maybe`` set if the outcome is unknown.
        """
        retry = _Retry()
        attempt_number = 0
        while self.clock.now_ms() < deadline_ms:
            if attempt_number > 0:
                self._back_off(attempt_number, deadline_ms)
            attempt_number += 1
            outcome = self._attempt(change, retry)
            if not isinstance(outcome, _Retry):
                return outcome
            retry = outcome
        return _not_accepted(retry)

    def _back_off(self, attempt_number: int, deadline_ms: float) -> None:
        bound = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2**attempt_number)
        left = deadline_ms - self.clock.now_ms()
        self.pause(min(self.rng.uniform(0, bound), max(0, left)))

    def _attempt(self, change: Change, previous: _Retry) -> Outcome | _Retry:
        view = self.read()
        if isinstance(view, Unanswered):
            return replace(previous, failure=view)
        plan = plan_change(change, view)
        if isinstance(plan, Accepted):
            return plan
        if previous.base is not None and previous.base.version != view.stored.version:
            if previous.maybe and _may_lack_record(previous.base, view):
                reason = 'outcome unknown: the head may have dropped the change record'
                return NotAccepted('config.apply', HEAD_KEY, reason, maybe=True)
            self._collect_orphans(previous.written, view)
            previous = _Retry()
        match plan:
            case Plan():
                return self._write(plan, view.stored, previous.maybe)
            case Raced() | Missing() | Invalid():
                return plan

    def _write(self, plan: Plan, base: StoredHead, maybe: bool) -> Outcome | _Retry:
        written = tuple(chunk.digest for chunk in plan.chunks)
        retry = _Retry(None, base, written, maybe)
        failure = self._write_chunks(plan.chunks)
        if failure is not None:
            return replace(retry, failure=failure)
        text = encode_head(plan.head)
        answer = self.store.swap(HEAD_KEY, text, base.version, self.call_timeout_ms)
        match answer:
            case Swapped():
                due = due_chunks(base.head, base.store_ms)
                self._collect(tuple(chunk.digest for chunk in due))
                return Accepted(plan.head.revision)
            case Conflict():
                return retry
            case Unanswered(maybe_applied=unsure):
                return replace(retry, failure=answer, maybe=maybe or unsure)

    def _write_chunks(self, chunks: tuple[EncodedChunk, ...]) -> Unanswered | None:
        """Write chunks; keys are unique, so a conflict means already written."""
        for chunk in chunks:
            answer = self.store.swap(
                chunk_key(chunk.digest), chunk.text, 0, self.call_timeout_ms
            )
            if isinstance(answer, Unanswered):
                return answer
        return None

    def _collect_orphans(
        self, written: tuple[str, ...], view: ConfigurationView
    ) -> None:
        """Collect chunks written for a head that lost its swap to another writer."""
        in_force = view.chunks.keys()
        self._collect(tuple(digest for digest in written if digest not in in_force))

    def _collect(self, digests: tuple[str, ...]) -> None:
        """Empty unreferenced chunks; a chunk left by a failure is harmless."""
        for digest in digests:
            key = chunk_key(digest)
            found = self.store.read(key, self.call_timeout_ms)
            if isinstance(found, (Absent, Unanswered)) or found.value == COLLECTED_TEXT:
                continue
            self.store.swap(key, COLLECTED_TEXT, found.version, self.call_timeout_ms)

    def _accept_view(
        self, view: ConfigurationView | Unanswered
    ) -> ConfigurationView | Unanswered:
        if isinstance(view, Unanswered):
            return view
        last_revision = self.view.configuration.revision
        revision = view.configuration.revision
        if revision < last_revision:
            reason = f'revision decreased from {last_revision} to {revision}'
            return Unanswered(
                'config.read', HEAD_KEY, maybe_applied=False, reason=reason
            )
        self.view = view
        return view


def _not_accepted(retry: _Retry) -> NotAccepted:
    failure = retry.failure
    if failure is None:
        reason = 'deadline reached after conflicts with concurrent changes'
        return NotAccepted('config.apply', HEAD_KEY, reason, retry.maybe)
    return NotAccepted(failure.step, failure.peer, failure.reason, retry.maybe)


def _may_lack_record(base: StoredHead, view: ConfigurationView) -> bool:
    """Return whether the head may have dropped the record of a change on ``base``."""
    newer_revisions = view.stored.head.revision - base.head.revision
    return newer_revisions > CHANGES_KEPT
