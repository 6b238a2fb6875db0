"""Messages between entry VMs about shares of queries, as msgpack frames."""

import msgspec

from cowsliploom.forwarding import RelayReport
from cowsliploom.protocol import DECODE_FAILURES


class ShareRequest(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Request that a relay carry out a share of a query.

    Parameters
    ----------
    share_id : int
        Identifies the share on its connection.
    request_id, route : str
        The caller's request id, and the name of the request's route.
    head : str
        Common start of all calls of the request.
    body : bytes
        Request body.
    shards : tuple of str
        Shards to query.
    records_max : int
        Number of greatest records needed.
    timeout_ms, report_after_ms : float
        Timeout of the calls to servers, and the time after which parts received so
        far are reported.
    """

    share_id: int
    request_id: str
    route: str
    head: str
    body: bytes
    shards: tuple[str, ...]
    records_max: int
    timeout_ms: float
    report_after_ms: float


class ShareDispatched(msgspec.Struct, frozen=True, array_like=True, tag='asked'):
    """Name the server called for each shard, in the order of the shards."""

    share_id: int
    servers: tuple[str, ...]


class ShareReport(msgspec.Struct, frozen=True, array_like=True, tag='told'):
    """Report the results of some shards of a share."""

    share_id: int
    report: RelayReport


class CancelShare(msgspec.Struct, frozen=True, array_like=True, tag='drop'):
    """Cancel a share whose result is no longer needed."""

    share_id: int


Frame = ShareRequest | ShareDispatched | ShareReport | CancelShare
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame."""
    return _ENCODER.encode(frame)


def decode_frame(content: bytes) -> Frame | None:
    """Decode a frame; return None if it is malformed."""
    try:
        return _DECODER.decode(content)
    except DECODE_FAILURES:
        return None
