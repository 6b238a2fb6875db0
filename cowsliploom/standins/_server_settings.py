"""Settings and injected faults of the backend server stand-in."""

import re
from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.protocol import DocRange, LoadReport, ServerState, SnapshotInfo

SNAPSHOT_PATTERN = re.compile(r'(\d+):(\d+-\d+(?:,\d+-\d+)*):(\d+)')


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of one backend server stand-in.

    Parameters
    ----------
    server, service, version : str
        Names and version, as in its replies.
    listen : str
        ``host:port``; port 0 selects a free port.
    slots : int
        Calls executed concurrently.
    queue_max : int
        Calls that may wait for a slot; further calls are shed.
    connections_max : int
        Open connections; further connections are closed immediately.
    connect_cost_ms : float
        Work caused by a new connection in one slot, in milliseconds.
    snapshots : tuple of SnapshotInfo
        Index snapshots held.
    latency_ms : float
        Median duration of a call, in milliseconds.
    latency_sigma : float
        Sigma of the log-normal distribution of the duration, without unit.
    seed : int
        Seed of durations and faults.
    cold_start : bool
        Begin with a cold start.
    cold_allowance : int
        Concurrent calls allowed at the beginning of a cold start.
    cold_step_calls : int
        Served calls after which the allowance rises by one.
    cold_factor : float
        Factor on the duration of a call during a cold start.
    fall_over_ms : float
        Time for which all calls are refused after the allowance was exceeded, in
        milliseconds.
    leaving_grace_ms : float
        Grace period in which a leaving server accepts calls, in milliseconds.
    """

    server: str
    service: str
    version: str = 'v1'
    listen: str = '127.0.0.1:0'
    slots: int = 2
    queue_max: int = 4
    connections_max: int = 25
    connect_cost_ms: float = 0
    snapshots: tuple[SnapshotInfo, ...] = ()
    latency_ms: float = 5
    latency_sigma: float = 0.3
    seed: int = 1
    cold_start: bool = False
    cold_allowance: int = 1
    cold_step_calls: int = 20
    cold_factor: float = 3
    fall_over_ms: float = 2000
    leaving_grace_ms: float = 3000


class Silence(StrEnum):
    """Selection of connections that are accepted but never answered.

    ``existing`` selects those open when the fault was set, ``all`` every
    connection; ``answers`` executes each call and sends no response.
    """

    NONE = 'none'
    EXISTING = 'existing'
    ALL = 'all'
    ANSWERS = 'answers'


class MismatchKind(StrEnum):
    """Defect of a mismatched reply.

    It is an earlier reply (``previous``), or names another request or snapshot.
    """

    PREVIOUS = 'previous'
    REQUEST_ID = 'request_id'
    SNAPSHOT = 'snapshot'


@dataclass(frozen=True, slots=True)
class SlowFault:
    """Slowdown of a share of the calls.

    Parameters
    ----------
    share : float
        Share of affected calls, 0 to 1.
    factor : float
        Factor on the duration of a call.
    extra_ms : float
        Duration added, in milliseconds.
    route : str
        Affect this route only; empty for all. The route of runs is ``run``.
    busy_min : int
        Affect calls only if this many slots are busy, including the call's own.
    """

    share: float = 1
    factor: float = 1
    extra_ms: float = 0
    route: str = ''
    busy_min: int = 0


@dataclass(frozen=True, slots=True)
class ErrorFault:
    """Failure of a share of the calls with status 500.

    Parameters
    ----------
    share : float
        Share of affected calls, 0 to 1.
    route : str
        Affect this route only; empty for all. The route of runs is ``run``.
    busy_min : int
        Affect calls only if this many slots are busy, including the call's own.
    fast : bool
        Fail immediately, without the call's duration.
    """

    share: float = 0
    route: str = ''
    busy_min: int = 0
    fast: bool = False


@dataclass(frozen=True, slots=True)
class ServerFaults:
    """Active faults of a server (``PUT /admin/faults``, which replaces all).

    Parameters
    ----------
    slow : tuple of SlowFault
        Slowdowns; all that affect a call are combined.
    errors : tuple of ErrorFault
        Failures; the first that affects a call is used.
    shed : bool
        Refuse all calls as if overloaded.
    silent : Silence
        Connections that are never answered.
    silent_hold_ms : float
        Time after which a silent connection is closed, in milliseconds.
    crossed_share : float
        Share of mismatched replies, 0 to 1.
    crossing : MismatchKind
        Defect of the mismatched replies.
    late_share : float
        Share of replies delayed after the call has finished, 0 to 1.
    late_ms : float
        Delay of late replies, in milliseconds.
    load_lag_ms, health_lag_ms : float
        Age of the returned reports, in milliseconds.
    load_lie : LoadReport or None
        False load report, returned instead of the actual one.
    health_lie : ServerState or None
        False state in health reports.
    cold_hidden : bool
        Report a cold server as live and with its full allowance.
    """

    slow: tuple[SlowFault, ...] = ()
    errors: tuple[ErrorFault, ...] = ()
    shed: bool = False
    silent: Silence = Silence.NONE
    silent_hold_ms: float = 10_000
    crossed_share: float = 0
    crossing: MismatchKind = MismatchKind.PREVIOUS
    late_share: float = 0
    late_ms: float = 0
    load_lag_ms: float = 0
    health_lag_ms: float = 0
    load_lie: LoadReport | None = None
    health_lie: ServerState | None = None
    cold_hidden: bool = False


@dataclass(frozen=True, slots=True)
class ColdReset:
    """Request to begin a cold start (``PUT /admin/cold``).

    Parameters
    ----------
    new_incarnation : bool
        Also change the incarnation, as a restart does.
    """

    new_incarnation: bool = False


def parse_snapshot(service: str, text: str) -> SnapshotInfo:
    """Parse ``snapshot:first-end[,first-end]:total_docs``.

    Raises
    ------
    ValueError
        If the text has another form.

    Examples
    --------
    >>> parse_snapshot('a', '7:0-1000:20000').ranges
    (DocRange(first=0, end=1000),)
    """
    match = SNAPSHOT_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(
            f'snapshots: got {text!r}, expected snapshot:first-end:total_docs'
        )
    snapshot, ranges, total_docs = match.groups()
    doc_ranges = tuple(_parse_range(part) for part in ranges.split(','))
    return SnapshotInfo(int(snapshot), service, doc_ranges, int(total_docs))


def _parse_range(text: str) -> DocRange:
    first, end = text.split('-')
    return DocRange(int(first), int(end))
