"""What a peer or another writer nests too deeply is refused, and harms nothing else."""

import zlib

import msgspec
import pytest

from cowsliploom.gateway._ordered import decode_state
from cowsliploom.gateway._peer_wire import NewsError, decode_message, decode_news
from cowsliploom.gateway._relay_wire import decode_frame
from cowsliploom.gateway._stored_moves import decode_stored_move
from cowsliploom.protocol import UnreadableError
from cowsliploom.rollout import MoveState, MoveStatus, cautious_rollout

DEPTH = 100_000
DEEP = b'[' * DEPTH + b']' * DEPTH
DEEP_PACKED = bytes([0x91]) * DEPTH + bytes([0])
STATE = MoveState(0, 'v2', MoveStatus.RUNNING, 1, 0.1, 0, 0, 0)


def field(content):
    """Return a JSON object with a field that nobody asked for."""
    return b''.join((b'{"more":', content, b'}'))


@pytest.mark.parametrize('decode', [decode_message, decode_frame])
def test_messages_nested_too_deeply_are_passed_over(decode):
    assert decode(DEEP_PACKED) is None


def test_news_nested_too_deeply_are_refused():
    with pytest.raises(NewsError):
        decode_news(zlib.compress(DEEP_PACKED))


@pytest.mark.parametrize(
    'key', ['veto/one/v2/0', 'share/one', 'evidence/one/vm-2', 'unknown']
)
@pytest.mark.parametrize('blob', [DEEP, field(DEEP), DEEP_PACKED])
def test_facts_nested_too_deeply_change_nothing(key, blob):
    rollout = cautious_rollout('vm-1', 'a')
    rollout.record(0, key, 1, blob)
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
def test_states_that_cannot_be_read_are_none(content):
    assert decode_state(content) is None


@pytest.mark.parametrize(
    'odd', [{'share': 2}, {'share': 10**30}, {'step': 99}, {'step': -1}]
)
def test_states_out_of_range_are_none(odd):
    fields = {**msgspec.to_builtins(STATE), **odd}
    assert decode_state(msgspec.json.encode(fields)) is None
    assert decode_state(msgspec.json.encode(STATE)) == STATE


@pytest.mark.parametrize('content', [DEEP, field(DEEP), b'', b'[]'])
def test_stored_moves_that_cannot_be_read_are_refused(content):
    with pytest.raises(UnreadableError):
        decode_stored_move(content)
