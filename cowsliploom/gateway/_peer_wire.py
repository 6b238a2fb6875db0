"""What entry VMs say to each other, as MessagePack over the data path."""

import zlib

import msgspec

from cowsliploom.members import Batch, Census, Member, LivenessRecord
from cowsliploom.protocol import DECODE_FAILURES


NO_NEWS = b''
NEVER_MS = 1e9  # age of what has never been heard
PACK_LEVEL = 1  # the quickest; a large configuration still shrinks to a tenth
NEWS_FAILURES = (zlib.error, *DECODE_FAILURES)
NEWS_BYTES_MAX = 32_000_000  # unpacked; all that the store holds, several times over


class NewsError(ValueError):
    """Report news that can't be read.

    Parameters
    ----------
    packed_bytes : int
        Their size in the message.
    reason : str
        What is wrong.
    """

    def __init__(self, packed_bytes: int, reason: str) -> None:
        super().__init__(f'news of {packed_bytes} bytes: {reason}')
        self.packed_bytes = packed_bytes
        self.reason = reason


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
    news : bytes
        What the receiver doesn't know yet, as ``encode_news`` gave it; empty for none.
        It stays encoded, as it is told on as it is.
    wants_news : bool
        Whether the answer is to carry what the sender doesn't know.
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
    news: bytes = NO_NEWS
    wants_news: bool = False
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
    def of(cls, sighting: LivenessRecord) -> 'WireSighting':
        """Return a sighting as it is sent."""
        member = sighting.member
        age_ms = round(sighting.age_ms)
        return cls(member.name, member.address, member.data_centre, age_ms)

    @property
    def sighting(self) -> LivenessRecord:
        """Return the sighting that was sent."""
        member = Member(self.name, self.address, self.data_centre)
        return LivenessRecord(member, self.age_ms)


_DECODER = msgspec.msgpack.Decoder(PeerMessage)
_NEWS_DECODER = msgspec.msgpack.Decoder(Batch)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as bytes."""
    return msgspec.msgpack.encode(message)


def decode_message(text: bytes) -> PeerMessage | None:
    """Return the message, or None if it can't be read."""
    try:
        return _DECODER.decode(text)
    except DECODE_FAILURES:
        return None


def encode_news(batch: Batch) -> bytes:
    """Return a batch as it stands in messages, packed; it may be sent many times."""
    return zlib.compress(msgspec.msgpack.encode(batch), PACK_LEVEL)


def decode_news(news: bytes) -> Batch | None:
    """Return the batch, or None if there is none.

    Raises
    ------
    NewsError
        If it can't be read.
    """
    if not news:
        return None
    unpacking = zlib.decompressobj()
    try:
        batch = _NEWS_DECODER.decode(unpacking.decompress(news, NEWS_BYTES_MAX))
    except NEWS_FAILURES as error:
        raise NewsError(len(news), repr(error)) from error
    return batch
