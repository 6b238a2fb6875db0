"""What backend servers ask of this entry VM in the heads of their answers."""

import math
from dataclasses import dataclass

PAUSE_MAX_MS = 3_600_000.0  # a longer pause is believed to be this long
RETURN_SPREAD_SHARE = 0.2  # of a pause, over which entry VMs return to the server
RETURN_SPREAD_MAX_MS = 1000.0


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """Request of a server to this entry VM, read from the head of an answer.

    Parameters
    ----------
    is_leaving : bool
        Whether the server is about to stop and wants no new requests.
    pause_ms : float or None
        Time for which it wants no new requests; None if it asks for no pause.
    problem : str
        Why a header could not be understood; empty if all were.
    """

    is_leaving: bool = False
    pause_ms: float | None = None
    problem: str = ''


@dataclass(frozen=True, slots=True)
class StandingNotice:
    """Requests of a server that are in force.

    Parameters
    ----------
    is_leaving : bool
        Whether the server has said that it is about to stop.
    paused_until_ms : float
        End of the longest pause that it asked for.
    """

    is_leaving: bool = False
    paused_until_ms: float = -math.inf

    def updated(
        self, notice: ServerNotice, now_ms: float, spread: float
    ) -> 'StandingNotice':
        """Return the requests in force after one more notice.

        The pause that ends last counts, as a later and shorter one does not withdraw
        it.

        Parameters
        ----------
        notice : ServerNotice
            The new notice.
        now_ms : float
            When it was received.
        spread : float
            Random position from 0 to 1, which spreads the return of the entry VMs.

        Examples
        --------
        >>> StandingNotice().updated(ServerNotice(pause_ms=2000), 100, spread=0)
        StandingNotice(is_leaving=False, paused_until_ms=2100.0)
        """
        until_ms = self.paused_until_ms
        if notice.pause_ms is not None:
            pause_ms = min(notice.pause_ms, PAUSE_MAX_MS)
            spread_ms = min(RETURN_SPREAD_SHARE * pause_ms, RETURN_SPREAD_MAX_MS)
            asked_ms = now_ms + pause_ms + spread * spread_ms
            until_ms = max(until_ms, asked_ms)
        return StandingNotice(self.is_leaving or notice.is_leaving, until_ms)

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the server wants no requests at a time."""
        return now_ms < self.paused_until_ms
