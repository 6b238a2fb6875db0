"""Frames between entry VMs survive the wire, and what isn't one is told."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowsliploom.forwarding import RelayedPart, RelayReport
from cowsliploom.gateway._relay_wire import (
    Ask,
    Asked,
    Drop,
    Told,
    decode_frame,
    encode_frame,
)

REPORT = RelayReport((RelayedPart('s1', 'sig', may_have_run=True),), b'\x00\xff' * 8)
FRAMES = (
    Ask(1, 'r-1', 'wide', 'GET / HTTP/1.1', b'\xff', ('s1', 's2'), 50, 900.0, 40.0),
    Asked(1, ('i-1', '')),
    Told(1, REPORT),
    Drop(1),
)


@pytest.mark.parametrize('frame', FRAMES)
def test_frames_survive_the_wire(frame):
    assert decode_frame(encode_frame(frame)) == frame


@given(st.binary(max_size=200))
def test_bytes_that_are_no_frame_are_passed_over(content):
    decode_frame(content)


@pytest.mark.parametrize('content', [b'', b'\x91\xa3ask', msgspec.msgpack.encode(3)])
def test_a_frame_that_cannot_be_read_is_none(content):
    assert decode_frame(content) is None
