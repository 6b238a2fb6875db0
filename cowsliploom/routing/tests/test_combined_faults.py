"""Invariants of all queries under random faults of all kinds."""

import random
from collections import Counter

import pytest

from cowsliploom.routing import Router, RouterSettings
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.faults import inject_random_fault
from cowsliploom.routing.tests.loop import Loop

SERVICES = 8


def run_under_faults(seed, entries=3):
    routers = [
        Router(f'e{number}', samples.DATA_CENTRES[number], RouterSettings(), seed)
        for number in range(entries)
    ]
    loop = Loop(routers, services=SERVICES, seed=seed, straggler_ratio=0.01)
    loop.plan_arrivals(150, 100, 3000, ('urgent', 'briefing', 'idle'))
    loop.at(500, inject_random_fault, loop, random.Random(seed))
    loop.run(3600)
    return loop


@pytest.fixture(scope='module', params=range(5))
def loop(request):
    return run_under_faults(request.param)


def answers_of(loop):
    return [answer for entry in loop.entries for _, answer in entry.answers.values()]


def test_every_query_ends_exactly_once(loop):
    ended = Counter()
    for entry in loop.entries:
        ended.update(list(entry.answers))
        ended.update(list(entry.refusals))
    assert set(ended) == set(loop.arrived)
    assert set(ended.values()) == {1}


def test_coverage_agrees_with_hits_and_missing_services(loop):
    for answer in answers_of(loop):
        missing = len(answer.coverage.missing_services)
        covered = (SERVICES - missing) * samples.DOCS
        assert answer.coverage.covered_docs == covered
        assert answer.coverage.total_docs == SERVICES * samples.DOCS
        found = {samples.service_name(hit.doc // samples.DOCS) for hit in answer.hits}
        assert not found & set(answer.coverage.missing_services)


def test_answers_come_before_the_deadline(loop):
    for entry in loop.entries:
        for query_id, (time_ms, _) in entry.answers.items():
            assert time_ms - loop.arrived[query_id][0] <= 200


def test_no_calls_or_queued_requests_remain(loop):
    for entry in loop.entries:
        fleet = entry.router._fleet
        assert entry.router.idle
        assert not any(track.in_flight for track in fleet.servers.values())
        assert not any(len(track.queue) for track in fleet.services.values())


@pytest.mark.parametrize('seed', range(3))
def test_single_entry_covers_most_of_the_index(seed):
    """With more entry VMs, one that owns no server of a cold service can't query it."""
    loop = run_under_faults(seed, entries=1)
    answers = answers_of(loop)
    missing = sum(len(answer.coverage.missing_services) for answer in answers)
    assert missing <= 0.05 * SERVICES * len(answers)
    assert len(answers) >= 0.98 * len(loop.arrived)


def test_extra_load_stays_within_the_budget(loop):
    for entry in loop.entries:
        counts = entry.router.counters
        extra = counts.hedges + counts.retries
        assert extra <= 0.05 * counts.sub_requests + 1
