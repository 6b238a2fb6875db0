"""Decoding that rejects unknown fields.

A fault with a misspelt field name would otherwise have no effect, and the test
that sets it would pass for the wrong reason.
"""

from typing import TypeVar

import msgspec

Shape = TypeVar('Shape')


def convert_strictly(raw: object, shape: type[Shape]) -> Shape:
    """Convert decoded JSON or YAML to a message type.

    Raises
    ------
    msgspec.MsgspecError
        If a value has the wrong type.
    ValueError
        If a field is unknown.

    Examples
    --------
    >>> from cowsliploom.protocol import DocRange
    >>> convert_strictly({'first': 0, 'end': 9}, DocRange)
    DocRange(first=0, end=9)
    """
    converted = msgspec.convert(raw, shape)
    _check_known(raw, msgspec.to_builtins(converted), 'body')
    return converted


def _check_known(raw: object, known: object, path: str) -> None:
    """Raise ``ValueError`` for the first field of the input that was not decoded."""
    match raw, known:
        case dict(), dict():
            for name, part in raw.items():
                if name not in known:
                    expected = ', '.join(sorted(known))
                    raise ValueError(f'{path}: got {name!r}, expected {expected}')
                _check_known(part, known[name], f'{path}.{name}')
        case list(), list() | tuple():
            for part, known_part in zip(raw, known, strict=True):
                _check_known(part, known_part, path)
