"""Whole numbers in headers, read in one place into a bounded value."""

DIGITS_MAX = 9  # more than any size, time in seconds or load


def parse_count(text: str) -> int | None:
    """Return a whole number without sign; None for any other text.

    Examples
    --------
    >>> parse_count('12'), parse_count('²'), parse_count('1e3'), parse_count('9' * 400)
    (12, None, None, None)
    """
    is_number = text.isascii() and text.isdecimal() and len(text) <= DIGITS_MAX
    return int(text) if is_number else None
