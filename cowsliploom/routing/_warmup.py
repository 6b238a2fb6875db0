"""Warm-up state of a cold backend server at one entry VM."""

from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.protocol import ServerState

SUCCESSES_PER_STEP = 4  # successes that raise the allowance by one


class ColdCause(StrEnum):
    """Reason why a server is considered cold."""

    UNKNOWN = 'unknown'
    INCARNATION = 'incarnation'
    REPORTED = 'word'
    CONNECTIONS = 'connections'
    SLOWNESS = 'slowness'
    RETURNED = 'returned'


@dataclass(frozen=True, slots=True)
class Warm:
    """Server without a cold-start limit."""


@dataclass(frozen=True, slots=True)
class Cold:
    """Cold server and its allowance of concurrent calls.

    Parameters
    ----------
    cause : ColdCause
        Why the server is considered cold.
    since_ms : float
        Time of the last evidence of a cold start.
    reports_live : bool
        Whether the server last reported that it is live.
    allowance : int
        Concurrent calls allowed after the successes so far.
    successes : int
        Successes since the last change of the allowance.
    """

    cause: ColdCause
    since_ms: float
    reports_live: bool = False
    allowance: int = 1
    successes: int = 0


Warmth = Warm | Cold


def cold_allowance(cold: Cold, owned: bool, reported: int | None) -> int:
    """Return how many concurrent calls this entry VM may send to a cold server.

    Parameters
    ----------
    cold : Cold
        State of the server.
    owned : bool
        Whether this entry VM owns the server's cold start.
    reported : int or None
        Allowance in the latest load report; None when it is stale.

    Returns
    -------
    int
        0 for entry VMs other than the owner. For the owner, the allowance from
        successes, which a report can only lower. Without a fresh report, a server
        that reports itself cold gets one call at a time.
    """
    if not owned:
        return 0
    if reported is not None:
        return min(cold.allowance, reported)
    return cold.allowance if cold.reports_live else 1


def apply_success(warmth: Warmth, state: ServerState, slots: int) -> Warmth:
    """Return the state after a successful call."""
    match warmth:
        case Cold():
            return _count_success(warmth, state, slots)
        case _:
            return warmth


def apply_setback(warmth: Warmth, now_ms: float) -> Warmth:
    """Return the state after a refused, failed or timed-out call."""
    match warmth:
        case Cold():
            return Cold(warmth.cause, now_ms, warmth.reports_live)
        case _:
            return warmth


def apply_reported_state(
    warmth: Warmth, state: ServerState, now_ms: float, hold_ms: float, owned: bool
) -> Warmth:
    """Return the state after the server reported its own state.

    Parameters
    ----------
    warmth : Warm or Cold
        Previous warm-up state.
    state : ServerState
        State that the server reported.
    now_ms : float
        Current time, in milliseconds.
    hold_ms : float
        Time without evidence of a cold start after which an entry VM other than
        the owner accepts a server's report that it is live, in milliseconds.
    owned : bool
        Whether this entry VM owns the cold start; the owner relies on successful
        calls only.
    """
    reports_live = state is not ServerState.COLD
    match warmth:
        case Warm():
            return warmth if reports_live else Cold(ColdCause.REPORTED, now_ms)
        case Cold(since_ms=since_ms) if reports_live and not owned:
            if now_ms - since_ms >= hold_ms:
                return Warm()
    since_ms = warmth.since_ms if reports_live else now_ms
    return Cold(
        warmth.cause, since_ms, reports_live, warmth.allowance, warmth.successes
    )


def _count_success(cold: Cold, state: ServerState, slots: int) -> Warmth:
    reports_live = state is not ServerState.COLD
    allowance = cold.allowance
    successes = cold.successes + 1
    if successes >= SUCCESSES_PER_STEP:
        allowance += 1
        successes = 0
    if allowance > slots:
        if reports_live:
            return Warm()
        allowance = slots
    return Cold(cold.cause, cold.since_ms, reports_live, allowance, successes)
