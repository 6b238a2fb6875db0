"""What entry VMs say to each other, as JSON over the data path."""

import msgspec

from cowsliploom.members import Batch, Census, Member, Sighting


class PeerMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Say who is alive, what is known here, and how old that is.

    Parameters
    ----------
    name, address, data_centre : str
        Sender, where it listens, and where it stands.
    revision : int
        The store's revision up to which the sender knows everything.
    age_ms : float
        Time since the store confirmed that.
    census : Census
        When each member was last heard of, for a receiver that knows the same ones.
    sightings : tuple of WireSighting
        The same with names and addresses, where the receiver may know others.
    batch : Batch or None
        What the receiver doesn't know yet; only in answers.
    is_leaving : bool
        Whether the sender is about to stop.
    """

    name: str
    address: str
    data_centre: str
    revision: int
    age_ms: float
    census: Census
    sightings: tuple['WireSighting', ...] = ()
    batch: Batch | None = None
    is_leaving: bool = False

    @property
    def sender(self) -> Member:
        """Return who sent the message."""
        return Member(self.name, self.address, self.data_centre)


class WireSighting(msgspec.Struct, frozen=True, array_like=True):
    """Carry a sighting; without names of fields, as there are many in a message."""

    name: str
    address: str
    data_centre: str
    age_ms: int

    @classmethod
    def of(cls, sighting: Sighting) -> 'WireSighting':
        """Return a sighting as it is sent."""
        member = sighting.member
        age_ms = round(sighting.age_ms)
        return cls(member.name, member.address, member.data_centre, age_ms)

    @property
    def sighting(self) -> Sighting:
        """Return the sighting that was sent."""
        member = Member(self.name, self.address, self.data_centre)
        return Sighting(member, self.age_ms)


_DECODER = msgspec.json.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as bytes."""
    return msgspec.json.encode(message)


def decode_message(text: bytes) -> PeerMessage | None:
    """Return the message, or None if it can't be read."""
    try:
        return _DECODER.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
