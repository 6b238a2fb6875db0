"""The greatest records of the parts of many shards."""

from collections.abc import Iterable
from heapq import nlargest
from struct import Struct

RECORD_BYTES = 16
RECORD = Struct(f'{RECORD_BYTES}s')


def split_records(body: bytes) -> list[bytes]:
    """Return the whole records of a part; a shorter rest is none.

    Examples
    --------
    >>> split_records(b'0123456789abcdef01')
    [b'0123456789abcdef']
    """
    whole = memoryview(body)[: len(body) - len(body) % RECORD_BYTES]
    return [fields[0] for fields in RECORD.iter_unpack(whole)]


def merge_records(bodies: Iterable[bytes], records_max: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Bodies of the parts; their records are in no order, and equal ones all count.
    records_max : int
        Records to keep.
    """
    records = [record for body in bodies for record in split_records(body)]
    return b''.join(nlargest(records_max, records))
