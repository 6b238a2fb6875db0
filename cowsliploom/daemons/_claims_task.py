"""Task that owns the claim registry and calls the platform's store for it."""

import queue
import secrets
import threading
from collections import Counter
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from types import TracebackType

from cowsliploom.adapters import ComponentLog
from cowsliploom.coordination import (
    ClaimRegistry,
    ClaimRequested,
    ClaimTick,
    Decided,
    Granted,
    ReadSegment,
    RequestFinished,
    RequestNotRun,
    SegmentRead,
    SegmentSwapped,
    StoreUnavailable,
    SwapSegment,
    digest_key,
    segment_key,
)
from cowsliploom.coordination._claims import ClaimCommand, ClaimEvent, Decision
from cowsliploom.daemons._store_calls import call_store
from cowsliploom.ports import Clock, Store

MS_PER_S = 1000
TICK_MS = 20  # longest delay from a deadline to the refusal of its claim
STORE_TIMEOUT_MS = 500  # a healthy store answers within milliseconds
STORE_WORKERS = 4  # segments are independent, so a slow call delays few others
DRAIN_TIMEOUT_MS = 2000  # time to write outcomes to the store at shutdown
NONCE_BYTES = 6  # distinguishes processes with equal name and incarnation


class ClaimsTask:
    """Claim idempotency keys in the platform's store, on its own thread.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Clock whose monotonic time the deadlines refer to.
    owner : str
        Name and incarnation of this daemon.

    Examples
    --------
    ::

        with ClaimsTask(store, clock, 'entry-1#1') as claims:
            decision = claims.claim(caller, key, digest, deadline_ms).result()
            match decision:
                case Granted() if decision.may_send(clock.now_ms()):
                    claims.record_outcome(decision, send_once())
    """

    def __init__(self, store: Store, clock: Clock, owner: str) -> None:
        self.store = store
        self.clock = clock
        self.owner = owner
        self._inbox: queue.SimpleQueue[ClaimEvent | None] = queue.SimpleQueue()
        self._log = ComponentLog('claims')
        self._futures: dict[int, Future[Decision]] = {}
        self._tickets = 0
        self._ticket_lock = threading.Lock()
        self._ticked_ms = float('-inf')
        self._stopped = threading.Event()
        self._calls: Counter[str] = Counter()
        self._thread = threading.Thread(target=self._run, name='claims', daemon=True)
        self._workers = ThreadPoolExecutor(STORE_WORKERS, 'claims-store')

    def __enter__(self) -> 'ClaimsTask':
        """Start the thread."""
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Write pending outcomes, for a bounded time, and stop."""
        self._inbox.put(None)
        self._thread.join()
        self._workers.shutdown(wait=True)

    def claim(
        self, caller: str, key: str, request_digest: str, deadline_ms: float
    ) -> Future[Decision]:
        """Ask for a claim on a caller's idempotency key.

        Parameters
        ----------
        caller, key : str
            Caller and its idempotency key.
        request_digest : str
            Digest of body and target, see ``digest_request``.
        deadline_ms : float
            Monotonic time after which the request must not be sent.

        Returns
        -------
        Future of Granted, Replay, InFlight, Mismatch or StoreUnavailable
            Done by the deadline, even while the store is unavailable.
        """
        now_ms = self.clock.now_ms()
        future: Future[Decision] = Future()
        with self._ticket_lock:
            self._tickets += 1
            ticket = self._tickets
            self._futures[ticket] = future
        digest = digest_key(caller, key)
        self._inbox.put(
            ClaimRequested(now_ms, ticket, digest, request_digest, deadline_ms)
        )
        if self._stopped.is_set():
            self._fail_pending('the claims task has stopped')
        return future

    def record_outcome(self, granted: Granted, outcome: str) -> None:
        """Record the outcome of a granted request, without waiting for the store."""
        self._inbox.put(RequestFinished(self.clock.now_ms(), granted, outcome))

    def record_not_run(self, granted: Granted) -> None:
        """Record that a granted request has not run and will never be sent."""
        self._inbox.put(RequestNotRun(self.clock.now_ms(), granted))

    def store_calls(self) -> Mapping[str, int]:
        """Return the number of store calls so far, by kind."""
        return dict(self._calls)

    def _run(self) -> None:
        registry = ClaimRegistry(f'{self.owner}#{secrets.token_hex(NONCE_BYTES)}')
        while self._handle(registry, self._next_event(idle=not registry)):
            self._tick_when_due(registry)
        stop_by_ms = self.clock.now_ms() + DRAIN_TIMEOUT_MS
        while registry and self.clock.now_ms() < stop_by_ms:
            self._handle(registry, self._next_event(idle=False))
            self._tick_when_due(registry)
        self._stopped.set()
        self._fail_pending('the claims task is stopping')

    def _handle(self, registry: ClaimRegistry, event: ClaimEvent | None) -> bool:
        if event is None:
            return False
        try:
            self._step(registry, event)
        except Exception as error:
            self._log.write('Handling an event failed.', error=repr(error))
        return True

    def _step(self, registry: ClaimRegistry, event: ClaimEvent) -> None:
        for command in registry.step(event):
            self._perform(command)

    def _tick_when_due(self, registry: ClaimRegistry) -> None:
        now_ms = self.clock.now_ms()
        if now_ms >= self._ticked_ms + TICK_MS:
            self._ticked_ms = now_ms
            self._handle(registry, ClaimTick(now_ms))

    def _next_event(self, *, idle: bool) -> ClaimEvent | None:
        timeout_s = None if idle else TICK_MS / MS_PER_S
        try:
            return self._inbox.get(timeout=timeout_s)
        except queue.Empty:
            return ClaimTick(self.clock.now_ms())

    def _perform(self, command: ClaimCommand) -> None:
        match command:
            case ReadSegment():
                self._workers.submit(self._read, command)
            case SwapSegment():
                self._workers.submit(self._swap, command)
            case Decided(ticket, decision):
                self._answer(ticket, decision)

    def _answer(self, ticket: int, decision: Decision) -> None:
        future = self._futures.pop(ticket)
        if future.set_running_or_notify_cancel():
            future.set_result(decision)
        elif isinstance(decision, Granted):
            self.record_not_run(decision)

    def _read(self, command: ReadSegment) -> None:
        self._calls['read'] += 1
        key = segment_key(command.segment)
        answer = call_store(
            'claim.read', lambda: self.store.read(key, STORE_TIMEOUT_MS)
        )
        self._inbox.put(SegmentRead(self.clock.now_ms(), command.segment, answer))

    def _swap(self, command: SwapSegment) -> None:
        self._calls['swap'] += 1
        key = segment_key(command.segment)
        answer = call_store(
            'claim.swap',
            lambda: self.store.swap(
                key, command.text, command.expected_version, STORE_TIMEOUT_MS
            ),
        )
        self._inbox.put(SegmentSwapped(self.clock.now_ms(), command.segment, answer))

    def _fail_pending(self, reason: str) -> None:
        for ticket in tuple(self._futures):
            future = self._futures.pop(ticket, None)
            if future is not None and future.set_running_or_notify_cancel():
                future.set_result(StoreUnavailable('claim.stop', reason, 0))
