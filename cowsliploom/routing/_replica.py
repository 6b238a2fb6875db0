"""Choice among the replicas of a service."""

import random
from collections.abc import Sequence

import xxhash

CHOICES = 2  # the power of two choices: two random replicas are compared
PREFERENCE_STEP = 0.25  # each rank further down adds a quarter to the cost


def preference_factor(entry: str, server: str, servers: Sequence[str]) -> float:
    """Return how an entry VM weighs one server among a service's servers.

    Notes
    -----
    The rank is a rendezvous hash over entry and server, so that entry VMs favour
    different servers where each has less than one call in flight as its share.
    """
    score = _score(entry, server)
    rank = sum(_score(entry, other) > score for other in servers)
    return 1 + PREFERENCE_STEP * rank


def pick_two(count: int, generator: random.Random) -> tuple[int, int]:
    """Return the positions of two different candidates out of ``count``."""
    first = int(generator.random() * count)
    second = int(generator.random() * (count - 1))
    return first, second + (second >= first)


def _score(entry: str, server: str) -> int:
    return xxhash.xxh64_intdigest(f'{entry}/{server}'.encode())
