"""Evidence that daemons exchange, so that small shares of many daemons add up."""

import math
from collections.abc import Mapping
from dataclasses import astuple, dataclass, field

import msgspec

from cowsliploom.protocol import decode_msgpack
from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._baseline_latency import Usual

ROWS_MAX = 24  # routes times servers of one daemon; the busiest go first
OLD_VERSION = ''  # the old version's calls are not told apart by server


@dataclass(frozen=True, slots=True)
class RowKey:
    """Name what a count is about; ``server`` is empty for the old version."""

    route: str
    server: str


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold one daemon's counts since the start of a move, all routes and servers.

    Parameters
    ----------
    daemon, incarnation : str
        Daemon that counted; a new incarnation counts from zero.
    move, to_version : str
        Move and version concerned.
    generation : int
        Attempt of the move.
    rows : mapping of RowKey to Counts
        Counts, which only grow.
    usual : mapping of str to Usual
        What the old version took on each route when it was first seen.
    """

    daemon: str
    incarnation: str
    move: str
    to_version: str
    generation: int
    rows: Mapping[RowKey, Counts]
    usual: Mapping[str, Usual] = field(default_factory=dict)


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


class EvidenceError(ValueError):
    """Report evidence that can't be read."""

    def __init__(self, reason: str) -> None:
        super().__init__(f'rollout.decode_evidence: {reason}')
        self.step = 'rollout.decode_evidence'


def encode_evidence(evidence: Evidence) -> bytes:
    """Return evidence as bytes, with at most ``ROWS_MAX`` rows."""
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
        usual={route: (one.p95_ms, one.calls) for route, one in usual},
    )
    return msgspec.msgpack.encode(wire)


def decode_evidence(blob: bytes) -> Evidence:
    """Read evidence.

    Raises
    ------
    EvidenceError
        When the bytes aren't evidence.
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
            route: Usual(*one) for route, one in wire.usual.items() if _is_sound(*one)
        },
    )


def _is_sound(p95_ms: float, calls: int) -> bool:
    return math.isfinite(p95_ms) and p95_ms > 0 and calls > 0


def _rank(row: tuple[RowKey, Counts]) -> tuple[int, str, str]:
    key, counts = row
    return counts.total, key.route, key.server
