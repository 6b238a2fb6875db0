from dataclasses import replace

import pytest

from cowsliploom.loadgen._arrivals import (
    ArrivalPlan,
    MixPart,
    RequestKind,
    parse_mix,
    plan_arrivals,
)

PLAN = ArrivalPlan(
    rate_per_s=200,
    duration_ms=10_000,
    mix=(
        MixPart(RequestKind.SEARCH, 'cellar', 5),
        MixPart(RequestKind.BOOKING, 'van-rota', 1),
    ),
    entries=3,
    seed=11,
    id_prefix='a',
)


def load_of(plan):
    return [(each.at_ms, each.name, each.text) for each in plan_arrivals(plan)]


def test_same_seed_produces_same_arrivals():
    assert list(plan_arrivals(PLAN)) == list(plan_arrivals(PLAN))
    assert load_of(PLAN) != load_of(replace(PLAN, seed=12))


@pytest.mark.parametrize('change', [{'entries': 8}, {'id_prefix': 'b'}])
def test_load_is_independent_of_entries_and_id_prefix(change):
    assert load_of(PLAN) == load_of(replace(PLAN, **change))


def test_arrivals_match_rate_and_mix():
    arrivals = list(plan_arrivals(PLAN))
    bookings = sum(each.kind is RequestKind.BOOKING for each in arrivals)
    assert 1850 < len(arrivals) < 2150
    assert 250 < bookings < 420
    assert {each.entry for each in arrivals} == {0, 1, 2}
    assert len({each.request_id for each in arrivals}) == len(arrivals)


@pytest.mark.parametrize('text', ['=1', 'cellar=x', 'cellar=0', 'cellar=-1'])
def test_invalid_mix_raises_value_error(text):
    with pytest.raises(ValueError, match='mix: got'):
        parse_mix(RequestKind.SEARCH, text)


@pytest.mark.parametrize(
    ('text', 'weights'),
    [('', []), ('cellar', [1]), ('cellar=5, rota=0.5', [5, 0.5])],
)
def test_mix_is_parsed(text, weights):
    assert [part.weight for part in parse_mix(RequestKind.SEARCH, text)] == weights
