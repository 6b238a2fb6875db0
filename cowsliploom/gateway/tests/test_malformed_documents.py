"""Deeply nested or malformed input of peers and other writers is rejected."""

import zlib

import msgspec
import pytest

from cowsliploom.gateway._active_order import decode_state
from cowsliploom.gateway._peer_wire import UpdatesError, decode_message, decode_updates
from cowsliploom.gateway._relay_wire import decode_frame
from cowsliploom.gateway._stored_moves import decode_stored_move
from cowsliploom.protocol import UnreadableError
from cowsliploom.rollout import MoveState, MoveStatus, cautious_rollout

DEPTH = 100_000
DEEP = b'[' * DEPTH + b']' * DEPTH
DEEP_PACKED = bytes([0x91]) * DEPTH + bytes([0])
STATE = MoveState(0, 'v2', MoveStatus.RUNNING, 1, 0.1, 0, 0, 0)


def field(content):
    """Return a JSON object with an unknown field."""
    return b''.join((b'{"more":', content, b'}'))


@pytest.mark.parametrize('decode', [decode_message, decode_frame])
def test_deeply_nested_message_decodes_to_none(decode):
    assert decode(DEEP_PACKED) is None


def test_deeply_nested_updates_raise_an_error():
    with pytest.raises(UpdatesError):
        decode_updates(zlib.compress(DEEP_PACKED))


@pytest.mark.parametrize(
    'key', ['veto/one/v2/0', 'share/one', 'evidence/one/vm-2', 'unknown']
)
@pytest.mark.parametrize('blob', [DEEP, field(DEEP), DEEP_PACKED])
def test_deeply_nested_fact_changes_nothing(key, blob):
    rollout = cautious_rollout('vm-1', 'a')
    rollout.handle_fact(0, key, 1, blob)
    assert not rollout.vetoes()
    assert rollout.unreadable_facts() == (key != 'unknown')


@pytest.mark.parametrize(
    'content',
    [
        DEEP,
        field(DEEP),
        b'',
        b'{"to_version":"v2"}',
    ],
)
def test_unreadable_state_decodes_to_none(content):
    assert decode_state(content) is None


@pytest.mark.parametrize(
    'invalid', [{'share': 2}, {'share': 10**30}, {'step': 99}, {'step': -1}]
)
def test_state_out_of_range_decodes_to_none(invalid):
    fields = {**msgspec.to_builtins(STATE), **invalid}
    assert decode_state(msgspec.json.encode(fields)) is None
    assert decode_state(msgspec.json.encode(STATE)) == STATE


@pytest.mark.parametrize('content', [DEEP, field(DEEP), b'', b'[]'])
def test_unreadable_stored_move_raises_an_error(content):
    with pytest.raises(UnreadableError):
        decode_stored_move(content)
