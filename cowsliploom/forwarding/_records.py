"""Merge of the greatest records from the answers of many shards."""

from collections.abc import Iterable
from heapq import nlargest
from struct import Struct

RECORD_BYTES = 16
RECORD = Struct(f'{RECORD_BYTES}s')


def split_records(body: bytes) -> list[bytes]:
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
    records = [record for body in bodies for record in split_records(body)]
    return b''.join(nlargest(records_max, records))
