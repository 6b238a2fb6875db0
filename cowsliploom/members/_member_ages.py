"""Ages of members by fingerprint, for a peer that may know other members."""

import struct
from dataclasses import dataclass

import xxhash

from cowsliploom.members._members import Member

AGE_UNIT_MS = 10
AGE_UNITS_MAX = 0xFFFF
FINGERPRINT_MASK = 0xFFFFFFFF  # two of some hundred members hardly ever share one
ENTRY_BYTES = 6


def fingerprint(member: Member) -> int:
    """Return four bytes that stand for a member's name, address and data centre."""
    text = f'{member.name}\t{member.address}\t{member.data_centre}'
    return xxhash.xxh3_64_intdigest(text.encode()) & FINGERPRINT_MASK


@dataclass(frozen=True, slots=True)
class MemberAges:
    """Time since each member sent a message, without the members' names.

    Parameters
    ----------
    ages_ms : dict of int to float
        Age by the fingerprint of the member.

    Examples
    --------
    >>> ages = MemberAges({7: 120.0, 9: 0.0})
    >>> len(ages.encode())
    12
    >>> MemberAges.decode(ages.encode()) == ages
    True
    """

    ages_ms: dict[int, float]

    def encode(self) -> bytes:
        """Return the ages in six bytes for each member, rounded up to 10 ms."""
        units = [
            min(AGE_UNITS_MAX, -(-int(age_ms) // AGE_UNIT_MS))
            for age_ms in self.ages_ms.values()
        ]
        return struct.pack(f'<{len(units)}I{len(units)}H', *self.ages_ms, *units)

    @classmethod
    def decode(cls, encoded: bytes) -> 'MemberAges':
        """Return the ages; a part of an entry at the end is ignored."""
        count = len(encoded) // ENTRY_BYTES
        entries = struct.unpack_from(f'<{count}I{count}H', encoded)
        ages_ms = (float(units * AGE_UNIT_MS) for units in entries[count:])
        return cls(dict(zip(entries[:count], ages_ms)))
