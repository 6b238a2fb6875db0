"""Which members have the newest configuration in force, as a bit mask."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from cowsliploom.members import MemberUpdate


@dataclass(frozen=True, slots=True)
class AppliedMask:
    """Tell which members of an agreed order have a revision in force.

    Parameters
    ----------
    revision : int
        Configuration revision that the mask is about.
    mask : int
        Bit ``i`` stands for member ``i`` of the order.

    Notes
    -----
    Both ends must have the same members in the same order; the digest on the same
    frame tells. One bit a member replaces an update of some 40 bytes for each
    member and each change, which outgrew all else as the fleet grew.
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
    """Return which members have the highest revision of them all in force."""
    revision = max((update.applied_revision for update in updates), default=0)
    return mask_of(updates, revision)


def raise_applied(
    updates: Sequence[MemberUpdate], applied: AppliedMask
) -> tuple[MemberUpdate, ...]:
    """Return the updates with the revision that a mask tells of."""
    return tuple(
        replace(update, applied_revision=applied.revision)
        if applied.mask >> index & 1 and update.applied_revision < applied.revision
        else update
        for index, update in enumerate(updates)
    )
