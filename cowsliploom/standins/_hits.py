"""Deterministic hits that tests can recompute from the query."""

import xxhash

from cowsliploom.protocol import DocRange, Hit

HITS_PER_RANGE = 3
SCORE_STEPS = 10_000


def expected_hits(
    service: str, ranges: tuple[DocRange, ...], text: str, hits_max: int
) -> tuple[Hit, ...]:
    """Return the hits of a text in document ranges, highest score first.

    Examples
    --------
    >>> one = expected_hits('a', (DocRange(0, 100),), 'error 7', hits_max=2)
    >>> one == expected_hits('a', (DocRange(0, 100),), 'error 7', hits_max=2)
    True
    """
    hits = [
        _hit(service, doc_range, text, rank)
        for doc_range in ranges
        for rank in range(HITS_PER_RANGE)
    ]
    hits.sort(key=lambda hit: (-hit.score, hit.doc))
    return tuple(hits[:hits_max])


def _hit(service: str, doc_range: DocRange, text: str, rank: int) -> Hit:
    seed = f'{service}/{doc_range.first}-{doc_range.end}/{rank}/{text}'
    digest = xxhash.xxh64_intdigest(seed.encode())
    doc = doc_range.first + digest % max(doc_range.end - doc_range.first, 1)
    return Hit(doc, (digest % SCORE_STEPS) / SCORE_STEPS, f'{service} {doc}')
