"""Assignment of a query's shards to entry VMs that relay the calls."""

import itertools
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from cowsliploom.members import Member, rank_names, rendezvous_score

SHARDS_MIN = 40  # shards of a smaller query are called directly
SHARDS_PER_RELAY = 8  # calls that a slow core sends within a few milliseconds
RELAYS_MIN = 2  # other members needed to share the work
REMOTE_SHARDS_MIN = 3  # for fewer, relaying saves no traffic
REMOTE_SHARDS_PER_RELAY = 12
LARGE_DATA_CENTRE = 9  # members, from which on each server is called by few of them
RELAYS_PER_SHARE = 2  # the second one serves while the first one does not respond


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


@dataclass(frozen=True, slots=True)
class PlannedShare:
    """Shards of a query, and the members that may call them.

    Parameters
    ----------
    relays : tuple of Member
        Members in order of preference.
    shards : frozenset of str
        Shards to call.
    """

    relays: tuple[Member, ...]
    shards: frozenset[str]


def plan_relays(
    shards: tuple[str, ...],
    members: tuple[Member, ...],
    route_shards: tuple[str, ...] = (),
) -> tuple[PlannedShare, ...]:
    """Divide the shards of a query among members of the local data centre.

    Parameters
    ----------
    shards : tuple of str
        Shards with a server in the local data centre.
    members : tuple of Member
        Live members of the local data centre, without the requesting one.
    route_shards : tuple of str
        All shards of the route. By default ``shards``.

    Returns
    -------
    tuple of PlannedShare
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
    named = {member.name: member for member in members}
    return _shares_by_shard(shards, named, route_shards or shards)


def plan_remote_relays(
    data_centres: Mapping[str, frozenset[str]],
    members: tuple[Member, ...],
    requester: str,
    route_shards: tuple[str, ...] = (),
) -> tuple[PlannedShare, ...]:
    """Assign the shards without a local server to members of other data centres.

    The relay sends one merged answer between data centres, instead of one per shard.

    Parameters
    ----------
    data_centres : mapping of str to frozenset of str
        Data centres with a server, for each shard without a local server.
    members : tuple of Member
        Live members of other data centres.
    requester : str
        Name of the requesting member; different requesters use different relays in
        small data centres, and different data centres that have as many of the shards.
    route_shards : tuple of str
        All shards of the route. By default those of ``data_centres``.

    Returns
    -------
    tuple of PlannedShare
        Shares; few, as the data centre with the most shards is taken first.

    Notes
    -----
    In a large data centre all requesters use the same relays for a shard. Each member
    of a large fleet sees few requests: only where those for a server meet are there
    open connections to it and a recent latency.
    """
    by_data_centre: dict[str, dict[str, Member]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, {})[member.name] = member
    left = dict(data_centres)
    shares: list[PlannedShare] = []
    while True:
        data_centre = _fullest_data_centre(left, by_data_centre, requester)
        here = tuple(sorted(name for name in left if data_centre in left[name]))
        there = by_data_centre.get(data_centre, {})
        if len(here) < REMOTE_SHARDS_MIN or not there:
            return tuple(shares)
        if len(there) < LARGE_DATA_CENTRE:
            shares.extend(_shares_by_requester(here, there, requester))
        else:
            of_route = route_shards or tuple(data_centres)
            shares.extend(_shares_by_shard(here, there, of_route))
        for shard in here:
            left.pop(shard)


def _fullest_data_centre(
    data_centres: Mapping[str, frozenset[str]], known: Iterable[str], requester: str
) -> str:
    """Return the known data centre with a server for the most shards, or ''."""
    counts = Counter(
        data_centre
        for found in data_centres.values()
        for data_centre in found.intersection(known)
    )
    ranked = (
        (most, rendezvous_score(f'remote/{requester}', data_centre), data_centre)
        for data_centre, most in counts.items()
    )
    return max(ranked, default=(0, 0, ''))[-1]


def _shares_by_shard(
    shards: tuple[str, ...], members: dict[str, Member], route_shards: tuple[str, ...]
) -> tuple[PlannedShare, ...]:
    """Divide shards among members by the shards alone, whoever requests them.

    Shares are cut from the whole route, so that a shard without a server here leaves
    the others with their relays.
    """
    ordered = sorted(route_shards)
    free = set(members)
    shares = []
    for start in range(0, len(ordered), SHARDS_PER_RELAY):
        part = ordered[start : start + SHARDS_PER_RELAY]
        relays = _relays_of_part(part[0], members, free)
        if not relays:
            break
        free.discard(relays[0].name)
        in_share = frozenset(part).intersection(shards)
        if in_share:
            shares.append(PlannedShare(relays, in_share))
    return tuple(shares)


def _relays_of_part(
    first_shard: str, members: dict[str, Member], free: Collection[str]
) -> tuple[Member, ...]:
    """Return the relays of a part of a route; the first one calls no other part."""
    ranked = rank_names(f'relay/{first_shard}', members, len(members))
    first = next((name for name in ranked if name in free), None)
    if first is None:
        return ()
    others = (name for name in ranked if name != first)
    names = (first, *itertools.islice(others, RELAYS_PER_SHARE - 1))
    return tuple(members[name] for name in names)


def _shares_by_requester(
    shards: tuple[str, ...], members: dict[str, Member], requester: str
) -> tuple[PlannedShare, ...]:
    """Divide shards among members, in shares of similar size."""
    count = -(-len(shards) // REMOTE_SHARDS_PER_RELAY)
    names = rank_names(f'relay/{requester}', members, count)
    return tuple(
        PlannedShare((members[name],), frozenset(shards[start::count]))
        for start, name in enumerate(names)
    )
