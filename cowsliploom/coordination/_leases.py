"""Holder of a lease in the platform's store, with timely detection of its loss."""

import random
from dataclasses import dataclass

from cowsliploom.coordination._settings import CLOCK_RATE_ERROR
from cowsliploom.protocol import LeaseCall, LeaseResult

RENEWALS_PER_TTL = 3  # two renewals may fail before the lease expires
BACKOFF_MIN_MS = 200  # a healthy store answers within milliseconds
CALLS_PER_TTL = 6  # bounds retries: they must not overload a returning store


@dataclass(frozen=True, slots=True)
class LeaseTicked:
    """Timer event, sent at least every 100 ms."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class LeaseWanted:
    """Set whether this daemon wants the lease; initially it doesn't."""

    now_ms: float
    wanted: bool


@dataclass(frozen=True, slots=True)
class LeaseAnswered:
    """Answer of the store to the call ``call_id``."""

    now_ms: float
    call_id: int
    answer: LeaseResult


@dataclass(frozen=True, slots=True)
class LeaseUnanswered:
    """The call ``call_id`` got no answer; it may have taken effect."""

    now_ms: float
    call_id: int


LeaseEvent = LeaseTicked | LeaseWanted | LeaseAnswered | LeaseUnanswered


@dataclass(frozen=True, slots=True)
class CallLease:
    """Command to call the store; the outcome carries the same ``call_id``."""

    call_id: int
    name: str
    call: LeaseCall
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is now held with this fencing token."""

    name: str
    token: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is no longer held with this fencing token."""

    name: str
    token: int


