"""Rendezvous hashing: assigns jobs to members without coordination."""

from collections.abc import Iterable

import xxhash

from cowsliploom.members._members import Member

WATCHERS_PER_DATA_CENTRE = 2  # one of them may be frozen or gone


def rendezvous_score(job: str, name: str) -> int:
    """Return the weight of ``name`` for ``job``; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f'{job}\n{name}'.encode())


def rank_names(job: str, names: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` names that rank highest for ``job``.

    Examples
    --------
    >>> ranked = rank_names('backup', ('a', 'b', 'c'), count=2)
    >>> ranked == rank_names('backup', ('c', 'b', 'a'), count=2)
    True
    """
    scored = sorted(
        ((rendezvous_score(job, name), name) for name in names), reverse=True
    )
    return tuple(name for _, name in scored[:count])


def chosen_watchers(
    members: Iterable[Member],
    data_centre: str,
    count: int = WATCHERS_PER_DATA_CENTRE,
) -> tuple[str, ...]:
    """Return the members that watch the store on behalf of a data centre.

    Parameters
    ----------
    members : iterable of Member
        Live members; those of other data centres are ignored.
    data_centre : str
        Data centre of the watchers.
    count : int
        Number of watchers. Default 2.

    Returns
    -------
    tuple of str
        Names; fewer than ``count`` when there are fewer members.

    Examples
    --------
    >>> fleet = (Member('a', '', 'de'), Member('b', '', 'gogledd'))
    >>> chosen_watchers(fleet, 'de')
    ('a',)
    """
    names = (member.name for member in members if member.data_centre == data_centre)
    return rank_names(f'watcher/{data_centre}', names, count)
