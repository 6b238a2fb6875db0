"""Seeded arrival process of the open loop."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random

MS_PER_S = 1000
DISTINCT_TEXTS = 1000  # search texts that callers choose from


class RequestKind(StrEnum):
    """Kind of a request: a search or a booking."""

    SEARCH = 'search'
    BOOKING = 'booking'


@dataclass(frozen=True, slots=True)
class MixPart:
    """Share of the arrivals that one search, or one service's bookings, receives.

    Parameters
    ----------
    kind : RequestKind
        Kind of the requests.
    name : str
        Name of the search or of the service.
    weight : float
        Share of the arrivals, relative to the other weights.
    """

    kind: RequestKind
    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class ArrivalPlan:
    """Parameters of the arrivals of a run.

    Parameters
    ----------
    rate_per_s : float
        Mean arrival rate, per second.
    duration_ms : float
        Duration of the arrivals, in milliseconds.
    mix : tuple of MixPart
        Kinds of requests and their weights.
    entries : int
        Number of entry VMs, among which the load balancer chooses.
    seed : int
        Seed of the times, requests and entry VMs.
    id_prefix : str
        Prefix of the request ids, unique to the run.
    """

    rate_per_s: float
    duration_ms: float
    mix: tuple[MixPart, ...]
    entries: int
    seed: int
    id_prefix: str


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request that is due ``at_ms`` after the start of the run."""

    at_ms: float
    kind: RequestKind
    name: str
    entry: int
    request_id: str
    text: str


def parse_mix(kind: RequestKind, text: str) -> tuple[MixPart, ...]:
    """Parse ``name=weight,name=weight``.

    Raises
    ------
    ValueError
        If a part has another form or a weight is not positive.

    Examples
    --------
    >>> [part.name for part in parse_mix(RequestKind.SEARCH, 'cellar=5,rota=1')]
    ['cellar', 'rota']
    """
    parts = (part.strip() for part in text.split(','))
    return tuple(_parse_part(kind, part) for part in parts if part)


def _parse_part(kind: RequestKind, text: str) -> MixPart:
    name, _, weight_text = text.partition('=')
    try:
        weight = float(weight_text or '1')
    except ValueError:
        weight = 0
    if not name or weight <= 0:
        raise ValueError(f'mix: got {text!r}, expected name=weight with weight above 0')
    return MixPart(kind, name, weight)


def plan_arrivals(plan: ArrivalPlan) -> Iterator[Arrival]:
    """Draw exponential gaps, requests and entry VMs from the seed.

    Notes
    -----
    Plans that differ only in ``id_prefix`` or ``entries`` have the same times,
    requests and texts, so that two systems can be compared under the same load.
    """
    randomness = Random(plan.seed)
    balancer = Random(plan.seed)
    weights = [part.weight for part in plan.mix]
    at_ms: float = 0
    number = 0
    while True:
        at_ms += randomness.expovariate(plan.rate_per_s) * MS_PER_S
        if at_ms >= plan.duration_ms:
            return
        part = randomness.choices(plan.mix, weights)[0]
        number += 1
        yield Arrival(
            at_ms=at_ms,
            kind=part.kind,
            name=part.name,
            entry=balancer.randrange(plan.entries),
            request_id=f'{plan.id_prefix}-{number}',
            text=f'error {randomness.randrange(DISTINCT_TEXTS)}',
        )
