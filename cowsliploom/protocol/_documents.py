"""Decoding of documents from untrusted sources."""

import re
from collections.abc import Callable
from typing import TypeVar

import msgspec

_Document = TypeVar('_Document')

DEPTH_MAX = 64  # deeper than any document type of this project
_PLACEHOLDER = b'"nested too deeply"'
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING = (b'[', b'{')
_CLOSING = (b']', b'}')

# The decoder recurses into unknown fields too, so deep nesting raises RecursionError.
DECODE_FAILURES = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class UnreadableError(msgspec.DecodeError):
    """Report a document that can not be decoded, for whatever cause.

    Parameters
    ----------
    reason : str
        Error text of the decoder.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class TooDeepError(UnreadableError):
    """Report a document nested more deeply than the decoder can recurse."""

    def __init__(self) -> None:
        super().__init__('nested too deeply')


def decode_json(content: bytes | str, target_type: type[_Document]) -> _Document:
    """Decode a JSON document as an instance of a type.

    Raises
    ------
    UnreadableError
        If it is not JSON, of another type, or nested too deeply.

    Examples
    --------
    >>> from cowsliploom.protocol import decode_json
    >>> decode_json(b'[1, 2]', list[int])
    [1, 2]
    """
    return _decode(msgspec.json.decode, content, target_type)


def decode_msgpack(content: bytes, target_type: type[_Document]) -> _Document:
    """Decode a MessagePack document as an instance of a type.

    Raises
    ------
    UnreadableError
        If it is not MessagePack, of another type, or nested too deeply.

    Examples
    --------
    >>> from cowsliploom.protocol import decode_msgpack
    >>> decode_msgpack(bytes([0x92, 1, 2]), list[int])
    [1, 2]
    """
    return _decode(msgspec.msgpack.decode, content, target_type)


def decode_json_pruned(content: bytes, target_type: type[_Document]) -> _Document:
    """Decode a JSON document, replacing values that are nested too deeply.

    If the whole document is too deep to decode, its values nested ``DEPTH_MAX`` levels
    deep are replaced by a string. Used where a document holds entries of several
    writers, so that one malformed entry does not make the others unreadable.

    Raises
    ------
    UnreadableError
        If it is not JSON, or of another type.

    Examples
    --------
    >>> from cowsliploom.protocol import decode_json_pruned
    >>> decode_json_pruned(b'[1, ' + b'[' * 10**5 + b']' * 10**5 + b']', list)[0]
    1
    """
    try:
        return decode_json(content, target_type)
    except TooDeepError:
        return decode_json(_prune_deep_values(content), target_type)


def _decode(
    decode: Callable[..., _Document], content: bytes | str, target_type: type[_Document]
) -> _Document:
    try:
        return decode(content, type=target_type)
    except RecursionError as error:
        raise TooDeepError() from error
    except DECODE_FAILURES as error:
        raise UnreadableError(str(error)) from error


def _prune_deep_values(content: bytes) -> bytes:
    """Replace arrays and objects at depth ``DEPTH_MAX`` by a placeholder string."""
    kept, depth, start = [], 0, 0
    for token in _TOKENS.finditer(content):
        if token[0] in _OPENING:
            depth += 1
            if depth == DEPTH_MAX:
                kept.append(content[start : token.start()] + _PLACEHOLDER)
        elif token[0] in _CLOSING:
            if depth == DEPTH_MAX:
                start = token.end()
            depth -= 1
    return b''.join((*kept, content[start:]))
