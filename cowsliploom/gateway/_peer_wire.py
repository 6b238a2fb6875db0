"""What entry VMs say to each other, as JSON over the data path."""

import msgspec

from cowsliploom.members import Batch, Sighting


class PeerMessage(msgspec.Struct, frozen=True):
    """Say who is alive, what is known here, and how old that is.

    Parameters
    ----------
    name, address, data_centre : str
        Sender, where it listens, and where it stands.
    revision : int
        The store's revision up to which the sender knows everything.
    age_ms : float
        Time since the store confirmed that.
    sightings : tuple of Sighting
        Members that the sender has heard of.
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
    sightings: tuple[Sighting, ...]
    batch: Batch | None = None
    is_leaving: bool = False


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as bytes."""
    return msgspec.json.encode(message)


def decode_message(text: bytes) -> PeerMessage | None:
    """Return the message, or None if it can't be read."""
    try:
        return msgspec.json.decode(text, type=PeerMessage)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
