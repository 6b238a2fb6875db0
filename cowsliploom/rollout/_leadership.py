"""How a daemon becomes the controller: by a lease, or by assignment."""

import math

from cowsliploom.ports import Unanswered
from cowsliploom.protocol import LeaseCall, LeaseResult
from cowsliploom.rollout._control_messages import CallLease, LeaseAnswered

LEASE_NAME = 'version-moves'
LEASE_TTL_MS = 8000
LEASE_USABLE_RATIO = 0.8  # of the lease's life; the rest allows for clock drift
RENEW_MS = 2000
CAMPAIGN_MS = 4000  # between attempts to become the controller


class LeaseLeadership:
    """Acquire and renew the controller's lease.

    Parameters
    ----------
    holder : str
        Name and incarnation of the daemon.
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.token = 0
        self._held_until_ms = -math.inf
        self._next_call_ms = -math.inf
        self._is_call_pending = False
        self._store_offset_ms: float = 0

    def is_held(self, now_ms: float) -> bool:
        """Return whether this daemon may act as the controller."""
        return self.token > 0 and now_ms < self._held_until_ms

    def store_ms(self, now_ms: float) -> float:
        """Return the store's time, estimated from its latest answer."""
        return now_ms + self._store_offset_ms

    def step_down(self) -> None:
        """Stop being the controller, as one with a later token has written."""
        self.token = 0
        self._held_until_ms = -math.inf

    def assign(self, *, is_assigned: bool) -> bool:
        """Return that no lease was acquired: an assignment doesn't grant one."""
        return False

    def next_call(self, now_ms: float) -> tuple[CallLease, ...]:
        """Return the lease call that is due, if any."""
        if self._is_call_pending or now_ms < self._next_call_ms:
            return ()
        self._is_call_pending = True
        call = LeaseCall(self.holder, LEASE_TTL_MS, self.token)
        return (CallLease(call, now_ms),)

    def handle_answer(self, answered: LeaseAnswered) -> bool:
        """Handle the store's answer; return whether the lease is newly held."""
        self._is_call_pending = False
        answer = answered.answer
        if isinstance(answer, Unanswered):
            self._next_call_ms = answered.now_ms + RENEW_MS
            return False
        if answer.holder != self.holder:
            self.step_down()
            self._next_call_ms = answered.now_ms + CAMPAIGN_MS
            return False
        return self._accept_grant(answered, answer)

    def _accept_grant(self, answered: LeaseAnswered, granted: LeaseResult) -> bool:
        is_new = granted.token != self.token
        self.token = granted.token
        life_ms = min(LEASE_TTL_MS, granted.expires_store_ms - granted.store_ms)
        self._held_until_ms = answered.sent_ms + life_ms * LEASE_USABLE_RATIO
        self._next_call_ms = answered.sent_ms + RENEW_MS
        self._store_offset_ms = granted.store_ms - answered.now_ms
        return is_new


class AssignedLeadership:
    """Be the controller while assigned by the membership, without a lease.

    Notes
    -----
    Two members may both be assigned while they can't reach each other. Each write
    names the version of the state that it follows, so only one of them takes effect,
    and the other member reads again. Times are by the member's own clock.
    """

    token = 0

    def __init__(self) -> None:
        self._is_assigned = False

    def is_held(self, now_ms: float) -> bool:
        """Return whether this daemon may act as the controller."""
        return self._is_assigned

    def store_ms(self, now_ms: float) -> float:
        """Return the time by the member's own clock."""
        return now_ms

    def step_down(self) -> None:
        """Do nothing: only leases have tokens."""

    def assign(self, *, is_assigned: bool) -> bool:
        """Set whether this daemon is assigned; return whether it newly is."""
        is_new = is_assigned and not self._is_assigned
        self._is_assigned = is_assigned
        return is_new

    def next_call(self, now_ms: float) -> tuple[CallLease, ...]:
        """Return no call, as there is no lease."""
        return ()

    def handle_answer(self, answered: LeaseAnswered) -> bool:
        """Return that no lease was acquired."""
        return False
