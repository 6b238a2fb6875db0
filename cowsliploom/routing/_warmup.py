"""Cold start of a backend server, as one entry VM sees it."""

from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.protocol import ServerState

SUCCESSES_PER_STEP = 4  # successes that raise the allowance by one call


class ColdCause(StrEnum):
    """Name why a server is taken as cold."""

    UNKNOWN = 'unknown'
    INCARNATION = 'incarnation'
    REPORTED = 'word'
    CONNECTIONS = 'connections'
    SLOWNESS = 'slowness'
    RETURNED = 'returned'


@dataclass(frozen=True, slots=True)
class Warm:
    """Hold no cold limit."""


@dataclass(frozen=True, slots=True)
class Cold:
    """Hold what a cold server may be sent.

    Parameters
    ----------
    cause : ColdCause
        Why the server is taken as cold.
    since_ms : float
        Time of the last sign of cold start.
    says_live : bool
        Whether the server's latest own word is that it is live.
    allowance : int
        Calls at once that successes have earned.
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
    """Return the calls at once that this entry VM may have at a cold server.

    Parameters
    ----------
    cold : Cold
        State of the server.
    owned : bool
        Whether this entry VM owns the server's cold start.
    reported : int or None
        Allowance that the server reported lately; None when none is fresh.

    Returns
    -------
    int
        0 for any but the owner; else what successes have earned, which a report
        can only narrow. Without a fresh report, a server that calls itself cold
        gets one call at a time.
    """
    if not owned:
        return 0
    if reported is not None:
        return min(cold.allowance, reported)
    return cold.allowance if cold.reports_live else 1


def apply_success(warmth: Warmth, state: ServerState, slots: int) -> Warmth:
    """Return the warmth after a call that the server answered well."""
    match warmth:
        case Cold():
            return _count_success(warmth, state, slots)
        case _:
            return warmth


def apply_setback(warmth: Warmth, now_ms: float) -> Warmth:
    """Return the warmth after a refused, failed or very slow call."""
    match warmth:
        case Cold():
            return Cold(warmth.cause, now_ms, warmth.reports_live)
        case _:
            return warmth


def apply_reported_state(
    warmth: Warmth, state: ServerState, now_ms: float, hold_ms: float, owned: bool
) -> Warmth:
    """Return the warmth after the server's own word on its state.

    Parameters
    ----------
    warmth : Warm or Cold
        State so far.
    state : ServerState
        What the server says.
    now_ms : float
        Time, in milliseconds.
    hold_ms : float
        Time without a sign of cold start after which one that is not the owner
        believes a server that calls itself live, in milliseconds.
    owned : bool
        Whether this entry VM owns the cold start; the owner believes only
        successes.
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
