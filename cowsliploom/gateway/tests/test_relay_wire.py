"""Relay frames survive encoding and decoding; malformed ones decode to None."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowsliploom.forwarding import RelayedPart, RelayReport
from cowsliploom.gateway._relay_wire import (
    CancelShare,
    ShareDispatched,
    ShareReport,
    ShareRequest,
    decode_frame,
    encode_frame,
)

PARTS = (RelayedPart('s1', 'sig', may_have_run=True),)
REPORT = RelayReport(PARTS, b'\x00\xff' * 8, ('i-1',))
FRAMES = (
    ShareRequest(
        1, 'r-1', 'wide', 'GET / HTTP/1.1', b'\xff', ('s1', 's2'), 50, 900.0, 40.0
    ),
    ShareDispatched(1, ('i-1', '')),
    ShareReport(1, REPORT),
    CancelShare(1),
)


@pytest.mark.parametrize('frame', FRAMES)
def test_frame_round_trip(frame):
    assert decode_frame(encode_frame(frame)) == frame


@given(st.binary(max_size=200))
def test_decoding_arbitrary_bytes_does_not_raise(content):
    decode_frame(content)


@pytest.mark.parametrize('content', [b'', b'\x91\xa3ask', msgspec.msgpack.encode(3)])
def test_malformed_frame_decodes_to_none(content):
    assert decode_frame(content) is None


def test_report_of_an_earlier_release_names_no_leaving_servers():
    earlier = msgspec.msgpack.encode(['told', 1, {'parts': [], 'records': b''}])
    assert decode_frame(earlier) == ShareReport(1, RelayReport((), b''))
