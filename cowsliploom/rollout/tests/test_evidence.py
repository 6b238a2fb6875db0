"""Evidence exchanged by daemons: codec, size limit, and no call counted twice."""

import pytest

from cowsliploom.rollout import (
    Evidence,
    EvidenceError,
    EvidenceReceived,
    Judge,
    Move,
    MovesDeclared,
    decode_evidence,
)
from cowsliploom.rollout._counts import Counts
from cowsliploom.rollout._evidence import ROWS_MAX, RowKey, encode_evidence

MOVE = Move('move', 'rota', 'v1', 'v2', 1, 60_000)


def evidence(calls: int, incarnation: str = 'a', generation: int = 1) -> Evidence:
    rows = {RowKey('route', 'v2-0'): Counts(calls=calls)}
    return Evidence('entry-2', incarnation, 'move', 'v2', generation, rows)


def judge_with(received: list[Evidence]) -> Judge:
    """Return a judge that has received the given evidence."""
    judge = Judge('entry-1', 'a')
    judge.step(MovesDeclared(0, (MOVE,), entries=2))
    for item in received:
        judge.step(EvidenceReceived(0, item))
    return judge


def test_encoding_round_trip():
    sent = evidence(7)
    assert decode_evidence(encode_evidence(sent)) == sent


@pytest.mark.parametrize(
    'blob', [b'', b'\x00', b'no', encode_evidence(evidence(1))[1:]]
)
def test_malformed_evidence_raises_error(blob):
    with pytest.raises(EvidenceError):
        decode_evidence(blob)


def test_encoded_size_is_bounded():
    rows = {
        RowKey(f'route-{number}', 'server-with-a-name'): Counts(calls=10**6)
        for number in range(1000)
    }
    blob = encode_evidence(Evidence('entry-2', 'a', 'move', 'v2', 1, rows))
    assert len(decode_evidence(blob).rows) == ROWS_MAX
    assert len(blob) < 1500


@pytest.mark.parametrize(
    ('received', 'samples'),
    [
        ([evidence(5), evidence(5)], 5),
        ([evidence(5), evidence(9)], 9),
        ([evidence(9), evidence(5)], 9),
        ([evidence(5), evidence(3, incarnation='b')], 8),
        ([evidence(5, generation=2)], 0),
    ],
)
def test_repeated_evidence_is_counted_once(received, samples):
    assert judge_with(received).samples('move') == samples


@pytest.mark.parametrize(
    ('received', 'requests'),
    [
        ([evidence(500)], 0),
        ([evidence(500), evidence(500)], 0),
        ([evidence(500), evidence(504)], 4),
        ([evidence(500), evidence(3, incarnation='b')], 3),
    ],
)
def test_requests_exclude_calls_before_first_evidence(received, requests):
    assert judge_with(received).requests('move') == requests
