"""Members of the fleet, and what is told of them."""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """Order what is told of one incarnation of a member; a higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """Identify one running daemon.

    Parameters
    ----------
    name : str
        Name of the entry VM, unique in the fleet.
    address : str
        ``host:port`` of its peer server, with an IP number.
    data_centre : str
        Data centre that the VM stands in.
    incarnation : int
        Raised at each restart, such as the seconds since the epoch at start,
        and by one when the daemon refutes a suspicion. Default 0.
    """

    name: str
    address: str
    data_centre: str
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Tell the state of one incarnation of a member.

    Parameters
    ----------
    member : Member
        Whom the update is about.
    state : MemberState
        What is told; a higher state of one incarnation wins.
    applied_revision : int
        Highest configuration revision that this incarnation has in force.
    """

    member: Member
    state: MemberState = MemberState.ALIVE
    applied_revision: int = 0

    @property
    def is_live(self) -> bool:
        """Tell whether the member still counts; a suspect does."""
        return self.state <= MemberState.SUSPECT


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Tell which configuration revision a live member has in force."""

    name: str
    data_centre: str
    applied_revision: int


def merge_updates(known: MemberUpdate, heard: MemberUpdate) -> MemberUpdate:
    """Return the stronger of two updates on the same member.

    Parameters
    ----------
    known, heard : MemberUpdate
        Updates on the same name; their order does not matter.

    Returns
    -------
    MemberUpdate
        The one of the higher incarnation; of one incarnation, the higher state
        with the higher revision.
    """
    if heard.member.incarnation != known.member.incarnation:
        return max(known, heard, key=_incarnation)
    revision = max(known.applied_revision, heard.applied_revision)
    return MemberUpdate(known.member, max(known.state, heard.state), revision)


def _incarnation(update: MemberUpdate) -> int:
    return update.member.incarnation
