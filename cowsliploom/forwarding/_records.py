"""Merge of the greatest records from the answers of many shards."""

from collections.abc import Iterable
from heapq import nlargest
from struct import Struct

RECORD_BYTES = 16
RECORD = Struct(f'{RECORD_BYTES}s')
SLICE_BYTES = 65_536  # of a body that is split at a time
UNSORTED_MAX = 16_384  # records that are kept before the lesser ones are dropped


def split_records(body: bytes | memoryview) -> list[bytes]:
    """Return the complete records of a body; a shorter remainder is ignored.

    Examples
    --------
    >>> split_records(b'0123456789abcdef01')
    [b'0123456789abcdef']
    """
    whole = memoryview(body)[: len(body) - len(body) % RECORD_BYTES]
    return [fields[0] for fields in RECORD.iter_unpack(whole)]


def merge_records(bodies: Iterable[bytes], records_max: int) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Bodies of shard answers. Records are unordered; duplicates are kept.
    records_max : int
        Number of records to keep.
    """
    kept: list[bytes] = []
    for body in bodies:
        view = memoryview(body)
        for start in range(0, len(body), SLICE_BYTES):
            kept.extend(split_records(view[start : start + SLICE_BYTES]))
            if len(kept) > UNSORTED_MAX + records_max:
                kept = nlargest(records_max, kept)
    return b''.join(nlargest(records_max, kept))


def greatest_records(body: bytes, records_max: int) -> bytes:
    """Return a body that merges like another one, and is short.

    A body with few records is returned as it is.

    Examples
    --------
    >>> greatest_records(b'a' * 16 + b'c' * 16 + b'b' * 16, 1)
    b'cccccccccccccccc'
    """
    if len(body) <= 2 * records_max * RECORD_BYTES:
        return body
    return merge_records((body,), records_max)
