"""Peer messages are unchanged after encoding and decoding."""

import pytest

from cowsliploom.adapters import _peer_codec as codec
from cowsliploom.adapters import peer_pb2
from cowsliploom.coordination import (
    AppliedMask,
    DataCentreAge,
    DataCentreSample,
    Fact,
    FetchReply,
    FetchRequest,
    Frame,
    FrameKind,
    GossipPayload,
    Member,
    MemberState,
    MemberUpdate,
)

OWN = Member('vm-1', '10.0.0.1:7000', 'gogledd', 1_790_000_000)
UPDATE = MemberUpdate(OWN, MemberState.SUSPECT, 7)
FRAMES = [
    Frame(FrameKind.PROBE, OWN),
    Frame(FrameKind.PROBE_FOR, OWN, target='vm-2', reached=False),
    Frame(
        FrameKind.ANSWER,
        OWN,
        digest=2**64 - 1,
        updates=(UPDATE,),
        samples=(DataCentreSample('de', (UPDATE,), 12),),
        ages=(DataCentreAge('de', 30, 2**32 - 1, AppliedMask(9, 3)),),
        applied_revision=9,
        applied=AppliedMask(9, 2**325 - 1),
        news=GossipPayload(9, 2**64 - 1, (Fact('veto/x', 2, b'no'),)),
    ),
]


@pytest.mark.parametrize('frame', FRAMES)
def test_frame_round_trip(frame):
    wire = codec.encode_frame(frame).SerializeToString()
    assert codec.decode_frame(peer_pb2.Frame.FromString(wire)) == frame


@pytest.mark.parametrize(
    'fetch_request', [FetchRequest(0), FetchRequest(7, True, (1, 2**64 - 1))]
)
def test_fetch_request_round_trip(fetch_request):
    wire = codec.encode_fetch_request(fetch_request).SerializeToString()
    assert (
        codec.decode_fetch_request(peer_pb2.FetchRequest.FromString(wire))
        == fetch_request
    )


@pytest.mark.parametrize(
    'fetch_reply',
    [FetchReply(), FetchReply(8, 7, 3, 4, b'x', 2**64 - 1, (Fact('k', 1, b'v'),))],
)
def test_fetch_reply_round_trip(fetch_reply):
    wire = codec.encode_fetch_reply(fetch_reply).SerializeToString()
    assert codec.decode_fetch_reply(peer_pb2.FetchReply.FromString(wire)) == fetch_reply


def test_unknown_frame_kind_raises_value_error():
    with pytest.raises(ValueError, match='99'):
        codec.decode_frame(peer_pb2.Frame(kind=99))
