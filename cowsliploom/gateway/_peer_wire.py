"""What entry VMs say to each other, as JSON over the data path."""

import msgspec

from cowsliploom.members import Batch, Census, Member, Sighting


NO_NEWS = msgspec.Raw()
NEVER_MS = 1e9  # age of what has never been heard


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
    news : msgspec.Raw
        What the receiver doesn't know yet, as ``encode_news`` gave it; empty for none.
        It stays encoded, as it is told on as it is.
    tell_on : tuple of str
        Addresses of the members that the receiver is to tell.
    facts : tuple of Fact
        What all daemons are to know of version moves.
    attended_age_ms : float
        Time since somebody was known to be watching the store.
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
    news: msgspec.Raw = NO_NEWS
    tell_on: tuple[str, ...] = ()
    facts: tuple['Fact', ...] = ()
    attended_age_ms: float = NEVER_MS
    is_leaving: bool = False

    @property
    def sender(self) -> Member:
        """Return who sent the message."""
        return Member(self.name, self.address, self.data_centre)


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """Carry what one daemon tells others of a version move."""

    key: str
    generation: int
    blob: bytes


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
_NEWS_DECODER = msgspec.json.Decoder(Batch)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as bytes."""
    return msgspec.json.encode(message)


def decode_message(text: bytes) -> PeerMessage | None:
    """Return the message, or None if it can't be read."""
    try:
        return _DECODER.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def encode_news(batch: Batch) -> msgspec.Raw:
    """Return a batch as it stands in messages; it may be sent many times."""
    return msgspec.Raw(msgspec.json.encode(batch))


def decode_news(news: msgspec.Raw) -> Batch | None:
    """Return the batch, or None if there is none or it can't be read."""
    if not bytes(news):
        return None
    try:
        return _NEWS_DECODER.decode(news)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
