"""Which entry VM asks which shards of a query on behalf of the one that has it."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from cowsliploom.members import Member, rank_names

SHARDS_MIN = 40  # a query of fewer is sent out directly
SHARDS_PER_RELAY = 8  # as many calls as a slow core sends within a few milliseconds
RELAYS_MIN = 2  # other members needed; alone there is nobody to share the work with
FAR_SHARDS_MIN = 3  # fewer cost as few bytes when they are asked directly
FAR_SHARDS_PER_RELAY = 12


@dataclass(frozen=True, slots=True)
class RelayShare:
    """Give one member its share of a query.

    Parameters
    ----------
    relay : Member
        Who asks the shards.
    shards : frozenset of str
        Which shards.
    """

    relay: Member
    shards: frozenset[str]


def plan_relays(
    shards: tuple[str, ...],
    members: tuple[Member, ...],
) -> tuple[RelayShare, ...]:
    """Divide the shards of a query among members of the own data centre.

    Parameters
    ----------
    shards : tuple of str
        Shards of the query.
    members : tuple of Member
        Live members of the own data centre, the asking one left out.

    Returns
    -------
    tuple of RelayShare
        Shares of different members, always the same ones for the same members, so
        that few connections to each server suffice. Shards that no share names are
        asked directly.

    Examples
    --------
    >>> members = (Member('a', '10.0.0.1:1', 'de'), Member('b', '10.0.0.2:1', 'de'))
    >>> shards = tuple(f's{number}' for number in range(48))
    >>> len(plan_relays(shards, members))
    2
    """
    if len(shards) < SHARDS_MIN or len(members) < RELAYS_MIN:
        return ()
    ordered = sorted(shards)
    free = {member.name: member for member in members}
    shares = []
    for start in range(0, len(ordered), SHARDS_PER_RELAY):
        part = ordered[start : start + SHARDS_PER_RELAY]
        if not free:
            break
        name = rank_names(f'relay/{part[0]}', free, 1)[0]
        shares.append(RelayShare(free.pop(name), frozenset(part)))
    return tuple(shares)


def plan_far_relays(
    places: Mapping[str, frozenset[str]], members: tuple[Member, ...], asker: str
) -> tuple[RelayShare, ...]:
    """Let members elsewhere ask the shards that have no server here.

    A share crosses once, merged, instead of one part for each shard.

    Parameters
    ----------
    places : mapping of str to frozenset of str
        Data centres that have a server, for each shard that has none here.
    members : tuple of Member
        Live members of other data centres.
    asker : str
        Name of the asking member; different askers use different relays.

    Returns
    -------
    tuple of RelayShare
        Few shares, as the data centre with most of the shards is taken first.
    """
    by_place: dict[str, dict[str, Member]] = {}
    for member in members:
        by_place.setdefault(member.data_centre, {})[member.name] = member
    left = dict(places)
    shares: list[RelayShare] = []
    while left:
        counts = Counter(
            place for found in left.values() for place in found if place in by_place
        )
        place, most = max(counts.items(), key=_count_then_name, default=('', 0))
        if most < FAR_SHARDS_MIN:
            break
        here = sorted(shard for shard, found in left.items() if place in found)
        shares.extend(_far_shares(here, by_place[place], asker))
        for shard in here:
            left.pop(shard)
    return tuple(shares)


def _far_shares(
    shards: list[str], members: dict[str, Member], asker: str
) -> list[RelayShare]:
    """Divide shards among members of one data centre, in shares of like size."""
    count = -(-len(shards) // FAR_SHARDS_PER_RELAY)
    names = rank_names(f'relay/{asker}', members, count)
    return [
        RelayShare(members[name], frozenset(shards[start::count]))
        for start, name in enumerate(names)
    ]


def _count_then_name(item: tuple[str, int]) -> tuple[int, str]:
    return item[1], item[0]
