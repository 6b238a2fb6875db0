"""The greatest records of the parts of many shards."""

from collections.abc import Iterable
from heapq import nlargest

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the whole records of a part; a shorter rest is none.

    Examples
    --------
    >>> split_records(b'0123456789abcdef01')
    [b'0123456789abcdef']
    """
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


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
