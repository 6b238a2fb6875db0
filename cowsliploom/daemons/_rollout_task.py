"""Task that runs a daemon's part of version moves and calls the store for it."""

import queue
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from types import TracebackType

from cowsliploom.adapters import ComponentLog
from cowsliploom.daemons._declared_moves import declared_moves
from cowsliploom.daemons._store_calls import call_store
from cowsliploom.ports import Clock, Store
from cowsliploom.resources import Configuration
from cowsliploom.rollout import (
    AnnounceFact,
    CallLease,
    CandidateChanged,
    LeaseAnswered,
    MoveState,
    ReadState,
    RecordSample,
    Rollout,
    SharesChanged,
    StateRead,
    StateSwapped,
    SwapState,
    Veto,
)
from cowsliploom.rollout._control_messages import ControllerEvent
from cowsliploom.rollout._leadership import LEASE_NAME
from cowsliploom.rollout._rollout import RolloutCommand

MS_PER_S = 1000
TICK_MS = 100  # a veto is raised at the next tick
STORE_TIMEOUT_MS = 1000  # calls are few, and a slow store is not urgent
INBOX_MAX = 50_000  # samples beyond this are dropped and counted


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What this daemon knows about the version moves.

    Parameters
    ----------
    states : mapping of str to MoveState
        Latest known state of each move, by name.
    vetoes : tuple of Veto
        Vetoes raised here or received.
    is_controller : bool
        Whether this daemon currently changes the traffic shares.
    """

    states: Mapping[str, MoveState]
    vetoes: tuple[Veto, ...]
    is_controller: bool


@dataclass(frozen=True, slots=True)
class _ConfigurationChanged:
    configuration: Configuration
    entries: int


@dataclass(frozen=True, slots=True)
class _FactReceived:
    key: str
    generation: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class _Stop:
    """Stop the task."""


_Input = RecordSample | _ConfigurationChanged | _FactReceived | ControllerEvent
_Message = _Input | _Stop


class RolloutTask:
    """Judge new versions and change their shares, on its own thread.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Clock of this daemon.
    daemon, incarnation : str
        Name of this daemon, and a text that is unique to each of its starts.
    shares_changed : callable
        Called on the task's thread with each ``SharesChanged``.
    announce_fact : callable
        Called on the task's thread with key, generation and blob of a fact to
        gossip to all daemons.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        daemon: str,
        incarnation: str,
        shares_changed: Callable[[SharesChanged], None],
        announce_fact: Callable[[str, int, bytes], None],
    ) -> None:
        self.store = store
        self.clock = clock
        self.shares_changed = shares_changed
        self.announce_fact = announce_fact
        self._rollout = Rollout(daemon, incarnation)
        self._view = RolloutView({}, (), is_controller=False)
        self._inbox: queue.SimpleQueue[_Message] = queue.SimpleQueue()
        self._moved_services: frozenset[str] = frozenset()
        self._log = ComponentLog('rollout')
        self._calls: Counter[str] = Counter()
        self._ticked_ms = float('-inf')
        self._thread = threading.Thread(target=self._run, name='rollout', daemon=True)
        self._worker = ThreadPoolExecutor(1, 'rollout-store')

    def __enter__(self) -> 'RolloutTask':
        """Start the thread."""
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop; another daemon takes over the moves when the lease expires."""
        self._inbox.put(_Stop())
        self._thread.join()
        self._worker.shutdown(wait=True, cancel_futures=True)

    def add_sample(self, sample: RecordSample) -> None:
        """Add a finished call as evidence; ignore services without a version move."""
        if sample.service not in self._moved_services:
            return
        if self._inbox.qsize() < INBOX_MAX:
            self._inbox.put(sample)
        else:
            self._calls['dropped_sample'] += 1

    def apply_configuration(self, configuration: Configuration, entries: int) -> None:
        """Apply a configuration and the number of live entry VMs."""
        self._inbox.put(_ConfigurationChanged(configuration, entries))

    def set_candidate(self, *, is_candidate: bool) -> None:
        """Set whether this daemon is among the few that may become controller."""
        self._inbox.put(CandidateChanged(self.clock.now_ms(), is_candidate))

    def handle_fact(self, key: str, generation: int, blob: bytes) -> None:
        """Handle a fact received from another daemon."""
        self._inbox.put(_FactReceived(key, generation, blob))

    def view(self) -> RolloutView:
        """Return what is known about the moves, as of the latest tick."""
        return self._view

    def counts(self) -> Mapping[str, int]:
        """Return the number of store calls by kind, and of samples dropped."""
        return dict(self._calls)

    def _run(self) -> None:
        while True:
            message = self._next_message()
            if isinstance(message, _Stop):
                break
            try:
                self._handle(message)
            except Exception as error:
                self._log.write('Handling a message failed.', error=repr(error))

    def _handle(self, message: _Input | None) -> None:
        if message is not None:
            self._perform(self._apply(message))
        self._tick_when_due()

    def _next_message(self) -> _Message | None:
        try:
            return self._inbox.get(timeout=TICK_MS / MS_PER_S)
        except queue.Empty:
            return None

    def _apply(self, message: _Input) -> tuple[RolloutCommand, ...]:
        now_ms = self.clock.now_ms()
        match message:
            case RecordSample():
                self._rollout.sample(message)
                return ()
            case _ConfigurationChanged(configuration, entries):
                moves = declared_moves(configuration)
                commands = self._rollout.declare(now_ms, moves, entries)
                self._moved_services = self._rollout.moved_services()
                return commands
            case _FactReceived(key, generation, blob):
                return self._rollout.handle_fact(now_ms, key, generation, blob)
            case _:
                return self._rollout.step_controller(message)

    def _tick_when_due(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms < self._ticked_ms + TICK_MS:
            return
        self._ticked_ms = now_ms
        self._perform(self._rollout.tick(now_ms, self.clock.wall_ms()))
        self._view = RolloutView(
            states=self._rollout.states(),
            vetoes=self._rollout.vetoes(),
            is_controller=self._rollout.is_controller(now_ms),
        )

    def _perform(self, commands: tuple[RolloutCommand, ...]) -> None:
        for command in commands:
            match command:
                case SharesChanged():
                    self.shares_changed(command)
                case AnnounceFact(key, generation, blob):
                    self.announce_fact(key, generation, blob)
                case CallLease():
                    self._worker.submit(self._lease, command)
                case ReadState():
                    self._worker.submit(self._read, command)
                case SwapState():
                    self._worker.submit(self._swap, command)

    def _lease(self, command: CallLease) -> None:
        self._calls['lease'] += 1
        sent_ms = self.clock.now_ms()
        answer = call_store(
            'rollout.lease',
            lambda: self.store.lease(LEASE_NAME, command.call, STORE_TIMEOUT_MS),
        )
        self._inbox.put(LeaseAnswered(self.clock.now_ms(), sent_ms, answer))

    def _read(self, command: ReadState) -> None:
        self._calls['read'] += 1
        key = f'moves/{command.move}'
        answer = call_store(
            'rollout.read', lambda: self.store.read(key, STORE_TIMEOUT_MS)
        )
        self._inbox.put(StateRead(self.clock.now_ms(), command.move, answer))

    def _swap(self, command: SwapState) -> None:
        self._calls['swap'] += 1
        key = f'moves/{command.move}'
        answer = call_store(
            'rollout.swap',
            lambda: self.store.swap(
                key, command.text, command.expected_version, STORE_TIMEOUT_MS
            ),
        )
        self._inbox.put(StateSwapped(self.clock.now_ms(), command.move, answer))
