"""Messages between entry VMs, encoded as MessagePack."""

import zlib

import msgspec

from cowsliploom.members import Batch, Census, LivenessRecord, Member
from cowsliploom.protocol import DECODE_FAILURES
from cowsliploom.usage import UsageEntry

NO_UPDATES = b''
MESSAGE_VERSION = 1  # 0 in messages of releases that send all members by name
UNKNOWN_AGE_MS = 1e9  # of what was never confirmed or received
COMPRESSION_LEVEL = 1  # the fastest; it shrinks a large configuration to a tenth
UPDATES_DECODE_FAILURES = (zlib.error, *DECODE_FAILURES)
UPDATES_BYTES_MAX = 32_000_000  # decompressed; several times the whole store


class UpdatesError(ValueError):
    """Report updates that can't be decoded.

    Parameters
    ----------
    compressed_bytes : int
        Size of the updates in the message.
    reason : str
        Why decoding failed.
    """

    def __init__(self, compressed_bytes: int, reason: str) -> None:
        super().__init__(f'unreadable updates of {compressed_bytes} bytes: {reason}')
        self.compressed_bytes = compressed_bytes
        self.reason = reason


class PeerMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of the sender: live members, store revision and its age, facts.

    Parameters
    ----------
    name, address, data_centre : str
        Name, listening address and data centre of the sender.
    revision : int
        Store revision up to which the sender has all changes.
    age_ms : float
        Time since the store confirmed that revision.
    census : Census
        Ages of the members' last messages, for a receiver that knows the same members.
    sightings : tuple of WireLivenessRecord
        Ages with names and addresses, of members that the receiver may lack.
    news : bytes
        Updates that the receiver lacks, from ``encode_updates``; empty for none. They
        stay encoded, so that the receiver can forward them unchanged.
    wants_news : bool
        Whether the answer should carry the updates that the sender lacks.
    tell_on : tuple of str
        Addresses of the members to which the receiver forwards the updates.
    facts : tuple of Fact
        Facts on version moves.
    attended_age_ms : float
        Time since a member was last known to be watching the store.
    is_leaving : bool
        Whether the sender is about to stop.
    version : int
        Which fields the sender understands; unknown ones are skipped.
    outage_ages_ms : tuple of float
        Time since the sender's latest outage of the store began and since it ended;
        empty for none.
    usage : tuple of WireUsage
        Counts of usage that the receiver lacks.
    usage_reported : int
        Latest window whose usage is reported, as far as the sender knows.
    wall_ms : float
        The sender's wall clock; 0 if the receiver needs none.
    member_ages : bytes
        Ages by fingerprint of the member, from ``MemberAges.encode``, for a receiver
        that knows other members; empty otherwise.
    """

    name: str
    address: str
    data_centre: str
    revision: int
    age_ms: float
    census: Census
    sightings: tuple['WireLivenessRecord', ...] = ()
    news: bytes = NO_UPDATES
    wants_news: bool = False
    tell_on: tuple[str, ...] = ()
    facts: tuple['Fact', ...] = ()
    attended_age_ms: float = UNKNOWN_AGE_MS
    is_leaving: bool = False
    version: int = 0
    member_ages: bytes = b''
    outage_ages_ms: tuple[float, ...] = ()
    usage: tuple['WireUsage', ...] = ()
    usage_reported: int = 0
    wall_ms: float = 0

    @property
    def sender(self) -> Member:
        """The member that sent the message."""
        return Member(self.name, self.address, self.data_centre)


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """A fact on a version move."""

    key: str
    generation: int
    blob: bytes


class WireLivenessRecord(msgspec.Struct, frozen=True, array_like=True):
    """A liveness record, encoded without field names as a message holds many."""

    name: str
    address: str
    data_centre: str
    age_ms: int

    @classmethod
    def of(cls, record: LivenessRecord) -> 'WireLivenessRecord':
        """Return the encodable form of a liveness record."""
        member = record.member
        age_ms = round(record.age_ms)
        return cls(member.name, member.address, member.data_centre, age_ms)

    @property
    def liveness_record(self) -> LivenessRecord:
        """The decoded liveness record."""
        member = Member(self.name, self.address, self.data_centre)
        return LivenessRecord(member, self.age_ms)


class WireUsage(msgspec.Struct, frozen=True, array_like=True):
    """An entry of usage, encoded without field names."""

    source: str
    window: int
    sequence: int
    counts: dict[str, int]

    @classmethod
    def of(cls, entry: UsageEntry) -> 'WireUsage':
        """Return the encodable form of an entry."""
        return cls(entry.source, entry.window, entry.sequence, dict(entry.counts))

    @property
    def entry(self) -> UsageEntry:
        """The decoded entry."""
        return UsageEntry(self.source, self.window, self.sequence, self.counts)


_MESSAGE_DECODER = msgspec.msgpack.Decoder(PeerMessage)
_BATCH_DECODER = msgspec.msgpack.Decoder(Batch)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_message(text: bytes) -> PeerMessage | None:
    """Decode a message; return None if it is malformed."""
    try:
        return _MESSAGE_DECODER.decode(text)
    except DECODE_FAILURES:
        return None


def encode_updates(batch: Batch) -> bytes:
    """Encode and compress a batch; the result may be sent many times."""
    return zlib.compress(msgspec.msgpack.encode(batch), COMPRESSION_LEVEL)


def decode_updates(encoded: bytes) -> Batch | None:
    """Decode the batch of a message; return None if it carries none.

    Raises
    ------
    UpdatesError
        If the batch can't be decompressed or decoded.
    """
    if not encoded:
        return None
    decompressor = zlib.decompressobj()
    try:
        batch = _BATCH_DECODER.decode(
            decompressor.decompress(encoded, UPDATES_BYTES_MAX)
        )
    except UPDATES_DECODE_FAILURES as error:
        raise UpdatesError(len(encoded), repr(error)) from error
    return batch
