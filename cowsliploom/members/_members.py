"""Members of the fleet and updates about their state."""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of one incarnation of a member; the higher of two states wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One running daemon.

    Parameters
    ----------
    name : str
        Name of the entry VM, unique in the fleet.
    address : str
        ``host:port`` of its peer server, with an IP address.
    data_centre : str
        Data centre of the VM.
    incarnation : int
        Higher after each restart, such as the seconds since the epoch at start;
        incremented by one when the daemon refutes a suspicion. Default 0.
    """

    name: str
    address: str
    data_centre: str
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State of one incarnation of a member, as gossiped.

    Parameters
    ----------
    member : Member
        Member that the update is about.
    state : MemberState
        State; the higher state of one incarnation wins.
    applied_revision : int
        Highest configuration revision that this incarnation has in force.
    """

    member: Member
    state: MemberState = MemberState.ALIVE
    applied_revision: int = 0

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live; a suspected one does."""
        return self.state <= MemberState.SUSPECT


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Configuration revision that a live member has in force."""

    name: str
    data_centre: str
    applied_revision: int


def merge_updates(known: MemberUpdate, received: MemberUpdate) -> MemberUpdate:
    """Return the update that wins of two about the same member.

    Parameters
    ----------
    known, received : MemberUpdate
        Updates about the same name; their order does not matter.

    Returns
    -------
    MemberUpdate
        The one with the higher incarnation; within one incarnation, the higher
        state combined with the higher revision.
    """
    if received.member.incarnation != known.member.incarnation:
        return max(known, received, key=_incarnation)
    revision = max(known.applied_revision, received.applied_revision)
    return MemberUpdate(known.member, max(known.state, received.state), revision)


def _incarnation(update: MemberUpdate) -> int:
    return update.member.incarnation
