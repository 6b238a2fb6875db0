"""Peer frames survive the wire unchanged."""

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
    Member,
    MemberState,
    MemberUpdate,
    GossipPayload,
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
def test_frame_is_decoded_as_it_was(frame):
    wire = codec.encode_frame(frame).SerializeToString()
    assert codec.decode_frame(peer_pb2.Frame.FromString(wire)) == frame


@pytest.mark.parametrize(
    'ask', [FetchRequest(0), FetchRequest(7, True, (1, 2**64 - 1))]
)
def test_ask_is_decoded_as_it_was(ask):
    wire = codec.encode_fetch_request(ask).SerializeToString()
    assert codec.decode_fetch_request(peer_pb2.FetchRequest.FromString(wire)) == ask


@pytest.mark.parametrize(
    'answer',
    [FetchReply(), FetchReply(8, 7, 3, 4, b'x', 2**64 - 1, (Fact('k', 1, b'v'),))],
)
def test_answer_is_decoded_as_it_was(answer):
    wire = codec.encode_fetch_reply(answer).SerializeToString()
    assert codec.decode_fetch_reply(peer_pb2.FetchReply.FromString(wire)) == answer


def test_unknown_kind_is_refused():
    with pytest.raises(ValueError, match='99'):
        codec.decode_frame(peer_pb2.Frame(kind=99))