LeaseCommand = CallLease | LeaseAcquired | LeaseLost


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Settings of a lease and its holder.

    Parameters
    ----------
    name : str
        Name of the lease in the store.
    holder : str
        Identity and incarnation of this process; no two processes share one.
    ttl_ms : float
        Time to live, from the receipt of the call by the store. Default 6000.
    """

    name: str
    holder: str
    ttl_ms: float = 6000


@dataclass(frozen=True, slots=True)
class _Held:
    token: int
    until_ms: float


class LeaseHolder:
    """Acquire, renew and release one lease, sans-IO.

    Parameters
    ----------
    settings : LeaseSettings
        Name, holder and time to live of the lease.
    seed : int
        Seed of the jitter of retries.

    Notes
    -----
    The holder measures the time to live with its own boot-time monotonic clock, from
    before the request was sent and less 1%, so it stops before the store grants the
    lease to another holder, whatever messages are lost or delayed. After a pause of
    the process, the first call of ``holds`` finds the lease expired. Writes that the
    store has to reject from a former holder carry ``token``.

    Only few daemons should want the same lease, such as those that rank highest by
    ``rank_names``: each of them calls the store about once per time to live.

    Examples
    --------
    >>> holder = LeaseHolder(LeaseSettings('controller', 'vm-1/7', 6000), seed=1)
    >>> [call] = holder.step(LeaseWanted(now_ms=0, wanted=True))
    >>> granted = LeaseResult('controller', 'vm-1/7', 3, 6000, 0)
    >>> holder.step(LeaseAnswered(20, call.call_id, granted))
    [LeaseAcquired(name='controller', token=3)]
    >>> holder.holds(now_ms=5939), holder.holds(now_ms=5940)
    (True, False)
    """

    def __init__(self, settings: LeaseSettings, seed: int) -> None:
        self.settings = settings
        self.seed = seed
        self._random = random.Random(seed)
        self._is_wanted = False
        self._held: _Held | None = None
        self._call_id = 0
        self._sent_ms: float | None = None
        self._next_call_ms: float = 0
        self._failures = 0

    @property
    def token(self) -> int:
        """Return the fencing token of the lease; 0 without a lease."""
        return 0 if self._held is None else self._held.token

    def holds(self, now_ms: float) -> bool:
        """Return whether the lease is held; to be checked before each action.

        Parameters
        ----------
        now_ms : float
            Boot-time monotonic clock of this daemon, read for this check.
        """
        return self._held is not None and now_ms < self._held.until_ms

    def step(self, event: LeaseEvent) -> list[LeaseCommand]:
        """Process an event and return the commands to execute, in order."""
        commands = self._drop_expired(event.now_ms)
        match event:
            case LeaseWanted(now_ms, wanted):
                commands.extend(self._set_wanted(now_ms, wanted=wanted))
            case LeaseAnswered(_, call_id, answer):
                if call_id == self._call_id:
                    commands.extend(self._handle_answer(event.now_ms, answer))
            case LeaseUnanswered(now_ms, call_id):
                if call_id == self._call_id:
                    self._back_off(now_ms)
            case LeaseTicked():
                pass  # noqa: WPS420 - a due call is made below
        commands.extend(self._call_when_due(event.now_ms))
        return commands

    def _set_wanted(self, now_ms: float, *, wanted: bool) -> list[LeaseCommand]:
        self._is_wanted = wanted
        self._next_call_ms = now_ms
        if wanted or self._held is None:
            return []
        token = self.token
        return [self._lose(), self._new_call(now_ms, release_token=token)]

    def _handle_answer(self, now_ms: float, answer: LeaseResult) -> list[LeaseCommand]:
        sent_ms = now_ms if self._sent_ms is None else self._sent_ms
        self._sent_ms = None
        self._failures = 0
        left_ms = min(answer.expires_store_ms - answer.store_ms, self.settings.ttl_ms)
        if not self._is_wanted:
            return []
        if answer.holder != self.settings.holder:
            wait_ms = max(left_ms, BACKOFF_MIN_MS)
            self._next_call_ms = now_ms + wait_ms + self._jitter(BACKOFF_MIN_MS)
            return [] if self._held is None else [self._lose()]
        self._next_call_ms = sent_ms + self.settings.ttl_ms / RENEWALS_PER_TTL
        until_ms = sent_ms + left_ms * (1 - CLOCK_RATE_ERROR)
        return self._hold(now_ms, _Held(answer.token, until_ms))

    def _hold(self, now_ms: float, held: _Held) -> list[LeaseCommand]:
        commands: list[LeaseCommand] = []
        if self._held is not None and self._held.token != held.token:
            commands.append(self._lose())
        if now_ms >= held.until_ms:
            return commands
        if self._held is None:
            commands.append(LeaseAcquired(self.settings.name, held.token))
        self._held = held
        return commands

    def _drop_expired(self, now_ms: float) -> list[LeaseCommand]:
        if self._held is None or now_ms < self._held.until_ms:
            return []
        return [self._lose()]

    def _lose(self) -> LeaseLost:
        lost = LeaseLost(self.settings.name, self.token)
        self._held = None
        return lost

    def _call_when_due(self, now_ms: float) -> list[LeaseCommand]:
        if not self._is_wanted or now_ms < self._next_call_ms:
            return []
        if self._sent_ms is not None and now_ms < self._sent_ms + self._timeout_ms():
            return []
        return [self._new_call(now_ms)]

    def _new_call(self, now_ms: float, release_token: int = 0) -> CallLease:
        is_release = release_token > 0
        self._call_id += 1
        self._sent_ms = None if is_release else now_ms
        self._next_call_ms = now_ms + self._timeout_ms()
        call = LeaseCall(
            self.settings.holder,
            self.settings.ttl_ms,
            self.token or release_token,
            is_release,
        )
        return CallLease(self._call_id, self.settings.name, call, self._timeout_ms())

    def _back_off(self, now_ms: float) -> None:
        """Back off exponentially with full jitter, up to the call timeout."""
        self._sent_ms = None
        bound_ms = min(BACKOFF_MIN_MS * 2**self._failures, self._timeout_ms())
        self._failures += 1
        self._next_call_ms = now_ms + self._jitter(bound_ms)

    def _timeout_ms(self) -> float:
        return self.settings.ttl_ms / CALLS_PER_TTL

    def _jitter(self, bound_ms: float) -> float:
        return self._random.uniform(0, bound_ms)
