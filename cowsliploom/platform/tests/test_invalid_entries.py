"""Invalid store entries of other writers are rejected one by one."""

import msgspec
import pytest

from cowsliploom.platform import (
    DocumentError,
    decode_configuration,
    decode_move_order,
    decode_server,
)

DEEP = b'[' * 100_000 + b']' * 100_000
ENTRY = {
    'service': 's',
    'address': '127.0.0.1:8000',
    'zone': 'de',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 1,
    'born': 1,
}
INVALID_FIELDS = {
    'port_out_of_range': {'address': '127.0.0.1:99999'},
    'port_0': {'address': '127.0.0.1:0'},
    'port_of_many_digits': {'address': '127.0.0.1:' + '9' * 5000},
    'port_in_non_ascii_digits': {'address': '127.0.0.1:٣٣'},
    'long_host': {'address': 'h' * 300 + ':80'},
    'non_ascii_host': {'address': 'é:80'},
    'host_name': {'address': 'backend.example:80'},
    'empty_label': {'address': 'a..b:80'},
    'long_label': {'address': f'{"x" * 70}.example:80'},
    'no_host': {'address': ':80'},
    'part_of_an_ip_address': {'address': '127.1:80'},
    'blank_before_the_host': {'address': ' 127.0.0.1:80'},
    'huge_slots': {'slots': 10**30},
    'huge_sequence': {'sequence': 10**30},
    'huge_born': {'born': 10**30},
    'huge_cold_time': {'coldRemainingMs': 10**30},
    'negative_sequence': {'sequence': -1},
}


@pytest.mark.parametrize('address', ['127.0.0.1:8000', '[::1]:80', '0.0.0.0:65535'])
def test_valid_entry_is_decoded(address):
    text = msgspec.json.encode({**ENTRY, 'address': address})
    assert decode_server('servers/a', text).slots == 2


@pytest.mark.parametrize('case', INVALID_FIELDS)
def test_entry_with_an_out_of_range_field_is_rejected(case):
    text = msgspec.json.encode({**ENTRY, **INVALID_FIELDS[case]})
    with pytest.raises(DocumentError):
        decode_server('servers/a', text)


@pytest.mark.parametrize(
    'name',
    [
        '',
        ' ',
        'a ',
        '\ta',
        'ŵ',
        'a\r\nx: y',
        'a\nb',
        'a\rb',
        'a\x00b',
        'a\x7fb',
        'a\x85b',
    ],
)
def test_entry_whose_name_no_header_can_hold_is_rejected(name):
    """Guard against requests that fail as the head of a call can't be rendered."""
    with pytest.raises(DocumentError, match='no header'):
        decode_server(f'servers/{name}', msgspec.json.encode(ENTRY))


@pytest.mark.parametrize('name', ['i-7f3a91c2', 'a b', 'x' * 190, 'a,b;c=d'])
def test_entry_whose_name_a_header_can_hold_is_decoded(name):
    entry = decode_server(f'servers/{name}', msgspec.json.encode(ENTRY))
    assert entry.name == name


@pytest.mark.parametrize(
    'decode',
    [
        lambda text: decode_server('servers/a', text),
        lambda text: decode_move_order('op/rollout/s', text, 1),
        decode_configuration,
    ],
    ids=['server', 'order', 'configuration'],
)
@pytest.mark.parametrize('text', [DEEP, b'{"x":' + DEEP + b'}'], ids=['list', 'field'])
def test_too_deeply_nested_document_is_rejected(decode, text):
    with pytest.raises(DocumentError):
        decode(text)
