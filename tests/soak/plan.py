"""Seeded plans of faults."""

import random
from dataclasses import dataclass
from enum import StrEnum

from tests.soak.world import GATEWAYS, REPLICAS, SHARDS


class Kind(StrEnum):
    """Kind of fault."""

    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    RELOAD = 'reload'
    STORE_CUT = 'store cut'
    STORE_ONE_WAY = 'store one way'
    STORE_SLOW = 'store slow'
    STORE_DOWN = 'store down'
    STORE_BUSY = 'store busy'
    STORE_DEAF = 'store deaf'
    STORE_FORGETS = 'store forgets'
    SERVER_SLOW = 'server slow'
    SERVER_SILENT = 'server silent'
    SERVER_ONE_WAY = 'server one way'
    SERVER_RESETS = 'server resets'
    SERVER_FAILS = 'server fails'
    SERVER_SHEDS = 'server sheds'
    SERVER_CROSSES = 'server crosses'
    SERVER_LEAVES = 'server leaves'
    CONFIGURE = 'configure'


GATEWAY_KINDS = frozenset(
    (
        Kind.KILL,
        Kind.STOP,
        Kind.PAUSE,
        Kind.RELOAD,
        Kind.STORE_CUT,
        Kind.STORE_ONE_WAY,
        Kind.STORE_SLOW,
    )
)
STORE_KINDS = frozenset(
    (Kind.STORE_DOWN, Kind.STORE_BUSY, Kind.STORE_DEAF, Kind.STORE_FORGETS)
)
FAULTS_MAX = 9
FAULT_S_MIN = 0.3
FAULT_S_MAX = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: kind, start time, targets and duration."""

    start_s: float
    kind: Kind
    gateway: int
    server: str
    duration_s: float


def make_plan(seed: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of a seed by start time; they may overlap.

    Examples
    --------
    >>> make_plan(1, 10) == make_plan(1, 10)
    True
    """
    generator = random.Random(seed)
    count = generator.randint(3, FAULTS_MAX)
    kinds = tuple(Kind)
    services = (*SHARDS, 'one')
    faults = [
        Fault(
            start_s=generator.uniform(0, length_s),
            kind=generator.choice(kinds),
            gateway=generator.choice(GATEWAYS),
            server=f'{generator.choice(services)}-{generator.randrange(REPLICAS)}',
            duration_s=generator.uniform(FAULT_S_MIN, FAULT_S_MAX),
        )
        for _ in range(count)
    ]
    return tuple(sorted(faults, key=_start_time))


def _start_time(fault: Fault) -> float:
    return fault.start_s
