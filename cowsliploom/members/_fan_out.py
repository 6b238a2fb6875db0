"""Fan-out of updates: each member sends to a few others, which forward the rest."""

from collections.abc import Sequence
from typing import TypeVar

FAN_OUT = 3  # direct recipients of one member; a slow link carries few copies in time

Recipient = TypeVar('Recipient')


def fan_out_groups(
    members: Sequence[Recipient], fan_out: int = FAN_OUT
) -> tuple[Sequence[Recipient], ...]:
    """Split recipients into groups; the first of each group forwards to the others.

    Parameters
    ----------
    members : sequence
        Recipients.
    fan_out : int
        Largest number of groups. Default 3.

    Returns
    -------
    tuple of sequence
        Groups of nearly equal size, none of them empty.

    Examples
    --------
    >>> fan_out_groups('abcdefg')
    ('adg', 'be', 'cf')
    >>> fan_out_groups('ab')
    ('a', 'b')
    """
    groups = min(fan_out, len(members))
    return tuple(members[start::groups] for start in range(groups))
