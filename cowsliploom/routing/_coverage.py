"""Coverage of an answer, in documents of one snapshot."""

from collections.abc import Iterable, Mapping
from heapq import nsmallest

from cowsliploom.protocol import DocRange, Hit, SearchReply
from cowsliploom.routing._messages import Coverage
from cowsliploom.routing._snapshots import Plan


def union_ranges(ranges: Iterable[DocRange]) -> tuple[DocRange, ...]:
    """Merge ranges that touch or overlap, in order of documents.

    Examples
    --------
    >>> union_ranges((DocRange(5, 9), DocRange(0, 6)))
    (DocRange(first=0, end=9),)
    """
    merged: list[DocRange] = []
    for current in sorted(ranges, key=_by_first):
        if current.end <= current.first:
            continue
        if merged and current.first <= merged[-1].end:
            last = merged.pop()
            current = DocRange(last.first, max(last.end, current.end))
        merged.append(current)
    return tuple(merged)


def count_docs(ranges: Iterable[DocRange]) -> int:
    """Return the number of distinct documents in the ranges."""
    return sum(span.end - span.first for span in union_ranges(ranges))


def measure_coverage(plan: Plan, replies: Mapping[str, SearchReply]) -> Coverage:
    """Return how much of the pinned snapshot the replies cover.

    Parameters
    ----------
    plan : Plan
        Pinned snapshot and its shard map.
    replies : mapping of str to SearchReply
        Accepted reply of each service that answered.

    Returns
    -------
    Coverage
        Covered documents, total documents, and services that are missing
        completely or in part.

    Notes
    -----
    Documents are counted in the union of the ranges in the replies: a replica
    that holds less than its shard in the shard map covers less, and a document
    held by two services is counted once.
    """
    missing = []
    spans: list[DocRange] = []
    for service, shard in plan.shards:
        reply = replies.get(service)
        if reply is None:
            missing.append(service)
            continue
        spans.extend(reply.ranges)
        if reply.ranges != shard and not _contains(reply.ranges, shard):
            missing.append(service)
    covered = min(count_docs(spans), plan.total_docs)
    return Coverage(covered, plan.total_docs, tuple(missing))


def merge_hits(replies: Iterable[SearchReply], hits_max: int) -> tuple[Hit, ...]:
    """Return the best hits of all replies, without duplicates, best first."""
    best: dict[int, Hit] = {}
    for reply in replies:
        for hit in reply.hits:
            known = best.get(hit.doc)
            if known is None or hit.score > known.score:
                best[hit.doc] = hit
    return tuple(nsmallest(hits_max, best.values(), key=_by_rank))


def _by_first(span: DocRange) -> int:
    return span.first


def _by_rank(hit: Hit) -> tuple[float, int]:
    return (-hit.score, hit.doc)


def _contains(ranges: tuple[DocRange, ...], shard: tuple[DocRange, ...]) -> bool:
    """Return whether ``ranges`` include every document of ``shard``."""
    return count_docs((*ranges, *shard)) == count_docs(ranges)
