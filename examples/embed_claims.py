"""Run each booking at most once by embedding the claims of cowsliploom.

Two desks share a store. The caller loses the first response and retries at the
other desk, which returns the first outcome instead of booking again.

>>> from cowsliploom.adapters import SystemClock
>>> from cowsliploom.standins import MemoryStore
>>> desks = [Desk(f'desk-{number}', MemoryStore(SystemClock())) for number in (1,)]
>>> desks.append(Desk('desk-2', desks[0].store))
>>> desks[0].book('van-desk', 'booking-7', 'van 3 on Friday')
'booked: van 3 on Friday'
>>> desks[1].book('van-desk', 'booking-7', 'van 3 on Friday')
'booked before: van 3 on Friday'
>>> desks[1].book('van-desk', 'booking-7', 'van 4 on Monday')
'refused: the key was used for another booking'
"""

import doctest

from cowsliploom.adapters import SystemClock
from cowsliploom.coordination import (
    Granted,
    InFlight,
    Mismatch,
    Replay,
    StoreUnavailable,
    digest_request,
)
from cowsliploom.daemons import ClaimsTask
from cowsliploom.ports import Store

TIMEOUT_MS = 2000


class Desk:
    """Accept bookings and run each at most once.

    Parameters
    ----------
    name : str
        Name of this desk.
    store : Store
        Store that all desks share.
    """

    def __init__(self, name: str, store: Store) -> None:
        self.name = name
        self.store = store
        self.clock = SystemClock()

    def book(self, caller: str, key: str, booking: str) -> str:
        """Claim the caller's idempotency key, then book."""
        digest = digest_request(booking.encode())
        deadline_ms = self.clock.now_ms() + TIMEOUT_MS
        with ClaimsTask(self.store, self.clock, self.name) as claims:
            decision = claims.claim(caller, key, digest, deadline_ms).result()
            match decision:
                case Granted():
                    return self._run(claims, decision, booking)
                case Replay(outcome):
                    return f'booked before: {outcome}'
                case InFlight():
                    return 'refused: an earlier attempt may have booked'
                case Mismatch():
                    return 'refused: the key was used for another booking'
                case StoreUnavailable(reason=reason):
                    return f'refused, not booked: {reason}'

    def _run(self, claims: ClaimsTask, granted: Granted, booking: str) -> str:
        if not granted.may_send(self.clock.now_ms()):
            claims.record_not_run(granted)
            return 'refused, not booked: too late'
        claims.record_outcome(granted, booking)
        return f'booked: {booking}'


if __name__ == '__main__':
    doctest.testmod(verbose=True)
