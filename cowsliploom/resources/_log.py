"""The configuration in the store, as its readers and writers use it."""

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
    assemble,
    decode_stored_head,
    fetch_chunks,
    read_view,
)

BACKOFF_FIRST_MS = 20.0  # a few times the store's usual answer
BACKOFF_MAX_MS = 1000.0  # an outage over is noticed within a second
COLLECTED = ''  # what stands in a collected chunk, as the store has no delete


@dataclass(frozen=True, slots=True)
class _Again:
    """Go round once more, knowing what the last round left open.

    Parameters
    ----------
    failure : Unanswered or None
        Call that stopped the round, if one did.
    base : StoredHead or None
        Head that the last writes build on.
    written : tuple of str
        Chunks that may have been written for that head's successor.
    maybe : bool
        A swap of that head got no answer and may still take effect.
    """

    failure: Unanswered | None = None
    base: StoredHead | None = None
    written: tuple[str, ...] = ()
    maybe: bool = False


class ConfigurationLog:
    """Read, watch and change the configuration in the platform's store.

    One task owns a log. It remembers the chunks that it has read, so that a change
    elsewhere costs one read of the head and one of each changed chunk.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Clock for time limits.
    pause : callable
        Waits the given milliseconds between attempts.
    chooser : random.Random
        Source of jitter.
    call_timeout_ms : float
        Time limit of one call on the store, in milliseconds.

    Notes
    -----
    A change is answered as accepted only when the store has said so, or when the
    head read back holds the change's id. A swap that got no answer may still take
    effect while the head stays at the version that it builds on; so the same swap
    is tried again until the head has moved on, which settles it either way.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        pause: Callable[[float], None],
        chooser: random.Random,
        call_timeout_ms: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.pause = pause
        self.chooser = chooser
        self.call_timeout_ms = call_timeout_ms
        self.view = ConfigurationView()

    def adopt(self, view: ConfigurationView) -> None:
        """Take a view that another log of this process has read, if it is newer."""
        if view.configuration.revision > self.view.configuration.revision:
            self.view = view

    def read(self) -> ConfigurationView | Unanswered:
        """Read the configuration in force.

        Returns
        -------
        ConfigurationView or Unanswered
            The view, also kept in ``view``; a lower revision than one already
            seen counts as no answer.
        """
        return self._keep(read_view(self.store, self.view.chunks, self.call_timeout_ms))

    def wait(self, wait_ms: float) -> ConfigurationView | Unchanged | Unanswered:
        """Wait for a configuration newer than ``view``.

        Parameters
        ----------
        wait_ms : float
            Longest wait, in milliseconds.

        Returns
        -------
        ConfigurationView, Unchanged or Unanswered
            The newer view, also kept in ``view``.
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
            return self._keep(assemble(stored, chunks))
        return self.read()

    def apply(self, change: Change, deadline_ms: float) -> Outcome:
        """Apply a change whole, once, or say truly that it is not known to be.

        Parameters
        ----------
        change : Change
            What to put and delete.
        deadline_ms : float
            Time by the clock after which no further attempt starts.

        Returns
        -------
        Accepted, Raced, Missing, Invalid or NotAccepted
            ``Accepted`` only for a change that is in the store.
        """
        again = _Again()
        round_number = 0
        while self.clock.now_ms() < deadline_ms:
            if round_number > 0:
                self._back_off(round_number, deadline_ms)
            round_number += 1
            outcome = self._try(change, again)
            if not isinstance(outcome, _Again):
                return outcome
            again = outcome
        return _give_up(again)

    def _back_off(self, round_number: int, deadline_ms: float) -> None:
        bound = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2**round_number)
        left = deadline_ms - self.clock.now_ms()
        self.pause(min(self.chooser.uniform(0, bound), max(0, left)))

    def _try(self, change: Change, before: _Again) -> Outcome | _Again:
        view = self.read()
        if isinstance(view, Unanswered):
            return replace(before, failure=view)
        plan = plan_change(change, view)
        if isinstance(plan, Accepted):
            return plan
        if before.base is not None and before.base.version != view.stored.version:
            if before.maybe and _forgotten(before.base, view):
                reason = 'too many changes since to tell whether it took effect'
                return NotAccepted('config.apply', HEAD_KEY, reason, maybe=True)
            self._collect_lost(before.written, view)
            before = _Again()
        match plan:
            case Plan():
                return self._write(plan, view.stored, before.maybe)
            case Raced() | Missing() | Invalid():
                return plan

    def _write(self, plan: Plan, base: StoredHead, maybe: bool) -> Outcome | _Again:
        written = tuple(chunk.digest for chunk in plan.chunks)
        again = _Again(None, base, written, maybe)
        failure = self._write_chunks(plan.chunks)
        if failure is not None:
            return replace(again, failure=failure)
        text = encode_head(plan.head)
        answer = self.store.swap(HEAD_KEY, text, base.version, self.call_timeout_ms)
        match answer:
            case Swapped():
                due = due_chunks(base.head, base.store_ms)
                self._collect(tuple(chunk.digest for chunk in due))
                return Accepted(plan.head.revision)
            case Conflict():
                return again
            case Unanswered(maybe_applied=unsure):
                return replace(again, failure=answer, maybe=maybe or unsure)

    def _write_chunks(self, chunks: tuple[EncodedChunk, ...]) -> Unanswered | None:
        """Write chunks; a key is its chunk's own, so a conflict means it is there."""
        for chunk in chunks:
            answer = self.store.swap(
                chunk_key(chunk.digest), chunk.text, 0, self.call_timeout_ms
            )
            if isinstance(answer, Unanswered):
                return answer
        return None

    def _collect_lost(self, written: tuple[str, ...], view: ConfigurationView) -> None:
        """Collect chunks whose head has lost its race, so that none will use them."""
        in_force = view.chunks.keys()
        self._collect(tuple(digest for digest in written if digest not in in_force))

    def _collect(self, digests: tuple[str, ...]) -> None:
        """Empty chunks that no head refers to; what fails stays, and harms none."""
        for digest in digests:
            key = chunk_key(digest)
            found = self.store.read(key, self.call_timeout_ms)
            if isinstance(found, (Absent, Unanswered)) or found.value == COLLECTED:
                continue
            self.store.swap(key, COLLECTED, found.version, self.call_timeout_ms)

    def _keep(
        self, view: ConfigurationView | Unanswered
    ) -> ConfigurationView | Unanswered:
        if isinstance(view, Unanswered):
            return view
        seen = self.view.configuration.revision
        revision = view.configuration.revision
        if revision < seen:
            reason = f'revision {revision} came after revision {seen}'
            return Unanswered(
                'config.read', HEAD_KEY, maybe_applied=False, reason=reason
            )
        self.view = view
        return view


def _give_up(again: _Again) -> NotAccepted:
    failure = again.failure
    if failure is None:
        reason = 'no time was left between races with other changes'
        return NotAccepted('config.apply', HEAD_KEY, reason, again.maybe)
    return NotAccepted(failure.step, failure.peer, failure.reason, again.maybe)


def _forgotten(base: StoredHead, view: ConfigurationView) -> bool:
    """Tell whether the head may have dropped the record of a change on a base."""
    passed = view.stored.head.revision - base.head.revision
    return passed > CHANGES_KEPT
