"""Evidence between daemons: codec, bounds, and no call counted twice."""

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


def told(heard: list[Evidence]) -> Judge:
    """Return a judge that was told some evidence."""
    judge = Judge('entry-1', 'a')
    judge.step(MovesDeclared(0, (MOVE,), entries=2))
    for one in heard:
        judge.step(EvidenceReceived(0, one))
    return judge


def test_evidence_survives_the_wire():
    sent = evidence(7)
    assert decode_evidence(encode_evidence(sent)) == sent


@pytest.mark.parametrize(
    'blob', [b'', b'\x00', b'no', encode_evidence(evidence(1))[1:]]
)
def test_broken_evidence_is_an_error(blob):
    with pytest.raises(EvidenceError):
        decode_evidence(blob)


def test_evidence_is_bounded_in_bytes():
    rows = {
        RowKey(f'route-{number}', 'server-with-a-name'): Counts(calls=10**6)
        for number in range(1000)
    }
    blob = encode_evidence(Evidence('entry-2', 'a', 'move', 'v2', 1, rows))
    assert len(decode_evidence(blob).rows) == ROWS_MAX
    assert len(blob) < 1500


@pytest.mark.parametrize(
    ('heard', 'samples'),
    [
        ([evidence(5), evidence(5)], 5),
        ([evidence(5), evidence(9)], 9),
        ([evidence(9), evidence(5)], 9),
        ([evidence(5), evidence(3, incarnation='b')], 8),
        ([evidence(5, generation=2)], 0),
    ],
)
def test_repeated_evidence_counts_once(heard, samples):
    assert told(heard).samples('move') == samples


@pytest.mark.parametrize(
    ('heard', 'requests'),
    [
        ([evidence(500)], 0),
        ([evidence(500), evidence(500)], 0),
        ([evidence(500), evidence(504)], 4),
        ([evidence(500), evidence(3, incarnation='b')], 3),
    ],
)
def test_calls_of_long_ago_tell_nothing_of_the_requests_to_come(heard, requests):
    assert told(heard).requests('move') == requests
