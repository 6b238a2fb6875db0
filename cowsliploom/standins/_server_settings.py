"""Settings and fault switches of the backend server stand-in."""

import re
from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.protocol import DocRange, LoadReport, ServerState, SnapshotInfo

SNAPSHOT_PATTERN = re.compile(r'(\d+):(\d+-\d+(?:,\d+-\d+)*):(\d+)')


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Set up one backend server stand-in.

    Parameters
    ----------
    server, service, version : str
        Names that its replies bear.
    listen : str
        ``host:port``; port 0 lets the system choose.
    slots : int
        Calls worked on at once.
    queue_max : int
        Calls that may wait for a slot; more are shed.
    connections_max : int
        Connections kept open; more are closed at once.
    connect_cost_ms : float
        Work that a new connection costs one slot, in milliseconds.
    snapshots : tuple of SnapshotInfo
        Index snapshots held.
    latency_ms : float
        Median time of a call, in milliseconds.
    latency_sigma : float
        Spread of the time: sigma of its log-normal distribution, without unit.
    seed : int
        Seed of times and faults.
    cold_start : bool
        Start cold.
    cold_allowance : int
        Calls at once that it bears at the beginning of a cold start.
    cold_step_calls : int
        Calls served for each further call at once that it bears.
    cold_factor : float
        Slowness of a call while cold, as a multiple of its time.
    fall_over_ms : float
        Time for which it refuses all after an overrun, in milliseconds.
    leaving_grace_ms : float
        Time for which it takes new work after it has said that it leaves.
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
    """Name the connections that are accepted and never answered.

    ``existing`` concerns those open when the switch was set, ``all`` every one;
    ``answers`` does the work and then never answers.
    """

    NONE = 'none'
    EXISTING = 'existing'
    ALL = 'all'
    ANSWERS = 'answers'


class Crossing(StrEnum):
    """Name what is wrong with a crossed reply."""

    PREVIOUS = 'previous'
    REQUEST_ID = 'request_id'
    SNAPSHOT = 'snapshot'


@dataclass(frozen=True, slots=True)
class SlowFault:
    """Slow down a share of the calls.

    Parameters
    ----------
    share : float
        Share of calls concerned, 0 to 1.
    factor : float
        Multiple of the call's time.
    extra_ms : float
        Time added, in milliseconds.
    route : str
        Concern this route only; empty for all. Runs have the route ``run``.
    busy_min : int
        Concern calls only while this many slots are busy, its own included.
    """

    share: float = 1
    factor: float = 1
    extra_ms: float = 0
    route: str = ''
    busy_min: int = 0


@dataclass(frozen=True, slots=True)
class ErrorFault:
    """Fail a share of the calls with status 500.

    Parameters
    ----------
    share : float
        Share of calls concerned, 0 to 1.
    route : str
        Concern this route only; empty for all. Runs have the route ``run``.
    busy_min : int
        Concern calls only while this many slots are busy, its own included.
    fast : bool
        Fail without spending the call's time.
    """

    share: float = 0
    route: str = ''
    busy_min: int = 0
    fast: bool = False


@dataclass(frozen=True, slots=True)
class ServerFaults:
    """Switch standing faults (``PUT /admin/faults``; replaces all of them).

    Parameters
    ----------
    slow : tuple of SlowFault
        Stragglers and slowness; all that concern a call add up.
    errors : tuple of ErrorFault
        Failures; the first that strikes counts.
    shed : bool
        Refuse all calls as under overload.
    silent : Silence
        Connections that are never answered.
    silent_hold_ms : float
        Time until a silent connection is closed and no longer counted.
    crossed_share : float
        Share of replies that are crossed, 0 to 1.
    crossing : Crossing
        What is wrong with a crossed reply.
    late_share : float
        Share of replies held back after the work is done, 0 to 1.
    late_ms : float
        Time for which late replies are held back, in milliseconds.
    load_lag_ms, health_lag_ms : float
        Age of the reports given, in milliseconds.
    load_lie : LoadReport or None
        Load report to give instead of the true one.
    health_lie : ServerState or None
        State to report in health instead of the true one.
    cold_hidden : bool
        Never say that it is cold.
    """

    slow: tuple[SlowFault, ...] = ()
    errors: tuple[ErrorFault, ...] = ()
    shed: bool = False
    silent: Silence = Silence.NONE
    silent_hold_ms: float = 10_000
    crossed_share: float = 0
    crossing: Crossing = Crossing.PREVIOUS
    late_share: float = 0
    late_ms: float = 0
    load_lag_ms: float = 0
    health_lag_ms: float = 0
    load_lie: LoadReport | None = None
    health_lie: ServerState | None = None
    cold_hidden: bool = False


@dataclass(frozen=True, slots=True)
class ColdTurn:
    """Turn a server cold (``PUT /admin/cold``).

    Parameters
    ----------
    new_incarnation : bool
        Also change the incarnation, as after a restart.
    """

    new_incarnation: bool = False


def parse_snapshot(service: str, text: str) -> SnapshotInfo:
    """Read ``snapshot:first-end[,first-end]:total_docs``.

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
