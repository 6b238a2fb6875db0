"""Who may act as the controller: by a lease, or by appointment."""

import math

from cowsliploom.ports import Unanswered
from cowsliploom.protocol import LeaseCall, LeaseResult
from cowsliploom.rollout._control_messages import CallLease, LeaseAnswered

LEASE_NAME = 'version-moves'
LEASE_TTL_MS = 8000
LEASE_USABLE = 0.8  # of the life; the rest covers clocks that run apart
RENEW_MS = 2000
CAMPAIGN_MS = 4000  # between tries to become the controller


class Leadership:
    """Hold the controller's lease, or try to get it.

    Parameters
    ----------
    holder : str
        Name and incarnation of the daemon.
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.token = 0
        self._until_ms = -math.inf
        self._next_call_ms = -math.inf
        self._is_open = False
        self._store_lead_ms: float = 0

    def is_held(self, now_ms: float) -> bool:
        """Tell whether this daemon may act as the controller."""
        return self.token > 0 and now_ms < self._until_ms

    def store_ms(self, now_ms: float) -> float:
        """Return the store's time, from its latest answer and the time since."""
        return now_ms + self._store_lead_ms

    def step_down(self) -> None:
        """Stop acting, as a controller with a later token has written."""
        self.token = 0
        self._until_ms = -math.inf

    def appoint(self, *, is_chosen: bool) -> bool:
        """Return whether the lease was newly won; being chosen wins none."""
        return False

    def next_call(self, now_ms: float) -> tuple[CallLease, ...]:
        """Return the call on the lease that is due."""
        if self._is_open or now_ms < self._next_call_ms:
            return ()
        self._is_open = True
        call = LeaseCall(self.holder, LEASE_TTL_MS, self.token)
        return (CallLease(call, now_ms),)

    def take(self, answered: LeaseAnswered) -> bool:
        """Take the store's answer; return whether the lease was newly won."""
        self._is_open = False
        answer = answered.answer
        if isinstance(answer, Unanswered):
            self._next_call_ms = answered.now_ms + RENEW_MS
            return False
        if answer.holder != self.holder:
            self.step_down()
            self._next_call_ms = answered.now_ms + CAMPAIGN_MS
            return False
        return self._hold(answered, answer)

    def _hold(self, answered: LeaseAnswered, granted: LeaseResult) -> bool:
        is_new = granted.token != self.token
        self.token = granted.token
        life_ms = min(LEASE_TTL_MS, granted.expires_store_ms - granted.store_ms)
        self._until_ms = answered.sent_ms + life_ms * LEASE_USABLE
        self._next_call_ms = answered.sent_ms + RENEW_MS
        self._store_lead_ms = granted.store_ms - answered.now_ms
        return is_new


class Appointment:
    """Act as the controller while chosen by all members, without a lease.

    Notes
    -----
    Two members may think that they are chosen while they can't hear each other. Each
    write names the version of the state that it follows, so only one of them takes
    effect, and the other reads again. Time is the member's own.
    """

    token = 0

    def __init__(self) -> None:
        self._is_chosen = False

    def is_held(self, now_ms: float) -> bool:
        """Tell whether this daemon may act as the controller."""
        return self._is_chosen

    def store_ms(self, now_ms: float) -> float:
        """Return the member's own time."""
        return now_ms

    def step_down(self) -> None:
        """Go on: only a lease has tokens."""

    def appoint(self, *, is_chosen: bool) -> bool:
        """Take whether this daemon is chosen; return whether it newly is."""
        is_new = is_chosen and not self._is_chosen
        self._is_chosen = is_chosen
        return is_new

    def next_call(self, now_ms: float) -> tuple[CallLease, ...]:
        """Return no call, as there is no lease."""
        return ()

    def take(self, answered: LeaseAnswered) -> bool:
        """Return that no lease was won."""
        return False
