"""Settings of the router."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of the router.

    Parameters
    ----------
    answer_margin_ms : float, default=15
        Time reserved before the caller's deadline to merge and answer, in
        milliseconds; at most a tenth of the caller's time limit.
    hedge_quantile : float, default=0.9
        Quantile of the service's latency after which a call may be hedged.
    hedge_median_ratio : float, default=2
        Multiple of the service's median latency that a call must also exceed
        before it may be hedged.
    hedge_floor_ms : float, default=2
        Minimum delay before a hedge, in milliseconds.
    extra_load_ratio : float, default=0.05
        Hedges and retries allowed for each sub-request sent.
    service_extra_ratio : float, default=0.25
        The same bound within one service. It is higher, so that calls to one bad
        server may use more of the common budget than the service earned, but not
        all of it.
    queue_allowance : int, default=1
        Calls that may queue at a backend server beyond its slots.
    queue_max : int, default=256
        Maximum number of queued sub-requests and runs for one service.
    queries_max : int, default=2000
        Maximum number of open queries.
    load_fresh_ms : float, default=1000
        Age up to which a load report lowers a limit, in milliseconds.
    connection_headroom_ratio : float, default=0.1
        Part of a server's connections reserved for silent connections.
    retire_interval_ms : float, default=1000
        Minimum time between two retirements of a server's connections, in
        milliseconds.
    cold_hold_ms : float, default=5000
        Time without evidence of a cold start after which an entry VM other than
        the owner accepts a server's report that it is live, in milliseconds.
    start_grace_ms : float, default=5000
        Time after the router's start in which a server's first report that it is
        live is accepted, in milliseconds.
    run_urgency : int, default=7
        Urgency of non-idempotent requests, from 1 to 9.
    shed_requeue : bool, default=True
        Queue a shed sub-request again, paced by the lowered limit.
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
    """Return the time at which a query is answered with the replies so far.

    Parameters
    ----------
    settings : RouterSettings
        Settings with the margin.
    now_ms, deadline_ms : float
        Arrival of the query and the caller's deadline, in milliseconds.

    Returns
    -------
    float
        Deadline minus the margin, in milliseconds.
    """
    return deadline_ms - min(
        settings.answer_margin_ms, (deadline_ms - now_ms) * MARGIN_RATIO_MAX
    )


MARGIN_RATIO_MAX = 0.1  # leaves most of a short time limit for the calls
