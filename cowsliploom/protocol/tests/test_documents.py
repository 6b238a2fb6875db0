"""Any malformed document or address raises the one error that callers handle."""

import msgspec
import pytest

from cowsliploom.protocol import (
    AddressError,
    UnreadableError,
    decode_json,
    decode_json_pruned,
    decode_msgpack,
    split_address,
)

DEPTH = 100_000
DEEP = b'[' * DEPTH + b']' * DEPTH
DEEP_PACKED = bytes([0x91]) * DEPTH + bytes([0])


@pytest.mark.parametrize(
    'text', [DEEP, b'{', bytes([0xFF]), b'"' + bytes([0xFF]) + b'"']
)
def test_malformed_json_raises_unreadable_error(text):
    with pytest.raises(UnreadableError):
        decode_json(text, dict)


@pytest.mark.parametrize('text', [DEEP_PACKED, b'', bytes([0xC1])])
def test_malformed_msgpack_raises_unreadable_error(text):
    with pytest.raises(UnreadableError):
        decode_msgpack(text, list)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'[1,' + DEEP + b',2]', [1, None, 2]),
        (b'[{"a":' + DEEP + b'},"[]{",3]', [None, '[]{', 3]),
        (b'[' + DEEP + b',' + DEEP + b']', [None, None]),
    ],
)
def test_pruned_decoding_keeps_entries_beside_too_deep_ones(text, expected):
    entries = decode_json_pruned(text, list[msgspec.Raw])
    decoded = [
        None if len(raw) > 60 else decode_json(bytes(raw), object) for raw in entries
    ]
    assert decoded == expected


@pytest.mark.parametrize(
    'address', ['', 'h', 'h:', 'h:x', 'h:99999', 'h:' + '9' * 5000, 'é:1', 'h:٣']
)
def test_invalid_address_raises_address_error(address):
    with pytest.raises(AddressError):
        split_address(address)
