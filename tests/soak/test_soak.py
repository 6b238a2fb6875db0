"""Tests of the soak: its invariant checks, its plans, and short seeded runs."""

import asyncio

import pytest

from cowsliploom.dataplane import HttpAnswer
from tests.soak.backends import records_of
from tests.soak.callers import CallResult
from tests.soak.fault_windows import FaultWindows
from tests.soak.invariants import find_violations
from tests.soak.plan import Fault, Kind, make_plan
from tests.soak.run import Run
from tests.soak.world import SHARDS

LENGTH_S = 5.0
# Regression seeds that once violated an invariant, with the cause: (seed, length_s).
CASES: tuple[tuple[int, float], ...] = ()


class FakeWorld:
    """Fake fleet that lists the request ids run by the servers of each service."""

    def __init__(self, *ran):
        self.backends = {
            number: FakeBackend(service, ids)
            for number, (service, *ids) in enumerate(ran)
        }


class FakeBackend:
    """Fake backend server."""

    def __init__(self, service, ids, arrived=()):
        self.service = service
        self.ran = ids
        self.arrived_ids = list(arrived)


def call_result(route, status, headers=(), body=b'', took_s=0.1, request_id='r-1'):
    """Return the result that a caller records."""
    answer = HttpAnswer(status, list(headers), body)
    return CallResult(request_id, route, 2, 100, took_s, answer)


def merged_result(names, missing, request_id='r-1', signed_id='r-1'):
    """Return a merged response of the given servers' parts."""
    content = b''.join(records_of(name, signed_id) for name in names)
    records = sorted(
        (content[at : at + 16] for at in range(0, len(content), 16)), reverse=True
    )
    stamps = ', '.join(f'{name}.{signed_id}' for name in names)
    headers = [('Part-Stamps', stamps), ('Missing-Parts', str(missing))]
    return call_result(
        'wide', 200, headers, b''.join(records[:5]), request_id=request_id
    )


ALL_SERVERS = tuple(f'i-{shard}-0' for shard in SHARDS)
SIGNATURE = [('Response-Signature', 'i-one-0.r-1')]


@pytest.mark.parametrize(
    ('result', 'ran', 'expected'),
    [
        (merged_result(ALL_SERVERS, 0), (), ''),
        (merged_result(ALL_SERVERS[1:], 1), (), ''),
        (merged_result(ALL_SERVERS[1:], 0), (), 'missing'),
        (merged_result((*ALL_SERVERS, 'i-s0-1'), 0), (), 'two parts'),
        (merged_result(ALL_SERVERS[:2], 4), (), 'succeeded with 2'),
        (merged_result(ALL_SERVERS, 0, signed_id='r-2'), (), 'another request'),
        (call_result('safe', 200, SIGNATURE, records_of('i-one-0', 'r-1')), (), ''),
        (
            call_result('safe', 200, SIGNATURE, records_of('i-one-0', 'r-1')[1:]),
            {},
            'got the',
        ),
        (
            call_result('safe', 200, SIGNATURE, records_of('i-one-0', 'r-2')),
            (),
            'got the',
        ),
        (call_result('safe', 404), (), 'denied'),
        (call_result('once', 503), (('one',),), ''),
        (call_result('once', 503), (('one', 'r-1'),), 'refused with 503'),
        (call_result('once', 502), (('one', 'r-1'),), ''),
        (call_result('once', 502), (('one', 'r-1'), ('one', 'r-1')), 'ran 2'),
        (call_result('safe', 504, took_s=2), (), ''),
        (call_result('safe', 504, took_s=4), (), 'no answer for'),
        (
            call_result('safe', 200, SIGNATURE),
            (('s1', 'r-9', 'r-9', 'r-9'),),
            'ran 3 times',
        ),
    ],
)
def test_each_violation_is_reported(result, ran, expected):
    violations = ' | '.join(find_violations(FakeWorld(*ran), [result], FaultWindows()))
    assert bool(violations) is bool(expected)
    assert expected in violations


@pytest.mark.parametrize(
    ('extra', 'apart_s', 'expected'),
    [(12, 0, ''), (13, 0, 's1 got 0.8 extra calls'), (24, 11, '')],
)
def test_extra_calls_above_the_bound_are_reported(extra, apart_s, expected):
    calls = [(100 + apart_s * (number % 2), 'r-1') for number in range(extra)]
    world = FakeWorld()
    world.backends = {'a': FakeBackend('s1', (), [(99.9, 'r-1'), *calls])}
    results = [merged_result(ALL_SERVERS, 0)]
    violations = ' | '.join(find_violations(world, results, FaultWindows()))
    assert expected in violations
    assert bool(violations) is bool(expected)


@pytest.mark.parametrize(
    ('kind', 'arrived', 'is_violated'),
    [
        (Kind.STOP, 'r-1', True),
        (Kind.STOP, 'r-2', False),
        (Kind.KILL, 'r-1', False),
    ],
)
def test_forwarded_request_cut_in_planned_stop_is_reported(kind, arrived, is_violated):
    fault_windows = FaultWindows()
    fault_windows.record(Fault(0, kind, 2, 'one-0', 1), 99, 104)
    world = FakeWorld()
    world.backends = {'a': FakeBackend('one', (), [(100, arrived)])}
    results = [CallResult('r-1', 'once', 2, 100, 1, None)]
    violations = ' | '.join(find_violations(world, results, fault_windows))
    assert ('was forwarded and had no response' in violations) == is_violated


def test_response_time_is_checked_only_in_fault_free_windows():
    fault_windows = FaultWindows()
    fault_windows.record(Fault(0, Kind.PAUSE, 2, 'one-0', 1), 95, 97)
    late = call_result('safe', 504, took_s=4)
    assert not list(find_violations(FakeWorld(), [late], fault_windows))
    assert fault_windows.is_fault_free(3, 100, 104)
    fault_windows.record(Fault(0, Kind.STORE_DOWN, 2, 'one-0', 1), 98, 99)
    assert not fault_windows.is_fault_free(3, 100, 104)


def test_plans_cover_all_kinds_and_are_reproducible():
    kinds = {fault.kind for seed in range(60) for fault in make_plan(seed, 10)}
    assert kinds == set(Kind)
    assert make_plan(7, 10) == make_plan(7, 10)


@pytest.mark.processes
@pytest.mark.parametrize(('seed', 'length_s'), [(1, LENGTH_S), (2, LENGTH_S), *CASES])
def test_seeded_run_violates_no_invariant(tmp_path, seed, length_s):
    async def run():
        return await Run(seed, length_s, tmp_path).run()

    assert asyncio.run(run()) == []
