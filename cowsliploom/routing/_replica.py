"""Random choice and preference among the replicas of a service."""

import random
from collections.abc import Sequence

import xxhash

CHOICES = 2  # power of two choices
PREFERENCE_STEP = 0.25  # added to the cost factor for each rank


def preference_factor(entry: str, server: str, servers: Sequence[str]) -> float:
    """Return the cost factor of a server for one entry VM.

    Notes
    -----
    Servers are ranked by a rendezvous hash of entry VM and server, so that entry
    VMs prefer different servers when their share of each is below one call.
    """
    score = _score(entry, server)
    rank = sum(_score(entry, other) > score for other in servers)
    return 1 + PREFERENCE_STEP * rank


def pick_two(count: int, generator: random.Random) -> tuple[int, int]:
    """Return the indices of two different candidates out of ``count``."""
    first = int(generator.random() * count)
    second = int(generator.random() * (count - 1))
    return first, second + (second >= first)


def _score(entry: str, server: str) -> int:
    return xxhash.xxh64_intdigest(f'{entry}/{server}'.encode())
