"""Who tells whom of news, so that no member has to tell all others itself."""

from collections.abc import Sequence
from typing import TypeVar

FAN_OUT = 3  # members that one member tells; a weak link carries few copies in time

Told = TypeVar('Told')


def fan_out_groups(
    members: Sequence[Told], fan_out: int = FAN_OUT
) -> tuple[Sequence[Told], ...]:
    """Divide members into groups; the first of each is told, and tells the rest.

    Parameters
    ----------
    members : sequence
        Who is to hear.
    fan_out : int
        Greatest number of groups. Default 3.

    Returns
    -------
    tuple of sequence
        Groups of nearly equal size, none of them empty.

    Examples
    --------
    >>> divide_to_tell('abcdefg')
    ('adg', 'be', 'cf')
    >>> divide_to_tell('ab')
    ('a', 'b')
    """
    groups = min(fan_out, len(members))
    return tuple(members[start::groups] for start in range(groups))
