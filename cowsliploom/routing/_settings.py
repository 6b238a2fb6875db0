"""Settings of the router."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Hold the router's settings.

    Parameters
    ----------
    answer_margin_ms : float, default=15
        Time kept back from the caller's deadline to merge and answer, in
        milliseconds; at most a tenth of the caller's time limit is taken.
    hedge_quantile : float, default=0.9
        Quantile of a service's own latency after which a call may be hedged.
    hedge_median_ratio : float, default=2
        Multiple of the service's median that a call must take as well before it
        may be hedged.
    hedge_floor_ms : float, default=2
        Least wait before a hedge, in milliseconds.
    extra_load_ratio : float, default=0.05
        Hedges and retries allowed for each sub-request sent.
    service_extra_ratio : float, default=0.25
        The same bound within one service, so that one bad server may use more of
        the common budget than its service earned, yet not all of it.
    queue_allowance : int, default=1
        Calls that may wait at a backend server beyond its slots.
    queue_max : int, default=256
        Sub-requests and runs that may wait for one service.
    queries_max : int, default=2000
        Queries and runs open at once.
    load_fresh_ms : float, default=1000
        Age up to which a load report narrows a limit, in milliseconds.
    connection_headroom_ratio : float, default=0.1
        Part of a server's connections left for those that have gone silent.
    retire_interval_ms : float, default=1000
        Least time between two retirements of a server's connections.
    cold_hold_ms : float, default=5000
        Time without a sign of cold start after which an entry VM that is not the
        owner takes a server's own word that it is live, in milliseconds.
    start_grace_ms : float, default=5000
        Time after the router's start in which a server's first word is taken, in
        milliseconds.
    run_urgency : int, default=7
        Urgency of non-idempotent requests, from 1 to 9.
    shed_requeue : bool, default=True
        Let a shed sub-request wait in the queue again, paced by the lowered limit.
    """

    answer_margin_ms: float = 15
    hedge_quantile: float = 0.9
    hedge_median_ratio: float = 2
    hedge_floor_ms: float = 2
    extra_load_ratio: float = 0.05
    service_extra_ratio: float = 0.25
    queue_allowance: int = 1
    queue_max: int = 256
    queries_max: int = 2000
    load_fresh_ms: float = 1000
    connection_headroom_ratio: float = 0.1
    retire_interval_ms: float = 1000
    cold_hold_ms: float = 5000
    start_grace_ms: float = 5000
    run_urgency: int = 7
    shed_requeue: bool = True


def answer_deadline_ms(
    settings: RouterSettings, now_ms: float, deadline_ms: float
) -> float:
    """Return the time at which a query is answered with what there is.

    Parameters
    ----------
    settings : RouterSettings
        Settings with the margin.
    now_ms, deadline_ms : float
        Arrival of the query and the caller's deadline, in milliseconds.

    Returns
    -------
    float
        The deadline less the margin, in milliseconds.
    """
    return deadline_ms - min(
        settings.answer_margin_ms, (deadline_ms - now_ms) * MARGIN_RATIO_MAX
    )


MARGIN_RATIO_MAX = 0.1  # a short time limit must leave time for the work itself
