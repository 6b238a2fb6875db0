"""Evidence that daemons exchange, to add up the small shares of many daemons."""

import math
from collections.abc import Mapping
from dataclasses import astuple, dataclass, field

import msgspec

from cowsliploom.protocol import decode_msgpack
from cowsliploom.rollout._baseline_latency import BaselineLatency
from cowsliploom.rollout._counts import Counts

ROWS_MAX = 24  # routes times servers of one daemon; the busiest are kept
OLD_VERSION = ''  # the old version's calls are not counted by server


@dataclass(frozen=True, slots=True)
class RowKey:
    """Identify a row of counts; ``server`` is empty for the old version."""

    route: str
    server: str


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold one daemon's counts since the start of a move by route and server.

    Parameters
    ----------
    daemon, incarnation : str
        Daemon that counted; each incarnation counts from zero.
    move, to_version : str
        Move and version concerned.
    generation : int
        Attempt of the move.
    rows : mapping of RowKey to Counts
        Counts, which never decrease.
    usual : mapping of str to BaselineLatency
        Latency of the old version's first calls on each route.
    is_baked : bool
        Whether the daemon has judged the full share for long enough and knows of no
        veto. Default False.
    """

    daemon: str
    incarnation: str
    move: str
    to_version: str
    generation: int
    rows: Mapping[RowKey, Counts]
    usual: Mapping[str, BaselineLatency] = field(default_factory=dict)
    is_baked: bool = False


_WireRow = tuple[str, str, int, int, int, int, int, int, int, int, int, int]


@dataclass(frozen=True, slots=True)
class _WireEvidence:
    daemon: str
    incarnation: str
    move: str
    to_version: str
    generation: int
    rows: tuple[_WireRow, ...]
    usual: dict[str, tuple[float, int]]
    is_baked: bool = False


class EvidenceError(ValueError):
    """Report evidence that can't be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(f'rollout.decode_evidence: {reason}')
        self.step = 'rollout.decode_evidence'


def encode_evidence(evidence: Evidence) -> bytes:
    """Return encoded evidence with at most ``ROWS_MAX`` rows."""
    busiest = sorted(evidence.rows.items(), key=_rank, reverse=True)[:ROWS_MAX]
    rows = tuple((key.route, key.server, *astuple(row)) for key, row in busiest)
    usual = tuple(evidence.usual.items())[:ROWS_MAX]
    wire = _WireEvidence(
        daemon=evidence.daemon,
        incarnation=evidence.incarnation,
        move=evidence.move,
        to_version=evidence.to_version,
        generation=evidence.generation,
        rows=rows,
        usual={route: (baseline.p95_ms, baseline.calls) for route, baseline in usual},
        is_baked=evidence.is_baked,
    )
    return msgspec.msgpack.encode(wire)


def decode_evidence(blob: bytes) -> Evidence:
    """Decode evidence.

    Raises
    ------
    EvidenceError
        If the bytes aren't valid evidence.
    """
    try:
        wire = decode_msgpack(blob, _WireEvidence)
    except msgspec.MsgspecError as error:
        raise EvidenceError(str(error)) from error
    return Evidence(
        daemon=wire.daemon,
        incarnation=wire.incarnation,
        move=wire.move,
        to_version=wire.to_version,
        generation=wire.generation,
        rows={RowKey(row[0], row[1]): Counts(*row[2:]) for row in wire.rows},
        usual={
            route: BaselineLatency(*baseline)
            for route, baseline in wire.usual.items()
            if _is_valid(*baseline)
        },
        is_baked=wire.is_baked,
    )


def _is_valid(p95_ms: float, calls: int) -> bool:
    return math.isfinite(p95_ms) and p95_ms > 0 and calls > 0


def _rank(row: tuple[RowKey, Counts]) -> tuple[int, str, str]:
    key, counts = row
    return counts.total, key.route, key.server
