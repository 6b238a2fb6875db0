"""Decision whether a member watches the platform's store itself; sans-IO."""

from dataclasses import dataclass

from cowsliploom.members._watcher_liveness import WatcherLiveness

WATCHERS = 1  # per data centre; updates also travel between data centres
STALE_MS = 6500.0  # longer than a watch takes
# A started member waits for the store's contents from its peers. Without a peer that
# answers it depends on the store sooner.
START_WAIT_MS = 1500.0
START_WAIT_ALONE_MS = 500.0
RANK_WAIT_MS = 800.0  # a started member knows too few others for its rank
TAKEOVER_STEP_MS = 200.0  # between members that start to watch one after the other


@dataclass(frozen=True, slots=True)
class WatchInputs:
    """State of a member that decides whether it watches the store.

    Parameters
    ----------
    rank : int
        Rank among the live members of its data centre, from 0.
    is_seed : bool
        Whether others know its address from their settings.
    has_seen_peer : bool
        Whether another member has ever answered.
    up_ms : float
        Time since the process started.
    has_contents : bool
        Whether the store's contents were received, from it or from a peer.
    confirmed_age_ms : float
        Time since the store confirmed them.
    """

    rank: int
    is_seed: bool
    has_seen_peer: bool
    up_ms: float
    has_contents: bool
    confirmed_age_ms: float


def must_watch(inputs: WatchInputs, liveness: WatcherLiveness, now_ms: float) -> bool:
    """Return whether a member has to watch the store.

    Parameters
    ----------
    inputs : WatchInputs
        State of the member.
    liveness : WatcherLiveness
        When some member was last known to watch.
    now_ms : float
        Monotonic clock.

    Notes
    -----
    Answers two load patterns. When a whole fleet starts, each member knows only itself
    and would read the whole store: the seeds do, and the others receive it from them.
    When the store is out for long, all members' contents get stale at the same moment:
    they start to ask in the order of their ranks.

    Examples
    --------
    >>> started = WatchInputs(0, False, True, 100, False, confirmed_age_ms=1e9)
    >>> must_watch(started, WatcherLiveness(apply_ms=3000), now_ms=100)
    False
    """
    delay_ms = TAKEOVER_STEP_MS * inputs.rank
    if not inputs.is_seed and inputs.up_ms < _start_wait_ms(inputs) + delay_ms:
        return False
    if inputs.has_contents and inputs.confirmed_age_ms > STALE_MS + delay_ms:
        return True
    is_chosen = inputs.rank < WATCHERS
    return is_chosen or liveness.is_missing(now_ms, inputs.rank - WATCHERS)


def _start_wait_ms(inputs: WatchInputs) -> float:
    """Return for how long a started member leaves the store to others."""
    if inputs.has_contents:
        return RANK_WAIT_MS
    return START_WAIT_MS if inputs.has_seen_peer else START_WAIT_ALONE_MS
