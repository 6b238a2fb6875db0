"""Assignment of a query's shards to entry VMs that relay the calls."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from cowsliploom.members import Member, rank_names

SHARDS_MIN = 40  # shards of a smaller query are called directly
SHARDS_PER_RELAY = 8  # calls that a slow core sends within a few milliseconds
RELAYS_MIN = 2  # other members needed to share the work
REMOTE_SHARDS_MIN = 3  # for fewer, relaying saves no traffic
REMOTE_SHARDS_PER_RELAY = 12


@dataclass(frozen=True, slots=True)
class RelayShare:
    """Shards of a query that one member calls.

    Parameters
    ----------
    relay : Member
        Member that calls the shards.
    shards : frozenset of str
        Shards to call.
    """

    relay: Member
    shards: frozenset[str]


def plan_relays(
    shards: tuple[str, ...],
    members: tuple[Member, ...],
) -> tuple[RelayShare, ...]:
    """Divide the shards of a query among members of the local data centre.

    Parameters
    ----------
    shards : tuple of str
        Shards of the query.
    members : tuple of Member
        Live members of the local data centre, without the requesting one.

    Returns
    -------
    tuple of RelayShare
        One share for each relay. The plan is stable for the same members, so that few
        connections to each server suffice. Shards in no share are called directly.

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


def plan_remote_relays(
    data_centres: Mapping[str, frozenset[str]],
    members: tuple[Member, ...],
    requester: str,
) -> tuple[RelayShare, ...]:
    """Assign the shards without a local server to members of other data centres.

    The relay sends one merged answer between data centres, instead of one per shard.

    Parameters
    ----------
    data_centres : mapping of str to frozenset of str
        Data centres with a server, for each shard without a local server.
    members : tuple of Member
        Live members of other data centres.
    requester : str
        Name of the requesting member; different requesters use different relays.

    Returns
    -------
    tuple of RelayShare
        Shares; few, as the data centre with the most shards is taken first.
    """
    by_data_centre: dict[str, dict[str, Member]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, {})[member.name] = member
    left = dict(data_centres)
    shares: list[RelayShare] = []
    while left:
        counts = Counter(
            data_centre
            for found in left.values()
            for data_centre in found
            if data_centre in by_data_centre
        )
        data_centre, most = max(counts.items(), key=_count_then_name, default=('', 0))
        if most < REMOTE_SHARDS_MIN:
            break
        here = sorted(shard for shard, found in left.items() if data_centre in found)
        shares.extend(_remote_shares(here, by_data_centre[data_centre], requester))
        for shard in here:
            left.pop(shard)
    return tuple(shares)


def _remote_shares(
    shards: list[str], members: dict[str, Member], requester: str
) -> list[RelayShare]:
    """Divide shards among members of one data centre, in shares of similar size."""
    count = -(-len(shards) // REMOTE_SHARDS_PER_RELAY)
    names = rank_names(f'relay/{requester}', members, count)
    return [
        RelayShare(members[name], frozenset(shards[start::count]))
        for start, name in enumerate(names)
    ]


def _count_then_name(item: tuple[str, int]) -> tuple[int, str]:
    return item[1], item[0]
