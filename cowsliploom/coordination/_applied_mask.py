"""Bit mask of the members that have a configuration revision in force."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from cowsliploom.members import MemberUpdate


@dataclass(frozen=True, slots=True)
class AppliedMask:
    """Mark which members of a shared order have a revision in force.

    Parameters
    ----------
    revision : int
        Configuration revision that the mask refers to.
    mask : int
        Bit ``i`` is set if member ``i`` of the order has the revision in force.

    Notes
    -----
    Both ends must have the same members in the same order, which equal digests on
    the same frame confirm. One bit per member replaces an update of some 40 bytes
    per member and change, which dominated the traffic as the fleet grew.
    """

    revision: int = 0
    mask: int = 0


def mask_of(updates: Sequence[MemberUpdate], revision: int) -> AppliedMask:
    """Return which members have at least ``revision`` in force."""
    mask = 0
    for index, update in enumerate(updates):
        if update.applied_revision >= revision:
            mask |= 1 << index
    return AppliedMask(revision, mask)


def newest_mask(updates: Sequence[MemberUpdate]) -> AppliedMask:
    """Return which members have the highest revision among them in force."""
    revision = max((update.applied_revision for update in updates), default=0)
    return mask_of(updates, revision)


def raise_applied(
    updates: Sequence[MemberUpdate], applied: AppliedMask
) -> tuple[MemberUpdate, ...]:
    """Return the updates with the revision set where the mask marks a member."""
    return tuple(
        replace(update, applied_revision=applied.revision)
        if applied.mask >> index & 1 and update.applied_revision < applied.revision
        else update
        for index, update in enumerate(updates)
    )
