"""Which entry VM asks which shards of a query on behalf of the one that has it."""

from dataclasses import dataclass

from cowsliploom.members import Member, rank_names

SHARDS_MIN = 40  # a query of fewer is sent out directly
SHARDS_PER_RELAY = 8  # as many calls as a slow core sends within a few milliseconds
RELAYS_MIN = 2  # other members needed; alone there is nobody to share the work with


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
